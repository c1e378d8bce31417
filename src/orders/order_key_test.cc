// Tests of order keys and owner tables.

#include "orders/order_key.h"

#include <catch2/catch.hpp>

#include <string>

#include "orders/order_table.h"

namespace bluebellstep {
namespace {

OrderKey key_of(std::string_view text, std::string_view account = "a") {
  return OrderKey::parse("parts", account, text).value();
}

}  // namespace

// Guards against a birth read from a key that only resembles a time-ordered one.
TEST_CASE("time-ordered keys carry their birth", "[orders]") {
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
  CHECK(key_of(row.text).creation_time() == row.creation_time);
}

TEST_CASE("keys that no header may hold are refused", "[orders]") {
  CHECK_FALSE(OrderKey::parse("s", "a", "").has_value());
  CHECK_FALSE(OrderKey::parse("s", "a", "a b").has_value());
  CHECK_FALSE(OrderKey::parse("s", "a", "a\n").has_value());
  CHECK_FALSE(OrderKey::parse("s", "a", std::string(256, 'x')).has_value());
  CHECK(OrderKey::parse("s", "a", std::string(255, 'x')).has_value());
}

// Guards against one account replaying another's answer, and against a double run of a UUID that
// one of the caller's libraries prints in upper case.
TEST_CASE("a key's identity covers service and account", "[orders]") {
  CHECK(key_of("k", "a").digest() != key_of("k", "b").digest());
  CHECK(OrderKey::parse("s", "a", "k")->digest() != OrderKey::parse("t", "a", "k")->digest());
  CHECK(OrderKey::parse("s", "a 1 k", "k")->digest() !=
        OrderKey::parse("s", "a", "k 1 k")->digest());
  CHECK(key_of("019376d1-2f3b-7abc-8def-0123456789ab").digest() ==
        key_of("019376D1-2F3B-7ABC-8DEF-0123456789AB").digest());
  CHECK(key_of("Opaque").digest() != key_of("opaque").digest());
}

// Guards against an owner that changes when a table is added or its list is reordered.
TEST_CASE("the owner is a function of the key's birth", "[orders]") {
  const OrderTable table({{{1000}, {"u1", "u2", "u3"}}, {{2000}, {"u4"}}});
  const OrderTable reordered({{{1000}, {"u3", "u1", "u2"}}});
  CHECK(table.owner(key_of("0000000001999-x")) == reordered.owner(key_of("0000000001999-x")));
  CHECK(table.owner(key_of("0000000002000-x")) == "u4");
  CHECK(table.owner(key_of("opaque")) == "u4");
  CHECK_FALSE(table.owner(key_of("0000000000999-x")).has_value());
  CHECK_FALSE(OrderTable({}).owner(key_of("opaque")).has_value());
}

// Guards against a configuration, an operator's rollback for example, that moves an order's owner.
TEST_CASE("tables are only added, with a lead", "[orders]") {
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
