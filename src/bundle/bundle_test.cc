// Tests of parsing, validating and signing bundles.

#include <catch2/catch.hpp>

#include "base/random.h"
#include "bundle/bundle_parser.h"
#include "tests/support/test_bundle.h"

namespace bluebellstep {
namespace {

// Returns `text` with the first occurrence of `from`, which must exist, replaced by `to`.
std::string replaced(std::string text, std::string_view from, std::string_view to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string parse_errors(const std::string& text) {
  return settings_errors_of([&] { return BundleParser("b.yaml").parse(text); });
}

std::string succession_errors(const std::string& previous, const std::string& next, Instant now) {
  const BundleParser parser("b.yaml");
  const Bundle before = parser.parse(previous).value();
  const Bundle after = parser.parse(next).value();
  return settings_errors_of([&] { return parser.check_succession(before, after, now); });
}

std::string open_errors(const BundleSigner& signer, const std::string& document) {
  return settings_errors_of([&] { return signer.open("d.yaml", document); });
}

}  // namespace

TEST_CASE("all values of a valid bundle are read", "[bundle]") {
  const Bundle bundle = BundleParser("b").parse(test_bundle_text(7)).value();
  CHECK(bundle.generation == 7);
  CHECK(bundle.accounts.at(0).share == 2.5);
  CHECK(bundle.accounts.at(0).credential_sha256 == sha256_hex("token"));
  CHECK(bundle.models.at(0).further_versions == std::vector<std::string>{"v2"});
  CHECK(bundle.upstreams.at(1).service == "orders");
  CHECK(bundle.stores.at(0).memory_link_bytes_per_s == 64u << 20);
  CHECK(bundle.limits.max_tokens == 512);
}

// Guards against retrying a non-idempotent call, for example a reservation, whose path also matches
// an idempotent prefix.
TEST_CASE("the longest path prefix decides whether a call is idempotent", "[bundle]") {
  const Bundle bundle = BundleParser("b").parse(test_bundle_text(7)).value();
  const BundleService& service = bundle.services.at(0);
  CHECK(service.is_idempotent("/stock/brooms"));
  CHECK_FALSE(service.is_idempotent("/stock/reserve"));
  CHECK_FALSE(service.is_idempotent("/unlisted"));
}

TEST_CASE("each violated rule of a bundle is reported", "[bundle]") {
  struct Case {
    std::string_view from, to, error;
  };
  const Case cases[] = {
      {"name: b, region", "name: a, region", "b.yaml:5: zones[1].name: found \"a\", expected a n"},
      {"share: 2.5", "share: 0", "accounts[0].share: found \"0\""},
      {"share: 2.5", "share: -1", "accounts[0].share: found \"-1\""},
      {"share: 2.5", "share: nan", "accounts[0].share: found \"nan\""},
      {"credential_sha256: ", "credential_sha256: X", "accounts[0].credential_sha256: found \"X"},
      {"models: [clerk]", "models: [other]", "upstreams[0].models: found other"},
      {"zone: b, kind", "zone: c, kind", "upstreams[2].zone: found \"c\""},
      {"service: orders", "service: lookups", "upstreams[1].service: found \"lookups\""},
      {"127.0.0.1:7002", "127.0.0.1:7001", "upstreams[1].rpc: found \"127.0.0.1:7001\""},
      {"[order-1, order-2]", "[order-1, clerk-1]", "services[0].order_tables: found clerk-1"},
      {"[order-1, order-2]", "[order-1, order-1]", "upstreams: found order-1, expected each name"},
      {"zone: a\n    endpoint", "zone: z\n    endpoint", "stores[0].zone: found \"z\""},
      {"generation: 7", "generation: 0", "generation: found \"0\""},
      {"author: ana", "author: 'a b'", "author: found \"a b\""},
      {"limits: {", "limits: {colour: red, ", "limits.colour: found an unknown key"},
      {"idempotent_paths: [/stock]", "idempotent_paths: [/orders]", "found /orders"},
  };
  for (const Case& row : cases) {
    INFO(row.to);
    CHECK_THAT(parse_errors(replaced(test_bundle_text(7), row.from, row.to)),
               Catch::Contains(std::string(row.error)));
  }
  CHECK_THAT(parse_errors(test_bundle_text(7) + std::string(kMaxBundleBytes, '#')),
             Catch::Contains("bytes, expected at most"));
}

// Guards against two owners of one order key: tables may only be appended, early enough that every
// process has received them before they take effect, and their owners must exist.
TEST_CASE("a bundle must be a valid successor of the previous bundle", "[bundle]") {
  const std::string first = test_bundle_text(7);
  const Instant now{1'000'000};
  const auto with_tables = [](std::string_view second) {
    return test_bundle_text(
        8, "[{effective_ms: 0, upstreams: [order-1, order-2]}, " + std::string(second) + "]");
  };
  CHECK(succession_errors(first, test_bundle_text(8), now).empty());
  CHECK(succession_errors(first, with_tables("{effective_ms: 1030000, upstreams: [order-1]}"), now)
            .empty());
  CHECK_THAT(
      succession_errors(first, with_tables("{effective_ms: 1029999, upstreams: [order-1]}"), now),
      Catch::Contains("found effective_ms: 1029999, expected at least 1030000"));
  CHECK_THAT(succession_errors(
                 first, test_bundle_text(8, "[{effective_ms: 0, upstreams: [order-1]}]"), now),
             Catch::Contains("found changed or removed tables"));
  CHECK_THAT(succession_errors(first, first, now), Catch::Contains("generation: found 7"));
  CHECK_THAT(succession_errors(test_bundle_text(8), first, now),
             Catch::Contains("expected a generation above 8"));
  CHECK_THAT(succession_errors(first, replaced(test_bundle_text(8), "serial: 1", "serial: 0"), now),
             Catch::Contains("zones.a.serial: found 0"));
  CHECK_THAT(succession_errors(
                 first, replaced(test_bundle_text(8), "service: true", "service: false"), now),
             Catch::Contains("zones.a.serial: found 1, expected a serial above 1"));
}

TEST_CASE("an owner stays in the bundle as long as its order table is in force", "[bundle]") {
  const std::string tables =
      "[{effective_ms: 0, upstreams: [order-1, order-2]}, "
      "{effective_ms: 2000000, upstreams: [order-1]}]";
  const std::string before = test_bundle_text(8, tables);
  std::string after = test_bundle_text(9, tables);
  after = replaced(after,
                   "  - {name: order-2, zone: b, kind: service, service: orders, rpc: "
                   "127.0.0.1:7003}\n",
                   "");
  CHECK_THAT(succession_errors(before, after, Instant{1'999'999}),
             Catch::Contains("order_tables: found order-2"));
  CHECK(succession_errors(before, after, Instant{2'000'000}).empty());
}

TEST_CASE("only documents signed by two operators are accepted", "[bundle]") {
  const TestOperators operators;
  const BundleSigner signer(operators.keys());
  const std::string text = test_bundle_text(7);
  const std::string signed_only = signer.sign_bundle("t", text, operators.ana.private_key).value();
  const std::string document =
      signer.sign_off("t", signed_only, "ben", operators.ben.private_key).value();
  CHECK(signer.open("d", document).value().text == text);
  CHECK(signer.open("d", signed_only, SignOffRequirement::kNotRequired).value().bundle.generation ==
        7);
  CHECK_THAT(open_errors(signer, signed_only), Catch::Contains("no sign-off by a known operator"));

  SECTION("the author cannot sign off") {
    CHECK_THAT(settings_errors_of([&] {
                 return signer.sign_off("t", signed_only, "ana", operators.ana.private_key);
               }),
               Catch::Contains("an operator other than the author"));
    CHECK_THAT(settings_errors_of([&] {
                 return signer.sign_off("t", signed_only, "ben", operators.ana.private_key);
               }),
               Catch::Contains("the sign-off of ben over the exact text"));
  }
  SECTION("an operator cannot sign off twice") {
    CHECK_THAT(settings_errors_of([&] {
                 return signer.sign_off("t", document, "ben", operators.ben.private_key);
               }),
               Catch::Contains("found ben a second time"));
  }
  SECTION("an author signature is not valid as a sign-off") {
    const std::string author_signature = signer.open("d", document).value().author_signature;
    const std::string forged =
        signed_only + "sign_offs:\n  - {operator: ben, signature: \"" + author_signature + "\"}\n";
    CHECK_THAT(open_errors(signer, forged), Catch::Contains("the sign-off of ben"));
  }
  SECTION("changed contents are refused") {
    std::string changed = document;
    changed.replace(0, changed.find('\n'),
                    "bundle: " + encode_base64(replaced(text, "share: 2.5", "share: 9.5")));
    CHECK_THAT(open_errors(signer, changed), Catch::Contains("author_signature: found an invalid"));
  }
  SECTION("signatures of unknown operators are ignored") {
    const TestOperators others;
    const BundleSigner other_signer(
        {{"ana", operators.ana.public_key}, {"cem", others.ana.public_key}});
    CHECK_THAT(open_errors(other_signer, document), Catch::Contains("no sign-off by a known"));
    CHECK_THAT(open_errors(BundleSigner(others.keys()), document),
               Catch::Contains("the signature of ana"));
    CHECK_THAT(open_errors(BundleSigner({{"ben", operators.ben.public_key}}), document),
               Catch::Contains("author: found ana, expected an operator listed in the settings"));
  }
}

// Guards against a crash, and against accepting a document whose signed text was changed.
TEST_CASE("randomly modified documents are refused without a crash", "[bundle]") {
  const TestOperators operators;
  const BundleSigner signer(operators.keys());
  const std::string text = test_bundle_text(7);
  const std::string document = test_document(operators, text);
  Random random(7'041);
  const auto mutate = [&](std::string changed) {
    for (std::uint64_t changes = 1 + random.below(4); changes > 0; --changes) {
      const std::size_t at = random.below(changed.size());
      const std::size_t length = random.below(changes == 4 ? 200 : 3);
      changed.replace(at, length, random.below(3), static_cast<char>(random.below(256)));
    }
    return changed;
  };
  for (int round = 0; round < 2000; ++round) {
    parse_errors(mutate(text));
    const std::string changed = mutate(document);
    // A modification may affect only the YAML layout; an accepted text must be the signed one.
    if (open_errors(signer, changed).empty()) {
      CHECK(signer.open("d", changed).value().text == text);
    }
  }
  CHECK_FALSE(open_errors(signer, std::string(2u << 20, 'x')).empty());
  CHECK_FALSE(open_errors(signer, "bundle: " + std::string(900'000, '[')).empty());
  CHECK_FALSE(open_errors(signer, std::string(100'000, '-')).empty());
}

// Guards against a roll-out that fails only at the size of the largest planned installation.
TEST_CASE("a bundle of 850 upstreams and 840 accounts fits into a platform value", "[bundle]") {
  std::string text = test_bundle_text(7);
  std::string accounts;
  for (int i = 0; i < 840; ++i) {
    const std::string name = "account-" + std::to_string(i);
    accounts += "  - {name: " + name + ", share: 1, credential_sha256: " + sha256_hex(name) + "}\n";
  }
  std::string upstreams;
  for (int i = 0; i < 850; ++i) {
    upstreams += "  - {name: engine-" + std::to_string(i) +
                 ", zone: a, kind: engine, models: " + "[clerk], rpc: 10.0." +
                 std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7001}\n";
  }
  text = replaced(text, "accounts:\n", "accounts:\n" + accounts);
  text = replaced(text, "upstreams:\n  -", "upstreams:\n" + upstreams + "  -");
  const TestOperators operators;
  const std::string document = test_document(operators, text);
  CHECK(document.size() < 1'000'000);
  const Bundle bundle = BundleSigner(operators.keys()).open("d", document).value().bundle;
  CHECK(bundle.upstreams.size() == 853);
}

}  // namespace bluebellstep
