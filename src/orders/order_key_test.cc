// Tests of order keys and order tables.

#include "orders/order_key.h"

#include <catch2/catch.hpp>

#include <string>

#include "orders/order_table.h"

namespace bluebellstep {
namespace {

OrderKey make_key(std::string_view text, std::string_view account = "a") {
  return OrderKey::parse("parts", account, text).value();
}

}  // namespace

// Guards against reading a creation time from a key that only resembles a time-ordered key.
TEST_CASE("time-ordered keys contain their creation time", "[orders]") {
  struct Row {
    std::string_view text;
    std::optional<Instant> creation_time;
  };
  const Row row = GENERATE(values<Row>({
      {"1733000000123-order-7", Instant{1733000000123}},
      {"1733000000123-", Instant{1733000000123}},
      {"1733000000123", std::nullopt},
      {"173300000012-x", std::nullopt},
      {"17330000001234-x", std::nullopt},
      {"x733000000123-x", std::nullopt},
      {"019376d1-2f3b-7abc-8def-0123456789ab", Instant{0x019376d12f3b}},
      {"019376D1-2F3B-7ABC-BDEF-0123456789AB", Instant{0x019376d12f3b}},
      {"019376d1-2f3b-4abc-8def-0123456789ab", std::nullopt},  // UUID version 4
      {"019376d1-2f3b-7abc-cdef-0123456789ab", std::nullopt},  // another variant
      {"019376d1-2f3b-7abc-8def-0123456789ag", std::nullopt},
      {"opaque", std::nullopt},
  }));
  CAPTURE(row.text);
  CHECK(make_key(row.text).creation_time() == row.creation_time);
}

TEST_CASE("keys that are invalid as header values are refused", "[orders]") {
  CHECK_FALSE(OrderKey::parse("s", "a", "").has_value());
  CHECK_FALSE(OrderKey::parse("s", "a", "a b").has_value());
  CHECK_FALSE(OrderKey::parse("s", "a", "a\n").has_value());
  CHECK_FALSE(OrderKey::parse("s", "a", std::string(256, 'x')).has_value());
  CHECK(OrderKey::parse("s", "a", std::string(255, 'x')).has_value());
}

// Guards against replaying an answer to another account, and against running an order twice because
// a library of the caller prints its UUID in upper case.
TEST_CASE("service and account are part of a key's identity", "[orders]") {
  CHECK(make_key("k", "a").digest() != make_key("k", "b").digest());
  CHECK(OrderKey::parse("s", "a", "k")->digest() != OrderKey::parse("t", "a", "k")->digest());
  CHECK(OrderKey::parse("s", "a 1 k", "k")->digest() !=
        OrderKey::parse("s", "a", "k 1 k")->digest());
  CHECK(make_key("019376d1-2f3b-7abc-8def-0123456789ab").digest() ==
        make_key("019376D1-2F3B-7ABC-8DEF-0123456789AB").digest());
  CHECK(make_key("Opaque").digest() != make_key("opaque").digest());
}

// Guards against an owner that changes when a table is appended or its upstreams are reordered.
TEST_CASE("the owner is a function of the key's creation time", "[orders]") {
  const OrderTable table({{{1000}, {"u1", "u2", "u3"}}, {{2000}, {"u4"}}});
  const OrderTable reordered({{{1000}, {"u3", "u1", "u2"}}});
  CHECK(table.owner(make_key("0000000001999-x")) == reordered.owner(make_key("0000000001999-x")));
  CHECK(table.owner(make_key("0000000002000-x")) == "u4");
  CHECK(table.owner(make_key("opaque")) == "u4");
  CHECK_FALSE(table.owner(make_key("0000000000999-x")).has_value());
  CHECK_FALSE(OrderTable({}).owner(make_key("opaque")).has_value());
}

// Guards against a configuration that changes the owner of an order, for example a rollback.
TEST_CASE("tables may only be appended, with a lead time", "[orders]") {
  const OrderTable table({{{1000}, {"u1"}}, {{90'000}, {"u2"}}});
  const auto allowed = [&](std::vector<OrderTableEntry> entries) {
    return !table.find_succession_error(OrderTable(std::move(entries)), Instant{80'000});
  };
  CHECK(allowed({{{1000}, {"u1"}}, {{90'000}, {"u2"}}}));
  CHECK(allowed({{{1000}, {"u1"}}, {{90'000}, {"u2"}}, {{110'000}, {"u1"}}}));
  CHECK_FALSE(allowed({{{1000}, {"u1"}}, {{90'000}, {"u2"}}, {{109'999}, {"u1"}}}));
  CHECK_FALSE(allowed({{{1000}, {"u1"}}}));
  CHECK_FALSE(allowed({{{1000}, {"u3"}}, {{90'000}, {"u2"}}}));
}

}  // namespace bluebellstep
