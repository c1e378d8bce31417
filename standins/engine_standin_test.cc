// Tests of the HTTP interface of the model engine stand-in.

#include "standins/engine_standin.h"

#include <catch2/catch.hpp>

#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "standins/block_payload.h"

namespace bluebellstep::standins {
namespace {

using Json = nlohmann::json;

const BlockKey kSeed = cache_seed("account", "clerk", "1");

EngineOptions fast_options() {
  EngineOptions options;
  options.prefill_tokens_per_s = 1e6;
  options.decode_step_us = 2'000;
  options.decode_step_us_per_run = 0;
  options.events_lag = 0_ms;
  options.load_lag = 0_ms;
  options.weight_load_time = 20_ms;
  options.starts_warm = true;
  return options;
}

/** An engine stand-in and a client for it. */
struct Fixture {
  explicit Fixture(EngineOptions options = fast_options()) : engine(loop, std::move(options)) {}

  HttpCall call(std::string method, std::string path, std::string body = {}) const {
    HttpCall http_call;
    http_call.endpoint = {"127.0.0.1", engine.port()};
    http_call.method = std::move(method);
    http_call.path = std::move(path);
    http_call.body = std::move(body);
    return http_call;
  }

  HttpClient::Response send(std::string method, std::string path, std::string body = {}) {
    return client.send_and_wait(call(std::move(method), std::move(path), std::move(body)));
  }

  Json get(std::string path) { return Json::parse(send("GET", std::move(path)).body); }

  std::int64_t counter(const std::string& name) { return get("/counters").at(name); }

