// Tests of batching, warm-up and streams of the engine model.

#include "standins/engine_model.h"

#include <catch2/catch.hpp>

#include <string>
#include <tuple>
#include <vector>

namespace bluebellstep::standins {
namespace {

constexpr Instant kStart{1'000};

EngineOptions warm_options() {
  EngineOptions options;
  options.starts_warm = true;
  return options;
}

CompletionRequest request(std::string id, std::string prompt, std::uint32_t max_tokens = 8) {
  CompletionRequest completion_request;
  completion_request.request_id = std::move(id);
  completion_request.model = "clerk";
  completion_request.prompt = std::move(prompt);
  completion_request.max_tokens = max_tokens;
  completion_request.cache_salt = cache_seed("account", "clerk", "1");
  return completion_request;
}

StreamId stream_of(const SubmitResult& result) {
  REQUIRE(std::holds_alternative<StreamId>(result));
  return std::get<StreamId>(result);
}

/** Contents of one stream as received by its reader. */
struct ReceivedStream {
  std::string text;
  std::vector<std::uint32_t> indices;
  std::optional<StreamStarted> started;
  std::optional<StreamFinished> finished;
  bool broken = false;
};

ReceivedStream read(const std::vector<StreamEvent>& events, StreamId stream) {
  ReceivedStream received;
  for (const StreamEvent& event : events) {
    if (event.stream != stream) {
      continue;
    }
    if (const auto* token = std::get_if<StreamToken>(&event.payload)) {
      received.text += token->text;
      received.indices.push_back(token->index);
    } else if (const auto* started = std::get_if<StreamStarted>(&event.payload)) {
      received.started = *started;
    } else if (const auto* finished = std::get_if<StreamFinished>(&event.payload)) {
      received.finished = *finished;
    } else {
      received.broken = true;
    }
  }
  return received;
}

Instant first_token_at(const std::vector<StreamEvent>& events, StreamId stream) {
  for (const StreamEvent& event : events) {
    if (event.stream == stream && std::holds_alternative<StreamStarted>(event.payload)) {
      return event.at;
    }
  }
  FAIL("no first token");
  return {};
}

}  // namespace

// Guards against tests that accept an answer with mixed or repeated tokens.
TEST_CASE("the tokens of the expected answer depend on the prompt and the index", "[standins]") {
  const ExpectedAnswer answer("prompt");
  CHECK(answer.text(0, 8) == ExpectedAnswer("prompt").text(0, 8));
  CHECK(answer.text(0, 8) != ExpectedAnswer("other").text(0, 8));
  CHECK(answer.text(0, 8) == answer.text(0, 3) + answer.text(3, 8));
  CHECK(answer.token(0) != answer.token(1));
  CHECK(answer.token(0).size() == kTextBytesPerToken);
}

// Guards against lost tokens and a wrong finish reason or length.
TEST_CASE("a run generates the complete expected answer", "[standins]") {
  EngineModel engine(warm_options(), kStart);
  const std::string prompt = "a short prompt";
  const std::uint32_t natural = ExpectedAnswer(prompt).natural_length();
  const auto [max_tokens, total_tokens, stops] = GENERATE_COPY(
      table<std::uint32_t, std::uint32_t, bool>({{8, 8, false}, {natural + 1, natural, true}}));
  const StreamId stream = stream_of(engine.submit(request("r", prompt, max_tokens), kStart));
  engine.advance(kStart + 60_s);
  const ReceivedStream received = read(engine.take_events(), stream);
  CHECK(received.text == ExpectedAnswer(prompt).text(0, total_tokens));
  REQUIRE(received.finished);
  CHECK(received.finished->total_tokens == total_tokens);
  CHECK(received.finished->ended_naturally == stops);
  CHECK(received.started->prompt_tokens == 4);
  CHECK_FALSE(engine.next_event().has_value());
}

// Guards against starvation of requests with high priority and against reordering within one
// priority.
TEST_CASE("requests start by priority, then arrival", "[standins]") {
  EngineOptions options = warm_options();
  options.max_running = 1;
  EngineModel engine(options, kStart);
  std::vector<StreamId> streams;
  for (const auto& [id, priority] : std::vector<std::pair<std::string, int>>{
           {"first", 0}, {"low", 0}, {"low2", 0}, {"high", 5}}) {
    CompletionRequest completion_request = request(id, id);
    completion_request.priority = priority;
    streams.push_back(stream_of(engine.submit(std::move(completion_request), kStart)));
  }
  engine.advance(kStart + 60_s);
  const auto events = engine.take_events();
  CHECK(first_token_at(events, streams[0]) < first_token_at(events, streams[3]));
  CHECK(first_token_at(events, streams[3]) < first_token_at(events, streams[1]));
  CHECK(first_token_at(events, streams[1]) < first_token_at(events, streams[2]));
  CHECK(engine.counters().peak_running == 1);
}

// Guards against a batch that does not fit into the KV memory of an accelerator.
TEST_CASE("KV memory limits the batch size", "[standins]") {
  EngineOptions options = warm_options();
  options.max_kv_tokens = 250;
  EngineModel engine(options, kStart);
  for (int i = 0; i < 4; ++i) {
    stream_of(engine.submit(request(std::to_string(i), std::string(368, 'x')), kStart));
  }
  engine.advance(kStart + 60_s);
  CHECK(engine.counters().peak_running == 2);  // Each run needs 92 + 8 tokens.
  CHECK(engine.counters().completed == 4);
}

// Guards against a loaded engine that is as fast as an idle one.
TEST_CASE("concurrent prefills share the rate and decode steps grow with the batch", "[standins]") {
  EngineOptions options = warm_options();
  options.prefill_tokens_per_s = 1'000;
  options.decode_step_us = 10'000;
  options.decode_step_us_per_run = 5'000;
  const auto [runs, first_ms, last_ms] = GENERATE(
      table<int, std::int64_t, std::int64_t>({{1, 100, 130}, {2, 200, 240}, {4, 400, 460}}));
  EngineModel engine(options, kStart);
  StreamId stream;
  for (int i = 0; i < runs; ++i) {
    stream = stream_of(engine.submit(request(std::to_string(i), std::string(400, 'x'), 3), kStart));
  }
  engine.advance(kStart + 60_s);
  const auto events = engine.take_events();
  CHECK(first_token_at(events, stream) == kStart + Duration{first_ms});
  CHECK(events.back().at == kStart + Duration{last_ms});
}

// Guards against a prefill rate that is divided wrongly among prompts of different lengths.
TEST_CASE("a long prompt gets the full prefill rate once a shorter one is finished", "[standins]") {
  EngineOptions options = warm_options();
  options.prefill_tokens_per_s = 1'000;
  EngineModel engine(options, kStart);
  const StreamId short_one = stream_of(engine.submit(request("s", std::string(400, 'x')), kStart));
  const StreamId long_one = stream_of(engine.submit(request("l", std::string(1'200, 'x')), kStart));
  engine.advance(kStart + 60_s);
  const auto events = engine.take_events();
  CHECK(first_token_at(events, short_one) == kStart + 200_ms);
  CHECK(first_token_at(events, long_one) == kStart + 400_ms);
}

// Guards against a refused request that is run all the same.
TEST_CASE("refused requests are not run", "[standins]") {
  EngineOptions options = warm_options();
  options.max_running = 1;
  options.max_waiting = 1;
  options.max_kv_tokens = 1'000;
  EngineModel engine(options, kStart);
  engine.submit(request("running", "p"), kStart);
  CompletionRequest other_model = request("a", "p");
  other_model.model = "unknown";
  CHECK(engine.submit(other_model, kStart) == SubmitResult(SubmitError::kUnknownModel));
  CHECK(engine.submit(request("", "p"), kStart) == SubmitResult(SubmitError::kBadRequest));
  CHECK(engine.submit(request("a", "p", 0), kStart) == SubmitResult(SubmitError::kBadRequest));
  CHECK(engine.submit(request("running", "p"), kStart) == SubmitResult(SubmitError::kBadRequest));
  CHECK(engine.submit(request("a", std::string(4'000, 'x')), kStart) ==
        SubmitResult(SubmitError::kBadRequest));
  stream_of(engine.submit(request("waiting", "p"), kStart));
  CHECK(engine.submit(request("b", "p"), kStart) == SubmitResult(SubmitError::kOverloaded));
  engine.advance(kStart + 60_s);
  CHECK(engine.counters().completed == 2);
  engine.set_faults({.refuse = true});
  CHECK(engine.submit(request("c", "p"), kStart + 60_s) == SubmitResult(SubmitError::kOverloaded));
  CHECK(engine.counters().started == 2);
}

// Guards against a model whose cold engine sustains more load than a real one.
TEST_CASE("a cold engine crashes above 1.5 times its capacity", "[standins]") {
  EngineModel engine(EngineOptions{}, kStart);
  const std::string start_id = engine.start_id();
  CHECK(engine.run_capacity() == 2);
  std::vector<StreamId> streams;
  streams.reserve(4);
  for (int i = 0; i < 3; ++i) {
    streams.push_back(stream_of(engine.submit(request(std::to_string(i), "p"), kStart)));
  }
  CHECK(engine.counters().crashes == 0);
  streams.push_back(stream_of(engine.submit(request("one too many", "p"), kStart)));
  CHECK(engine.counters().crashes == 1);
  CHECK(engine.counters().broken_runs == 4);
  CHECK(engine.start_id() != start_id);
  const auto events = engine.take_events();
  for (const StreamId stream : streams) {
    CHECK(read(events, stream).broken);
  }
  CHECK_FALSE(engine.resume("0", 0, kStart).has_value());
}

// Guards against an engine that never warms up or is warm immediately.
TEST_CASE("the capacity of an engine grows with completed requests", "[standins]") {
  EngineOptions options;
  options.max_running = 6;
  EngineModel engine(options, kStart);
  Instant now = kStart;
  for (const std::uint32_t capacity : {3u, 4u, 5u, 6u, 6u}) {
    stream_of(engine.submit(request("r", "p"), now));
    now = now + 10_s;
    engine.advance(now);
    CHECK(engine.run_capacity() == capacity);
  }
  for (int i = 0; i < 12; ++i) {
    stream_of(engine.submit(request(std::to_string(i), "p"), now));
  }
  CHECK(engine.counters().crashes == 0);
  engine.go_cold(now);  // Six requests are running.
  CHECK(engine.counters().crashes == 1);
  CHECK(engine.run_capacity() == 2);
}

// Guards against tokens that are lost or repeated when a stream is resumed.
TEST_CASE("a stream resumes at a token index during a run and after its end", "[standins]") {
  EngineModel engine(warm_options(), kStart);
  const auto after = GENERATE(1_ms, 60_ms, 10_s);
  const auto from = GENERATE(0u, 3u, 20u);
  engine.submit(request("r", "prompt", 20), kStart);
  const auto stream = engine.resume("r", from, kStart + after);
  REQUIRE(stream.has_value());
  engine.advance(kStart + 20_s);
  const ReceivedStream received = read(engine.take_events(), *stream);
  CHECK(received.started.has_value());
  CHECK(received.text == ExpectedAnswer("prompt").text(from, 20));
  REQUIRE(received.finished);
  CHECK(received.finished->total_tokens == 20);
}

// Guards against ended runs that are removed before a reader can resume them, or that are never
// removed.
TEST_CASE("an ended run is retained for 30 s", "[standins]") {
  EngineModel engine(warm_options(), kStart);
  engine.submit(request("r", "prompt"), kStart);
  engine.advance(kStart + 1_s);
  CHECK(engine.resume("r", 0, kStart + 30_s).has_value());
  CHECK_FALSE(engine.resume("r", 9, kStart + 30_s).has_value());
  CHECK_FALSE(engine.resume("r", 0, kStart + 32_s).has_value());
  CHECK_FALSE(engine.resume("unknown", 0, kStart).has_value());
}

// Guards against lost or repeated tokens when a run moves to another engine.
TEST_CASE("a run starts at the first index that the request names", "[standins]") {
  EngineModel engine(warm_options(), kStart);
  const ExpectedAnswer answer("prompt");
  const bool right = GENERATE(true, false);
  CompletionRequest completion_request = request("r", "prompt", 20);
  completion_request.first_index = 5;
  completion_request.resume_text = right ? answer.text(0, 5) : answer.text(0, 4);
  const StreamId stream = stream_of(engine.submit(std::move(completion_request), kStart));
  engine.advance(kStart + 20_s);
  const ReceivedStream received = read(engine.take_events(), stream);
  CHECK(received.indices.front() == 5);
  CHECK(received.text == answer.text(5, 20));
  CHECK(received.finished->total_tokens == 20);
  CHECK(engine.counters().wrong_resume_texts == (right ? 0 : 1));
}

// Guards against cancelled runs that keep capacity reserved.
TEST_CASE("cancelling a run frees its place in the batch", "[standins]") {
  EngineOptions options = warm_options();
  options.max_running = 1;
  EngineModel engine(options, kStart);
  const StreamId running = stream_of(engine.submit(request("running", "p", 20), kStart));
  const StreamId waiting = stream_of(engine.submit(request("waiting", "p"), kStart));
  const StreamId last = stream_of(engine.submit(request("last", "p"), kStart));
  CHECK(engine.cancel("waiting", kStart + 20_ms));
  CHECK(engine.cancel("running", kStart + 20_ms));
  CHECK_FALSE(engine.cancel("running", kStart + 20_ms));
  engine.advance(kStart + 10_s);
  const auto events = engine.take_events();
  CHECK(read(events, running).broken);
  CHECK(read(events, waiting).broken);
  CHECK(read(events, last).finished.has_value());
  CHECK(engine.load_report(kStart + 20_s).kv_tokens_used == 0);
}

// Guards against a stream fault that ends the run, which could then not be resumed.
TEST_CASE("stream faults break or stall one stream but not its run", "[standins]") {
  EngineModel engine(warm_options(), kStart);
  const auto [breaks, tokens] = GENERATE(table<bool, std::uint32_t>(
      {{true, 0}, {true, 3}, {true, 8}, {false, 0}, {false, 3}, {false, 8}}));
  EngineFaults faults;
  (breaks ? faults.break_after_tokens : faults.stall_after_tokens) = tokens;
  engine.set_faults(faults);
  const StreamId stream = stream_of(engine.submit(request("r", "prompt"), kStart));
  engine.advance(kStart + 10_s);
  const ReceivedStream received = read(engine.take_events(), stream);
  CHECK(received.text == ExpectedAnswer("prompt").text(0, tokens));
  CHECK(received.broken == breaks);
  CHECK_FALSE(received.finished.has_value());

  engine.set_faults({});
  const auto resumed = engine.resume("r", tokens, kStart + 10_s);
  REQUIRE(resumed.has_value());
  const ReceivedStream rest = read(engine.take_events(), *resumed);
  CHECK(rest.text == ExpectedAnswer("prompt").text(tokens, 8));
  CHECK(rest.finished.has_value());
}

// Guards against load reports that are more recent than those of real engines.
TEST_CASE("load reports are delayed by the configured lag", "[standins]") {
  EngineModel engine(warm_options(), kStart);
  engine.submit(request("r", "prompt", 20), kStart + 1_s);
  CHECK(engine.load_report(kStart + 1'050_ms).running == 0);
  CHECK(engine.load_report(kStart + 1'100_ms).running == 1);
  CHECK(engine.load_report(kStart + 10_s).running == 0);
  engine.set_faults({.load_lag = 5_s});
  engine.submit(request("s", "prompt"), kStart + 10_s);
  CHECK(engine.load_report(kStart + 14'900_ms).running == 0);
}

}  // namespace bluebellstep::standins
