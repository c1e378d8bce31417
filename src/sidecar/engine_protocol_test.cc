// Tests of parsing the model engine's answers and events.

#include "sidecar/engine_protocol.h"

#include <catch2/catch.hpp>

#include "base/random.h"

namespace bluebellstep {

TEST_CASE("each kind of engine event is parsed", "[sidecar]") {
  const auto started = std::get<EngineStarted>(parse_engine_event(
      R"({"start_id":"s","weight_version":"7","usage":{"prompt_tokens":9,"cached_blocks":2,"computed_blocks":1}})"));
  CHECK(started.start_id == "s");
  CHECK(started.weight_version == "7");
  CHECK(started.cached_blocks == 2);
  const auto token = std::get<EngineToken>(parse_engine_event(R"({"index":3,"text":" a"})"));
  CHECK(token.index == 3);
  CHECK(token.text == " a");
  const auto finished =
      std::get<EngineFinished>(parse_engine_event(R"({"finish_reason":"length","total":4})"));
  CHECK(finished.total == 4);
  CHECK(std::holds_alternative<EngineStreamEnd>(parse_engine_event("[DONE]")));
}

// Guards against treating a malformed engine event as a token.
TEST_CASE("malformed engine events are reported as such", "[sidecar]") {
  for (const char* data : {"", "{", "3", "{}", R"({"text":"a"})", R"({"text":1,"index":0})",
                           R"({"text":"a","index":-1})", R"({"start_id":"s","usage":3})"}) {
    CAPTURE(data);
    CHECK(std::holds_alternative<EngineParseError>(parse_engine_event(data)));
  }
}

TEST_CASE("malformed engine reports are rejected", "[sidecar]") {
  for (const char* body : {"", "[]", "{}", R"({"start_id":"s"})",
                           R"({"start_id":"s","next":1,"events":[{"seq":1,"type":"x"}]})",
                           R"({"start_id":"s","next":1,"keys":["zz"]})"}) {
    CAPTURE(body);
    CHECK_FALSE(parse_engine_load(body).has_value());
    CHECK_FALSE(parse_engine_cache_events(body).has_value());
    CHECK_FALSE(parse_engine_block_list(body).has_value());
  }
}

TEST_CASE("mutated engine answers do not crash the parsers", "[sidecar][fuzz]") {
  const std::string key = cache_seed("a", "m", "1").to_hex();
  const std::string valid[] = {
      R"({"start_id":"s","weight_version":"7","usage":{"prompt_tokens":9}})",
      R"({"start_id":"s","next":1,"events":[{"seq":1,"type":"stored","keys":[")" + key + R"("]}]})",
      R"({"start_id":"s","next":1,"keys":[")" + key + R"("]})",
      R"({"start_id":"s","running":1,"models":{"m":"1"}})"};
  Random random(42);
  for (int round = 0; round < 20000; ++round) {
    std::string text = valid[random.below(std::size(valid))];
    for (std::uint64_t i = 0; i <= random.below(3); ++i) {
      text[random.below(text.size())] = static_cast<char>(random.below(256));
    }
    (void)parse_engine_event(text);
    (void)parse_engine_load(text);
    (void)parse_engine_cache_events(text);
    (void)parse_engine_block_list(text);
  }
}

}  // namespace bluebellstep