  HttpLoop loop;
  EngineStandin engine;
  HttpClient client{loop};
};

Json completion(const std::string& id, const std::string& prompt, int max_tokens = 8) {
  return {{"request_id", id},
          {"model", "clerk"},
          {"prompt", prompt},
          {"max_tokens", max_tokens},
          {"priority", 0},
          {"stream", true},
          {"cache_salt", kSeed.to_hex()}};
}

/** Contents of an event stream. */
struct Answer {
  std::string text;
  std::vector<int> indices;
  Json started;
  Json finished;
  bool done = false;
};

Answer parse(const std::string& body) {
  Answer answer;
  for (std::size_t at = 0, end = 0; (end = body.find("\n\n", at)) != std::string::npos;
       at = end + 2) {
    const std::string line = body.substr(at, end - at);
    REQUIRE(line.starts_with("data: "));
    if (line == "data: [DONE]") {
      answer.done = true;
      continue;
    }
    const Json event = Json::parse(line.substr(6));
    if (event.contains("index")) {
      answer.indices.push_back(event.at("index"));
      answer.text += event.at("text").get<std::string>();
    } else {
      (event.contains("total") ? answer.finished : answer.started) = event;
    }
  }
  return answer;
}

bool failed(const HttpClient::Response& response) {
  return std::holds_alternative<HttpClient::Failed>(response.outcome);
}

std::string error_code(const HttpClient::Response& response) {
  return Json::parse(response.body).at("error").at("code");
}

}  // namespace

// Guards against an event stream that differs from docs/UPSTREAM-PROTOCOLS.md.
TEST_CASE("an answer arrives as an event stream", "[standins]") {
  Fixture fixture;
  const std::string prompt(2 * kBlockTextBytes, 'x');
  const auto response = fixture.send("POST", "/v1/completions", completion("r", prompt).dump());
  CHECK(response.status == 200);
  const Answer answer = parse(response.body);
  CHECK(answer.text == ExpectedAnswer(prompt).text(0, 8));
  CHECK(answer.started.at("weight_version") == "1");
  CHECK(answer.started.at("usage").at("prompt_tokens") == 2048);
  CHECK(answer.started.at("usage").at("computed_blocks") == 2);
  CHECK(answer.finished == Json({{"finish_reason", "length"}, {"total", 8}}));
  CHECK(answer.done);
  CHECK(fixture.get("/load").at("start_id") == answer.started.at("start_id"));
}

// Guards against responses in which a sidecar cannot tell refused requests from requests that were
// run.
TEST_CASE("requests that cannot run are refused with the matching status", "[standins]") {
  Fixture fixture;
  Json unknown = completion("r", "p");
  unknown["model"] = "unknown";
  Json unsalted = completion("r", "p");
  unsalted.erase("cache_salt");
  Json mistyped = completion("r", "p");
  mistyped["max_tokens"] = "many";
  const auto [body, status] =
      GENERATE_COPY(table<std::string, int>({{"not JSON", 400},
                                             {"[]", 400},
                                             {unsalted.dump(), 400},
                                             {mistyped.dump(), 400},
                                             {completion("r", "p", 0).dump(), 400},
                                             {unknown.dump(), 404}}));
  CHECK(fixture.send("POST", "/v1/completions", body).status == status);
  fixture.send("POST", "/faults", R"({"refuse":true})");
  const auto refused = fixture.send("POST", "/v1/completions", completion("r", "p").dump());
  CHECK(refused.status == 503);
  CHECK(error_code(refused) == "overloaded");
  CHECK(fixture.counter("started") == 0);
}

// Guards against a broken stream that looks complete.
TEST_CASE("a broken stream resumes at the next index", "[standins]") {
  Fixture fixture;
  fixture.send("POST", "/faults", R"({"break_after_tokens":3})");
  const auto broken = fixture.send("POST", "/v1/completions", completion("r", "prompt").dump());
  CHECK(failed(broken));
  CHECK(parse(broken.body).text == ExpectedAnswer("prompt").text(0, 3));
  fixture.send("POST", "/faults", "{}");
  const Answer rest = parse(fixture.send("GET", "/v1/requests/r/stream?from_index=3").body);
  CHECK(rest.text == ExpectedAnswer("prompt").text(3, 8));
  CHECK(rest.done);
  CHECK(fixture.send("GET", "/v1/requests/other/stream?from_index=0").status == 404);
}

// Guards against a break that discards tokens which were generated in the same step of the timer.
TEST_CASE("a broken stream delivers all tokens before the break", "[standins]") {
  EngineOptions options = fast_options();
  options.decode_step_us = 1;
  Fixture fixture(options);
  fixture.send("POST", "/faults", R"({"break_after_tokens":3})");
  const auto broken = fixture.send("POST", "/v1/completions", completion("r", "prompt").dump());
  CHECK(failed(broken));
  CHECK(parse(broken.body).text == ExpectedAnswer("prompt").text(0, 3));
}

// Guards against a stalled stream that a reader can detect without a timeout.
TEST_CASE("a stalled stream stays open without further events", "[standins]") {
  Fixture fixture;
  fixture.send("POST", "/faults", R"({"stall_after_tokens":2})");
  HttpCall call = fixture.call("POST", "/v1/completions", completion("r", "prompt").dump());
  call.idle_timeout = 200_ms;
  const auto stalled = fixture.client.send_and_wait(std::move(call));
  CHECK(failed(stalled));
  CHECK(parse(stalled.body).indices == std::vector<int>{0, 1});
  CHECK(fixture.counter("completed") == 1);  // The run continued.
}

// Guards against a crash that readers do not notice.
TEST_CASE("an overloaded cold engine breaks all streams and restarts under another id",
          "[standins]") {
  EngineOptions options = fast_options();
  options.starts_warm = false;
  options.decode_step_us = 100'000;  // Slow enough that all requests run at once.
  Fixture fixture(options);
  const Json before = fixture.get("/load");
  std::vector<std::future<HttpClient::Response>> responses;
  for (int i = 0; i < 4; ++i) {
    auto promise = std::make_shared<std::promise<HttpClient::Response>>();
    responses.push_back(promise->get_future());
    fixture.client.send(
        fixture.call("POST", "/v1/completions", completion(std::to_string(i), "p").dump()),
        [promise](HttpClient::Response response) { promise->set_value(std::move(response)); });
  }
  for (auto& response : responses) {
    CHECK(failed(response.get()));
  }
  CHECK(fixture.counter("falls") == 1);
  CHECK(fixture.get("/load").at("start_id") != before.at("start_id"));
}

// Guards against a cancelled answer that looks complete.
TEST_CASE("cancelling breaks the stream", "[standins]") {
  EngineOptions options = fast_options();
  options.decode_step_us = 100'000;
  Fixture fixture(options);
  std::promise<HttpClient::Response> promise;
  std::promise<void> began;
  HttpClient::Listener listener;
  listener.on_head = [&began](int, std::span<const HttpHeader>) { began.set_value(); };
  listener.on_done = [&promise](const HttpClient::Outcome& outcome) {
    promise.set_value({.outcome = outcome});
  };
  fixture.client.send(fixture.call("POST", "/v1/completions", completion("r", "p", 30).dump()),
                      std::move(listener));
  began.get_future().wait();
  CHECK(fixture.send("POST", "/v1/requests/r/cancel").status == 200);
  CHECK(failed(promise.get_future().get()));
  CHECK(fixture.send("POST", "/v1/requests/r/cancel").status == 404);
}

// Guards against corrupt blocks that are not counted.
TEST_CASE("blocks are listed, exported and imported", "[standins]") {
  Fixture from;
  Fixture to;
  const std::string prompt(kBlockTextBytes, 'x');
  const BlockKey key = block_keys(kSeed, prompt).front();
  const std::string path = "/kv/blocks/" + key.to_hex();
  CHECK(from.send("GET", path).status == 404);
  from.send("POST", "/v1/completions", completion("r", prompt).dump());
  const Json list = from.get("/kv/blocks");
  CHECK(list.at("keys") == Json::array({key.to_hex()}));
  const Json events = from.get("/kv/events?after=1");
  CHECK(events.at("next") == list.at("next"));
  CHECK(events.at("events").at(0).at("type") == "stored");
  CHECK(events.at("events").at(0).at("keys") == list.at("keys"));

  const std::string bytes = from.send("GET", path).body;
  CHECK(bytes == block_payload(key, 65'536));
  CHECK(to.send("PUT", path, bytes).status == 200);
  CHECK(to.send("PUT", "/kv/blocks/no-key", bytes).status == 400);
  CHECK(to.counter("corrupt_imports") == 0);
  const bool corrupt = GENERATE(false, true);
  if (corrupt) {
    CHECK(to.send("PUT", path, bytes.substr(1)).status == 200);
  }
  const auto answer = to.send("POST", "/v1/completions", completion("r", prompt).dump());
  CHECK(parse(answer.body).started.at("usage").at("cached_blocks") == 1);
  CHECK(to.counter("corrupt_imports") == (corrupt ? 1 : 0));
  CHECK(to.counter("corrupt_reads") == (corrupt ? 1 : 0));
  to.send("POST", "/faults", R"({"go_cold":true})");
  CHECK(to.get("/kv/blocks").at("keys").empty());
}

// Guards against a weight load whose response is sent before it takes effect.
TEST_CASE("commands take effect, and stale fencing numbers are refused", "[standins]") {
  Fixture fixture;
  const std::string load = R"({"model":"clerk","version":"2","fencing_number":5})";
  CHECK(fixture.send("POST", "/admin/load", load).status == 200);
  CHECK(fixture.get("/load").at("models").at("clerk") == "2");
  const auto stale = fixture.send("POST", "/admin/role", R"({"role":"x","fencing_number":4})");
  CHECK(stale.status == 409);
  CHECK(error_code(stale) == "stale_fencing_number");
  CHECK(Json::parse(stale.body).at("error").at("highest") == 5);
  const std::string adapter = R"({"model":"clerk","adapter":"a","fencing_number":5})";
  CHECK(fixture.send("POST", "/admin/adapter", adapter).status == 200);
  CHECK(fixture.send("POST", "/admin/load", R"({"model":"clerk"})").status == 400);
  CHECK(fixture.send("POST", "/admin/load", "no JSON").status == 400);
}

}  // namespace bluebellstep::standins
