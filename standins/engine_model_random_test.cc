// Calls the engine model at random and checks invariants that hold for every sequence of calls.

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <variant>

#include "base/random.h"
#include "standins/engine_model.h"

namespace bluebellstep::standins {
namespace {

constexpr int kSteps = 3'000;
constexpr int kPrompts = 6;

/** An engine that receives random calls, and the expected state of the reader of each stream. */
class RandomCallFixture {
 public:
  explicit RandomCallFixture(std::uint64_t seed) : random_(seed), engine_(options(), now_) {}

  void step() {
    now_ = now_ + Duration{static_cast<std::int64_t>(random_.below(40))};
    const std::uint64_t call = random_.below(100);
    const std::string id = std::to_string(random_.below(20));
    if (call < 50) {
      submit(id);
    } else if (call < 70) {
      resume(id);
    } else if (call < 80) {
      engine_.cancel(id, now_);
    } else if (call < 85) {
      engine_.load_weights("clerk", std::to_string(random_.below(5)), 1, now_);
    } else if (call < 88) {
      engine_.set_faults(
          {.drop_event_every = static_cast<std::uint32_t>(random_.below(3)),
           .break_after_tokens = random_.chance(0.3) ? std::optional(4u) : std::nullopt,
           .refuse = random_.chance(0.1)});
    } else if (call < 89) {
      engine_.go_cold(now_);
    } else {
      engine_.advance(now_);
    }
    read_events();
    REQUIRE(engine_.cached_keys(now_).size() <= options().cache_blocks);
  }

  /** Runs the engine until it is idle, then checks that all capacity is free and the counters add
   * up. */
  void drain() {
    now_ = now_ + 600_s;
    engine_.advance(now_);
    read_events();
    REQUIRE_FALSE(engine_.next_event().has_value());
    const LoadReport& load = engine_.load_report(now_ + 1_s);
    CHECK(load.running == 0);
    CHECK(load.waiting == 0);
    CHECK(load.kv_tokens_used == 0);
    CHECK(readers_.empty());
    const EngineCounters& counters = engine_.counters();
    CHECK(counters.peak_running <= options().max_running);
    CHECK(counters.submitted ==
          counters.refused + counters.completed + counters.cancelled + counters.broken_runs);
    CHECK(counters.completed > 100);
    CHECK(counters.cached_blocks > 0);
  }

 private:
  struct Reader {
    ExpectedAnswer answer;
    std::uint32_t next = 0;
    bool started = false;
  };

  static EngineOptions options() {
    EngineOptions options;
    options.max_running = 6;
    options.max_waiting = 8;
    options.max_kv_tokens = 9'000;
    options.cache_blocks = 8;
    options.weight_load_time = 300_ms;
    options.starts_warm = true;
    return options;
  }

  void submit(const std::string& id) {
    const std::uint64_t number = random_.below(kPrompts);
    CompletionRequest request;
    request.request_id = id;
    request.model = "clerk";
    request.prompt =
        std::string(kBlockTextBytes * (number % 3) + 9, static_cast<char>('a' + number));
    request.max_tokens = static_cast<std::uint32_t>(1 + random_.below(12));
    request.priority = static_cast<std::int32_t>(random_.below(3));
    request.first_index = static_cast<std::uint32_t>(random_.below(2));
    const ExpectedAnswer answer(request.prompt);
    request.resume_text = answer.text(0, request.first_index);
    const std::uint32_t first = request.first_index;
    const SubmitResult result = engine_.submit(std::move(request), now_);
    if (const auto* stream = std::get_if<StreamId>(&result)) {
      prompts_.insert_or_assign(id, answer);
      readers_.emplace(*stream, Reader{answer, first});
    }
  }

  void resume(const std::string& id) {
    const auto from = static_cast<std::uint32_t>(random_.below(4));
    if (const auto stream = engine_.resume(id, from, now_)) {
      readers_.emplace(*stream, Reader{prompts_.at(id), from});
    }
  }

  void read_events() {
    for (const StreamEvent& event : engine_.take_events()) {
      REQUIRE(event.at <= now_);
      Reader& reader =
          readers_.at(event.stream);  // Fails if an event follows the end of its stream.
      if (const auto* token = std::get_if<StreamToken>(&event.payload)) {
        REQUIRE(reader.started);
        REQUIRE(token->index == reader.next);
        REQUIRE(token->text == reader.answer.token(reader.next));
        ++reader.next;
      } else if (std::holds_alternative<StreamStarted>(event.payload)) {
        REQUIRE_FALSE(std::exchange(reader.started, true));
      } else {
        if (const auto* finished = std::get_if<StreamFinished>(&event.payload)) {
          REQUIRE(finished->total_tokens == reader.next);
        }
        readers_.erase(event.stream);
      }
    }
  }

  Random random_;
  Instant now_{0};
  EngineModel engine_;
  std::map<std::string, ExpectedAnswer> prompts_;  // By request id.
  std::map<StreamId, Reader> readers_;             // Of open streams.
};

}  // namespace

// Guards against lost, mixed or repeated tokens and against leaked capacity, for any order of
// calls.
TEST_CASE("every sequence of calls yields correct answers and frees all capacity", "[standins]") {
  const std::uint64_t seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{9}));
  CAPTURE(seed);
  RandomCallFixture fixture(seed);
  for (int i = 0; i < kSteps; ++i) {
    fixture.step();
  }
  fixture.drain();
}

}  // namespace bluebellstep::standins
