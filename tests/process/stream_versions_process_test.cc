// Tests on real processes that a stream continues only at the software version that began it.

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http/socket_address.h"
#include "tests/process/gateway_fleet.h"

namespace bluebellstep::testing {
namespace {

constexpr Duration kTakeUpTimeout{8000};
// Less than the deadline of the requests, so that a request that is held until then fails the test.
constexpr Duration kAtOnce{2000};
constexpr const char *kDefaultVersion = "v1", *kOtherVersion = "v2";

// Within this time each gateway sends a report to each other one.
constexpr std::chrono::milliseconds kReportTime{1500};

// Makes the kernel drop all further datagrams to a paused process.
void fill_datagram_socket(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  REQUIRE(fd >= 0);
  const auto address = to_socket_address({.ip = "127.0.0.1", .port = port});
  const std::string filler(16'000, '-');
  for (int i = 0; i < 1000; ++i) {
    (void)::sendto(fd, filler.data(), filler.size(), 0, address->get(), address->length);
  }
  ::close(fd);
}

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

  // Engines of the other version join while this gateway is paused. `resume` ends the pause.
  explicit TwoVersions(const std::string& paused) {
    for (const std::string gateway : {"g1", "g2", "g3"}) {
      break_off(gateway, kDefaultVersion);
    }
    // Gateways that have just created their records wait for a paused one far longer.
    for (const std::string gateway : {"g1", "g2"}) {
      fleet.start_gateway(gateway);
    }
    fleet.process(paused).send_signal(SIGSTOP);
    std::this_thread::sleep_for(kReportTime);
    fill_datagram_socket(fleet.peer_port(paused));
    fleet.release_engines(kOtherVersion);
  }
  void resume(const std::string& paused) { fleet.process(paused).send_signal(SIGCONT); }

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

// Guards against a gateway that continues streams by the table and the reports from before a pause,
// while engines of another version joined and the other gateways used them. The first take-ups wait
// in its socket.
TEST_CASE("process: a gateway that was paused continues streams at their software version") {
  const std::string paused = "g3";
  TwoVersions two(paused);
  two.break_off("g1", kOtherVersion);
  const auto streams = two.break_off_some("g1");
  std::vector<std::future<GatewayFleet::Response>> early;
  for (const BrokenStream& broken : streams) {
    auto answer = std::make_shared<std::promise<GatewayFleet::Response>>();
    early.push_back(answer->get_future());
    two.fleet.send(
        paused, "prompts", "early-" + broken.resumption.request_id,
        [answer](GatewayFleet::Response response) { answer->set_value(std::move(response)); },
        broken.resumption);
  }
  two.resume(paused);
  for (std::size_t i = 0; i < streams.size(); ++i) {
    const auto response = early[i].get();
    CAPTURE(i, response.status, response.body);
    const StreamPart rest = GatewayFleet::parse_stream(response.body);
    CHECK((response.status == 503 || rest.versions == std::set{streams[i].version}));
  }
  CHECK(two.take_up_all(paused, streams));
}

}  // namespace bluebellstep::testing
