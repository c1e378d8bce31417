// Tests of the settings reader and of the settings of entry instances and sidecars.

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include "base/ed25519.h"
#include "base/random.h"
#include "settings/entry_settings.h"
#include "settings/sidecar_settings.h"

namespace bluebellstep {
namespace {

const std::string kKeys =
    "operator_keys:\n"
    "  ana: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n"
    "  ben: AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n";

const std::string kEntry =
    "name: entry-1\n"
    "zone: a\n"
    "region: south\n"
    "http_listen: 127.0.0.1:8080\n"
    "rpc_listen: 127.0.0.1:8081\n"
    "platform: {endpoint: 127.0.0.1:9000, timeout: 1s}\n"
    "peers: [127.0.0.1:8181, '[::1]:8281']\n"
    "balancer_delay: 2s\n" +
    kKeys;

const std::string kSidecar =
    "name: clerk-1\n"
    "zone: a\n"
    "region: south\n"
    "http_listen: 127.0.0.1:8080\n"
    "rpc_listen: 127.0.0.1:8081\n"
    "platform: {endpoint: 127.0.0.1:9000}\n"
    "upstream: {endpoint: 127.0.0.1:7000, kind: engine, checks_fencing: true}\n"
    "limits: {max_concurrency: 8, kv_tokens: 100000, prefill_tokens_per_s: 5000}\n"
    "max_body_bytes: 64MB\n" +
    kKeys;

// Returns the errors, one a line, or nothing if the settings are accepted.
template <typename Settings>
std::string errors_of(boost::leaf::result<Settings> (*parse)(std::string_view, std::string_view),
                      const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(parse("f.yaml", text));
        return std::string();
      },
      [](const SettingsErrors& errors) { return errors.to_string(); },
      [] { return std::string("another error"); });
}

}  // namespace

