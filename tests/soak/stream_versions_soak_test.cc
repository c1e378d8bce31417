// Randomized soak test of streams that callers take up while engines of new software versions
// replace others, gateways are killed and the store is away. Run by tools/soak.sh; excluded from
// default runs.

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>

#include "base/random.h"
#include "tests/process/gateway_fleet.h"

namespace bluebellstep::testing {
namespace {

constexpr int kSteps = 40;
constexpr std::chrono::milliseconds kStep{200};
constexpr int kStreamsPerStep = 8;
constexpr int kStepsPerRelease = 14;   // Longer than it takes until a new version is used.
constexpr std::uint32_t kEvents = 40;  // 120 ms, so that kills of gateways cut streams too.
constexpr int kMaxTries = 15;          // One a step: less than the deadline of the requests.

/** A stream over all tries of its caller. */
struct Stream {
  Resumption resumption;  // Without a request id before the first event.
  std::set<std::string> versions;
  int tries = 0;
  bool waits = true;       // For the next try.
  bool continued = false;  // A try after the one that began it has brought events.
};

/** Shared with the responses that are on their way. */
struct Callers {
  std::mutex mutex;
  std::map<int, Stream> streams;  // By number.

  void on_response(int number, const std::string& id, const GatewayFleet::Response& response) {
    const std::lock_guard lock(mutex);
    Stream& stream = streams.at(number);
    const StreamPart part = GatewayFleet::parse_stream(response.body);
    if (!part.event_ids.empty()) {
      stream.continued = !stream.resumption.request_id.empty();
      stream.resumption.request_id = stream.continued ? stream.resumption.request_id : id;
      stream.resumption.last_event_id = part.event_ids.back();
      stream.versions.insert(part.versions.begin(), part.versions.end());
    }
    stream.waits = stream.resumption.last_event_id < kEvents && stream.tries < kMaxTries;
  }
};

void inject_fault(GatewayFleet& fleet, Random& random) {
  const std::uint64_t fault = random.below(20);
  for (const std::string name : {"g1", "g2", "g3"}) {
    if (fault == 0 || (fault == 1 && random.chance(0.4))) {
      fleet.process(name).send_signal(SIGKILL);
    }
  }
  for (const std::string name : {"g1", "g2", "g3"}) {
    if (const auto code = fleet.process(name).wait_for_exit(Duration{fault < 2 ? 100 : 0})) {
      CHECK(code == 128 + SIGKILL);
      fleet.start_gateway(name);
    }
  }
  const char* outage = random.chance(0.5) ? "store_down" : "store_silent";
  fleet.set_faults({{outage, fault < 4}, {"cut_streams", random.below(20)}});
}

}  // namespace

// Guards against streams of two software versions, and against take-ups that are all refused. The
// environment variable selects the seed.
TEST_CASE("soak: streams keep their software version", "[.soak]") {
  const char* text = std::getenv("BLUEBELLSTEP_SOAK_SEED");
  Random random(text == nullptr ? 1 : std::strtoull(text, nullptr, 10));
  const auto callers = std::make_shared<Callers>();
  GatewayFleet fleet(3, {.stream_events = kEvents, .spare_engines = 6});
  for (int step = 0; step < kSteps; ++step) {
    if (const int release = step / kStepsPerRelease; step % kStepsPerRelease == 0) {
      fleet.release_engines("v" + std::to_string(release + 2), "v" + std::to_string(release),
                            random.chance(0.5));
    }
    inject_fault(fleet, random);
    std::unique_lock lock(callers->mutex);
    for (int i = 0; i < kStreamsPerStep; ++i) {
      callers->streams.try_emplace(step * kStreamsPerStep + i);
    }
    for (auto& [number, stream] : callers->streams) {
      if (std::exchange(stream.waits, false)) {
        const std::string id = std::to_string(number) + "-" + std::to_string(++stream.tries);
        fleet.send(
            "g" + std::to_string(1 + random.below(3)), "prompts", id,
            [callers, number = number, id](const auto& response) {
              callers->on_response(number, id, response);
            },
            stream.resumption.request_id.empty() ? std::nullopt : std::optional(stream.resumption));
      }
    }
    lock.unlock();
    std::this_thread::sleep_for(kStep);
  }
  const std::lock_guard lock(callers->mutex);
  std::map<std::string, int> continued;  // By version.
  for (const auto& [number, stream] : callers->streams) {
    CAPTURE(number, stream.versions);
    CHECK(stream.versions.size() <= 1);
    continued[stream.continued ? *stream.versions.begin() : ""] += 1;
  }
  CAPTURE(continued["v1"], continued["v2"], continued["v3"], continued["v4"]);
  CHECK(continued["v2"] + continued["v3"] + continued["v4"] > 0);
}

}  // namespace bluebellstep::testing
