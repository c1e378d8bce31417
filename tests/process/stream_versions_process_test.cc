// Tests on real processes that a stream continues only at the software version that began it.

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "tests/process/gateway_fleet.h"

namespace bluebellstep::testing {
namespace {

constexpr Duration kTakeUpTimeout{8000};
// Less than the deadline of the requests, so that a request that is held until then fails the test.
constexpr Duration kAtOnce{2000};
constexpr const char *kDefaultVersion = "v1", *kOtherVersion = "v2";

/** A stream of which the caller has received some events. */
struct BrokenStream {
  Resumption resumption;
  std::string version;
};

/** A fleet with engines of two software versions, both of which begin streams. */
class TwoVersions {
 public:
  TwoVersions() {
    fleet.release_engines(kOtherVersion);
    break_off("g1", kOtherVersion);
  }

  // Sends streams that break off to the gateway until the wanted version has begun one.
  BrokenStream break_off(const std::string& gateway, const std::string& version) {
    BrokenStream broken;
    const bool found = wait_until(Duration{10'000}, [&] {
      // The gateway continues a stream once.
      fleet.set_faults({{"cut_streams", 2}});
      const std::string id = "broken-" + std::to_string(++count_);
      const StreamPart part =
          GatewayFleet::parse_stream(fleet.request(gateway, "prompts", id).body);
      CHECK(part.versions.size() <= 1);
      if (part.versions != std::set{version}) {
        return false;
      }
      broken = {.resumption = {.request_id = id, .last_event_id = part.event_ids.back()},
                .version = version};
      return true;
    });
    fleet.set_faults(GatewayFleet::Json::object());
    REQUIRE(found);
    return broken;
  }

  std::vector<BrokenStream> break_off_some(const std::string& gateway) {
    std::vector<BrokenStream> streams(10);
    std::ranges::generate(streams, [&, other = false]() mutable {
      return break_off(gateway, (other = !other) ? kOtherVersion : kDefaultVersion);
    });
    return streams;
  }

  // Takes the stream up. Checks that it is refused at once, or continues at the version that began
  // it. Returns whether it continues.
  bool take_up(const std::string& gateway, const BrokenStream& broken) {
    const Instant began = clock_.now();
    const auto response =
        fleet.resume(gateway, "again-" + std::to_string(++count_), broken.resumption);
    const StreamPart rest = GatewayFleet::parse_stream(response.body);
    CAPTURE(gateway, response.status, response.body);
    if (response.status == 503) {
      CHECK(clock_.now() - began < kAtOnce);
      return false;
    }
    CHECK(response.status == 200);
    CHECK(rest.versions == std::set{broken.version});
    REQUIRE_FALSE(rest.event_ids.empty());
    CHECK(rest.event_ids.front() == broken.resumption.last_event_id + 1);
    CHECK(rest.event_ids.back() == kStreamEvents);
    return true;
  }

  // Takes the streams up as often as they are refused. Returns whether all have continued.
  bool take_up_all(const std::string& gateway, const std::vector<BrokenStream>& streams) {
    return std::ranges::all_of(streams, [&](const BrokenStream& broken) {
      return wait_until(kTakeUpTimeout, [&] { return take_up(gateway, broken); });
    });
  }

  GatewayFleet fleet{3};

 private:
  Clock clock_;
  int count_ = 0;
};

}  // namespace

// Guards against a text of two software versions when a caller comes back to another gateway.
TEST_CASE("process: a stream continues at its software version at another gateway") {
  TwoVersions two;
  const auto streams = two.break_off_some("g1");
  CHECK(two.take_up_all("g2", streams));
  CHECK(two.take_up_all("g1", streams));
}

// Guards against the same after no gateway has a memory of the stream.
TEST_CASE("process: a stream continues at its software version after all gateways were killed") {
  TwoVersions two;
  const auto streams = two.break_off_some("g1");
  const std::vector<std::string> all = {"g1", "g2", "g3"};
  std::ranges::for_each(all, [&](const auto& name) { two.fleet.process(name).kill_now(); });
  std::ranges::for_each(all, [&](const auto& name) { two.fleet.start_gateway(name); });
  CHECK(two.take_up_all("g2", streams));
  CHECK(two.take_up_all("g1", streams));
}

// Guards against the same, and against callers that wait, while the store cannot be asked.
TEST_CASE("process: no stream continues at another software version without the store") {
  const std::string fault = GENERATE("store_down", "store_silent");
  TwoVersions two;
  const auto streams = two.break_off_some("g1");
  two.fleet.set_faults({{fault, true}});
  for (const std::string gateway : {"g2", "g1", "g3"}) {
    for (const BrokenStream& broken : streams) {
      two.take_up(gateway, broken);
    }
  }
  two.fleet.set_faults(GatewayFleet::Json::object());
  CHECK(two.take_up_all("g2", streams));
}

// Guards against a stream that continues elsewhere, or waits, when its software version is gone.
TEST_CASE("process: a stream whose software version has stopped is refused at once") {
  const std::string gone = GENERATE(kDefaultVersion, kOtherVersion);
  TwoVersions two;
  const BrokenStream broken = two.break_off("g1", gone);
  two.fleet.release_engines("v3", gone, true);
  for (const std::string gateway : {"g1", "g2"}) {
    // A gateway that has not heard of the change yet may try the stopped servers.
    CHECK(wait_until(kTakeUpTimeout, [&] {
      const auto response = two.fleet.resume(gateway, "early", broken.resumption);
      CHECK(GatewayFleet::parse_stream(response.body).event_ids.empty());
      return response.status == 503;
    }));
    CHECK_FALSE(two.take_up(gateway, broken));
  }
}

}  // namespace bluebellstep::testing
