// Tests of parsing requests and writing answers of the API for callers.

#include "entry/caller_api.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "base/random.h"

namespace bluebellstep {

TEST_CASE("a completion request is parsed", "[entry]") {
  const auto parsed = parse_completion_request(
      R"({"model":"m","prompt":"p","max_tokens":7,"stream":true,"priority":-3})");
  const auto& request = std::get<CompletionRequest>(parsed);
  CHECK(request.model == "m");
  CHECK(request.prompt == "p");
  CHECK(request.max_tokens == 7);
  CHECK(request.priority == -3);
  CHECK(request.stream);
}

// Guards against running an invalid request, and against refusing it without naming the invalid
// field.
TEST_CASE("the refusal of an invalid request names the invalid field", "[entry]") {
  struct Case {
    const char* body;
    const char* named;
  };
  const Case cases[] = {
      {"", "JSON object"},
      {"[1]", "JSON object"},
      {R"({"prompt":"p"})", "model"},
      {R"({"model":"m"})", "prompt"},
      {R"({"model":"m","prompt":""})", "prompt"},
      {R"({"model":"m","prompt":["a"]})", "prompt"},
      {R"({"model":"m","prompt":"p","max_tokens":0})", "max_tokens"},
      {R"({"model":"m","prompt":"p","max_tokens":18446744073709551615})", "max_tokens"},
      {R"({"model":"m","prompt":"p","max_tokens":1.5})", "max_tokens"},
      {R"({"model":"m","prompt":"p","priority":101})", "priority"},
      {R"({"model":"m","prompt":"p","stream":"yes"})", "stream"},
      {R"({"model":"m","prompt":"p","n":2})", "n"},
  };
  for (const Case& c : cases) {
    CAPTURE(c.body);
    const auto parsed = parse_completion_request(c.body);
    REQUIRE(std::holds_alternative<Verdict>(parsed));
    const auto& verdict = std::get<Verdict>(parsed);
    CHECK(verdict.run_state() == RunState::kNotRun);
    CHECK(std::string(verdict.detail()).find(c.named) != std::string::npos);
  }
}

// Guards against crashes on malformed input: deep nesting, truncated bodies and corrupt bytes.
TEST_CASE("mutated requests are parsed or refused without a crash", "[entry][fuzz]") {
  const std::string valid = R"({"model":"m","prompt":"text \u00e9 \"q\"","max_tokens":7,"n":1})";
  Random random(20261204);
  for (int round = 0; round < 20000; ++round) {
    std::string body = valid;
    const auto changes = 1 + random.below(4);
    for (std::uint64_t i = 0; i < changes; ++i) {
      body[random.below(body.size())] = static_cast<char>(random.below(256));
    }
    body.resize(random.below(body.size() + 1));
    (void)parse_completion_request(body);
  }
  (void)parse_completion_request(std::string(100000, '['));
}

TEST_CASE("events are valid JSON for any bytes of answer text", "[entry]") {
  const CompletionWriter writer("cmpl-1", "m\"x", 1700000000);
  for (const std::string text :
       {"plain", "quote \" and \\", "line\nbreak", "\xff\xfe", "\xc3\xa9"}) {
    std::string event;
    writer.append_event(event, text);
    REQUIRE(event.starts_with("data: "));
    REQUIRE(event.ends_with("\n\n"));
    CHECK(event.find('\n') == event.size() - 2);
    const auto document = nlohmann::json::parse(event.substr(6));
    CHECK(document["choices"][0]["text"].is_string());
  }
}

TEST_CASE("a refusal contains run state, reason and retry time", "[entry]") {
  const Verdict verdict = Verdict::not_run(Reason::kZoneOut, "zone \"a\" is out", Duration{200});
  const auto document = nlohmann::json::parse(verdict_document(verdict))["error"];
  CHECK(document["run_state"] == "not_run");
  CHECK(document["reason"] == "zone_out");
  CHECK(document["retry"] == true);
  CHECK(document["retry_after_ms"] == 200);
  CHECK(http_status(verdict) == 503);
  CHECK(verdict_event(verdict).starts_with("event: error\ndata: {"));
}

}  // namespace bluebellstep