TEST_CASE("complete settings are read", "[settings]") {
  const EntrySettings entry = parse_entry_settings("f", kEntry).value();
  CHECK(entry.name == "entry-1");
  CHECK(entry.platform.timeout == 1_s);
  CHECK(entry.peers == std::vector<Endpoint>{{"127.0.0.1", 8181}, {"::1", 8281}});
  CHECK(entry.balancer_delay == 2_s);
  CHECK(entry.heartbeat_interval == 500_ms);
  CHECK(entry.operator_keys.size() == 2);
  CHECK_FALSE(entry.tls.has_value());
  const SidecarSettings sidecar = parse_sidecar_settings("f", kSidecar).value();
  CHECK(sidecar.upstream.port == 7000);
  CHECK(sidecar.checks_fencing);
  CHECK(sidecar.max_body_bytes == 64u << 20);
  CHECK(sidecar.limits.order_retention == 86'400_s);
}

// Guards against an operator having to run the check once for each error.
TEST_CASE("every error is reported with its line", "[settings]") {
  std::string text = kEntry;
  text.replace(text.find("zone: a"), 7, "zone: []");
  text.replace(text.find("127.0.0.1:8080"), 14, "localhost:8080");
  text += "stop_limit: 5 minutes\nname: other\ncolour: red\nmax_body_bytes: 64XB\n";
  const std::string errors = errors_of(&parse_entry_settings, text);
  CHECK_THAT(errors, Catch::Contains("f.yaml:2: zone: found a list, expected a string\n"));
  CHECK_THAT(errors, Catch::Contains("f.yaml:4: http_listen: found \"localhost:8080\", expected"));
  CHECK_THAT(errors, Catch::Contains("f.yaml:12: stop_limit: found \"5 minutes\", expected a dur"));
  CHECK_THAT(errors, Catch::Contains("f.yaml:13: name: found a duplicate key"));
  CHECK_THAT(errors, Catch::Contains("f.yaml:14: colour: found an unknown key"));
  CHECK_THAT(errors, Catch::Contains("f.yaml:15: max_body_bytes: found \"64XB\""));
  CHECK(std::count(errors.begin(), errors.end(), '\n') == 6);
}

// Guards against settings with which a process ends by a failed assertion.
TEST_CASE("a stop limit that leaves no time to announce the stop is rejected", "[settings]") {
  std::string long_delay = kEntry + "stop_limit: 4s\n";
  CHECK(errors_of(&parse_entry_settings, long_delay).empty());
  long_delay.replace(long_delay.find("balancer_delay: 2s"), 18, "balancer_delay: 6s");
  CHECK_THAT(errors_of(&parse_entry_settings, long_delay), Catch::Contains("above balancer_delay"));
  CHECK_THAT(errors_of(&parse_sidecar_settings, kSidecar + "stop_limit: 1s\n"),
             Catch::Contains("more than 2s"));
}

TEST_CASE("rules between settings are checked", "[settings]") {
  CHECK_THAT(errors_of(&parse_entry_settings, kEntry + "silence_limit: 600ms\n"),
             Catch::Contains("silence_limit: found \"600ms\", expected at least twice"));
  std::string one_key = kEntry.substr(0, kEntry.find("  ben"));
  CHECK_THAT(errors_of(&parse_entry_settings, one_key), Catch::Contains("at least two operators"));
  // Two names for one key would let an author sign off their own bundle.
  one_key += "  ben: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n";
  CHECK_THAT(errors_of(&parse_entry_settings, one_key), Catch::Contains("no other operator has"));
  std::string no_kv = kSidecar;
  no_kv.erase(no_kv.find(" kv_tokens: 100000,"), 19);
  CHECK_THAT(errors_of(&parse_sidecar_settings, no_kv),
             Catch::Contains("f.yaml:8: limits.kv_tokens: found nothing, expected a value"));
}

TEST_CASE("documents that are not a single mapping are rejected", "[settings]") {
  for (const std::string text : {"", "- a", "a: b: c", "a: [", "a: &x 1\nb: *x", "? [a]\n: b",
                                 "a: 1\n---\nb: 2", "\t", "a: \"\\q\""}) {
    INFO(text);
    CHECK_THAT(errors_of(&parse_entry_settings, text), Catch::Contains("f.yaml"));
  }
  // Guards against a stack overflow caused by deep nesting.
  for (const std::size_t depth : {50u, 100'000u}) {
    const std::string open = std::string(depth, '[');
    CHECK_THAT(errors_of(&parse_entry_settings, "a: " + open + std::string(depth, ']')),
               Catch::Contains("found invalid YAML"));
    CHECK_THAT(errors_of(&parse_entry_settings, "a: " + open),
               Catch::Contains("found invalid YAML"));
  }
  CHECK_THAT(errors_of(&parse_entry_settings, "a: [[[[[[[[[[[[[[[[[b]]]]]]]]]]]]]]]]]"),
             Catch::Contains("nested too deeply"));
}

TEST_CASE("values with units are parsed strictly", "[settings]") {
  CHECK(parse_duration("500ms") == 500_ms);
  CHECK(parse_duration("1h") == 3600_s);
  CHECK(parse_size("64MB") == 64u << 20);
  CHECK(parse_size("512") == 512);
  for (const char* text : {"", "5", "s", "-5s", "5 s", "1.5s", "99999999999999999999s", "5S"}) {
    CHECK_FALSE(parse_duration(text).has_value());
  }
  for (const char* text : {"", "MB", "64mb", "18446744073709551615GB", "+1"}) {
    CHECK_FALSE(parse_size(text).has_value());
  }
  for (const char* text : {"", ":80", "1.2.3.4", "1.2.3.4:65536", "::1:80", "[1.2.3.4]:80"}) {
    CHECK_FALSE(parse_endpoint(text).has_value());
  }
}

// Guards against a crash or an endless loop of the parser on corrupt files.
TEST_CASE("randomly corrupted settings never crash the reader", "[settings]") {
  Random random(20'260'101);
  for (int round = 0; round < 3000; ++round) {
    std::string text = round % 2 == 0 ? kEntry : kSidecar;
    for (std::uint64_t changes = 1 + random.below(8); changes > 0; --changes) {
      const std::size_t at = random.below(text.size());
      constexpr std::string_view kBytes =
          "{}[]:,-?&*!|>'\"%@`#\n\t \\\x01\xff\x80"
          "a0";
      text.replace(at, random.below(3), 1, kBytes[random.below(kBytes.size())]);
    }
    errors_of(&parse_entry_settings, text);
    errors_of(&parse_sidecar_settings, text);
  }
}

TEST_CASE("only canonical base64 is decoded", "[settings]") {
  for (const std::string bytes : {"", "a", "ab", "abc", "abcd"}) {
    CHECK(decode_base64(encode_base64(bytes)) == bytes);
  }
  for (const char* text :
       {"a", "YQ", "YQ=", "YR==", " YQ==", "YQ==\n", "=", "====", "Y===", "*aaa"}) {
    INFO(text);
    CHECK_FALSE(decode_base64(text).has_value());
  }
}

}  // namespace bluebellstep
