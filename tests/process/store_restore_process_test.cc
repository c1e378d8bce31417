// Real gateways while the platform's store is restored from a copy that is some seconds old.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "tests/process/gateway_fleet.h"
#include "tests/process/store_restore.h"
#include "tests/soak/fault_proxy.h"

namespace bluebellstep::testing {
namespace {

using Json = GatewayFleet::Json;

// Within this time all gateways have heard of a change, also one that is cut off from the store.
constexpr Duration kSpreadTime{800};
// Longer than the drain time of the stand-in, which is 2 s.
constexpr Duration kAfterDrain{3500};
// Ten a second from each of three gateways, over the 6 s that a test takes at least.
constexpr int kMaxStoreCalls = 180;
const std::vector<std::string> kGateways = {"g1", "g2", "g3"};

// Servers leave in the seconds that the store loses, and while it is new.
void check_leaving(GatewayFleet& fleet, int restores) {
  SteadyRequests requests(fleet, {"lookups"});
  requests.send_for(kSpreadTime);
  copy_store(fleet);
  leave(fleet, {.server = "orders-1"});
  leave(fleet, {.server = "orders-2", .stopped = true});
  leave(fleet, {.server = "orders-3", .removed = true});
  leave(fleet, {.server = "orders-4", .removed = true, .stopped = true});
  requests.send_for(kSpreadTime);
  for (int i = 0; i < restores; ++i) {
    restore_store(fleet, [&] { requests.send(); });
  }
  leave(fleet, {.server = "orders-5"});
  leave(fleet, {.server = "orders-6", .removed = true});
  requests.send_for(kSpreadTime);
  leave(fleet, {.server = "orders-7", .removed = true});
  requests.send_for(kAfterDrain);
  const std::string counters = fleet.call_store("GET", "/counters", nullptr).body;
  CAPTURE(counters);
  CHECK(fleet.counter("late_requests") == 0);
  // A gateway that drops the list of the restored store asks for it again without a pause.
  CHECK(fleet.store_calls("servers") < kMaxStoreCalls);
  for (const auto& [id, response] : requests.wait_for_answers()) {
    CAPTURE(id, response.body);
    CHECK(response.status == 200);
  }
}

const FleetSetup kManyServers{.plain_servers = 9};

}  // namespace

// Guards against requests that reach a server that has left, since the store has lost its leaving
// or gives the same revision to it again.
TEST_CASE("process: no late request after the store was restored") {
  const int restores = GENERATE(1, 2);
  CAPTURE(restores);
  GatewayFleet fleet(3, kManyServers);
  check_leaving(fleet, restores);
}

// Guards against the same at a gateway that hears of all this from other gateways only.
TEST_CASE("process: no late request from a gateway cut off from a store that is restored") {
  GatewayFleet fleet(3, kManyServers);
  FaultProxy proxy(fleet.store_port());
  fleet.route_store("g3", proxy.port());
  REQUIRE(fleet.wait_until_ready("g3", Duration{10'000}));
  proxy.set_fault(GENERATE(ProxyFault::kReset, ProxyFault::kUnresponsive));
  check_leaving(fleet, 1);
}

namespace {

constexpr int kEngines = 8;
constexpr Duration kLeaseTerm{2000};
// After the restore all engines get the named weights within this time.
constexpr Duration kAllLoaded{10'000};

}  // namespace

// Guards against two gateways that order loads with one fence or by turns, since the store has lost
// the lease of the first, and against engines that stay behind.
TEST_CASE("process: the store loses the lease of the gateway that loads weights") {
  const auto [fault, check_fences] = GENERATE(table<std::string, bool>(
      {{"none", true}, {"killed", true}, {"paused", true}, {"killed", false}}));
  CAPTURE(fault, check_fences);
  GatewayFleet fleet(3, {.engines = kEngines,
                         .check_fences = check_fences,
                         .bounds = "  lease_term: " + std::to_string(kLeaseTerm.ms) + "ms\n"});
  std::this_thread::sleep_for(std::chrono::milliseconds(kSpreadTime.ms));
  copy_store(fleet);
  name_weights(fleet, 2);
  REQUIRE(wait_until(Duration{5000}, [&] { return fleet.counter("loads") > 0; }));
  const std::string holder = WeightLoads(fleet).last_holder();
  if (fault == "killed") {
    fleet.process(holder).kill_now();
  } else if (fault == "paused") {
    fleet.process(holder).send_signal(SIGSTOP);
  }
  restore_store(fleet, [] {});
  name_weights(fleet, 3);
  if (fault == "paused") {
    // Another gateway may hold the lease when this one goes on.
    wait_until(Duration{6000}, [&] { return WeightLoads(fleet).holders().size() > 1; });
    fleet.process(holder).send_signal(SIGCONT);
  }
  CHECK(wait_until(kAllLoaded, [&] { return all_have_weights(fleet, 3); }));
  const WeightLoads loads(fleet);
  const std::string violations = loads.violations(kLeaseTerm);
  CAPTURE(violations, loads.to_string());
  CHECK(violations.empty());
  CHECK(loads.holders().size() >= (fault == "none" ? 1 : 2));
}

namespace {

// Writes the next version of the configuration with these keys.
void write_keys(GatewayFleet& fleet, const std::vector<std::string>& keys) {
  Json object = Json::parse(fleet.call_store("GET", "/objects/config/main", nullptr).body);
  Json& spec = object.at("spec");
  spec["version"] = spec.at("version").get<int>() + 1;
  spec["tenants"][0]["api_keys"] = keys;
  CHECK(fleet
            .call_store("PUT", "/objects/config/main",
                        {{"metadata", {{"name", "main"}}}, {"spec", spec}})
            .status == 200);
}

bool all_answer(GatewayFleet& fleet, const std::string& key, int status) {
  return std::ranges::all_of(kGateways, [&](const std::string& gateway) {
    return fleet.request(gateway, "lookups", "lookups-" + key, key).status == status;
  });
}

}  // namespace

// Guards against a configuration that goes back to that of the copy, and against one that no
// gateway takes, since its revision is lower than that of a lost one.
TEST_CASE("process: the store loses a configuration") {
  GatewayFleet fleet(3);
  write_keys(fleet, {"key-1", "key-2"});
  REQUIRE(wait_until(Duration{5000}, [&] { return all_answer(fleet, "key-2", 200); }));
  const auto version = [&] {
    const Json object = Json::parse(fleet.call_store("GET", "/objects/config/main", nullptr).body);
    return object.at("spec").at("version").get<int>();
  };
  const int copied_version = version();
  copy_store(fleet);
  // More versions than are written after the restore.
  for (int i = 0; i < 8; ++i) {
    write_keys(fleet, {"key-1"});
  }
  REQUIRE(wait_until(Duration{5000}, [&] { return all_answer(fleet, "key-2", 401); }));
  const auto check_keys = [&] {
    CHECK(all_answer(fleet, "key-2", 401));
    CHECK(all_answer(fleet, "key-1", 200));
  };
  restore_store(fleet, check_keys);
  // The configuration without `key-2` is written again.
  REQUIRE(wait_until(Duration{5000}, [&] {
    check_keys();
    return version() > copied_version;
  }));
  check_keys();
  write_keys(fleet, {"key-1", "key-3"});
  CHECK(wait_until(Duration{5000}, [&] {
    check_keys();
    return all_answer(fleet, "key-3", 200);
  }));
}

// Guards against gateways that need the header with the era.
TEST_CASE("process: gateways serve requests with a store that states no era") {
  GatewayFleet fleet(3);
  fleet.set_faults({{"no_era", true}});
  // One has heard of an era, and two have not.
  fleet.start_gateway("g1");
  fleet.start_gateway("g2");
  CHECK(wait_until(Duration{8000}, [&] { return all_answer(fleet, "key-1", 200); }));
  write_keys(fleet, {"key-2"});
  CHECK(wait_until(Duration{5000}, [&] { return all_answer(fleet, "key-1", 401); }));
  CHECK(all_answer(fleet, "key-2", 200));
}

// Guards against requests and streams that fail because of a restore, and against gateways that
// never hear of the servers that are added after it.
TEST_CASE("process: requests are served throughout a restore of the store") {
  GatewayFleet fleet(3, {.stream_events = 200});
  fleet.set_faults({{"delay_ms", 50}});
  SteadyRequests requests(fleet, {"orders", "lookups", "prompts", "chats"});
  requests.send_for(kSpreadTime);
  copy_store(fleet);
  // More changes than there are after the restore.
  Json entry = Json::parse(fleet.call_store("GET", "/objects/servers/orders-0", nullptr).body);
  for (int change = 1; change <= 20; ++change) {
    entry["spec"]["seq"] = change;
    const Json object = {{"metadata", {{"name", "orders-0"}}}, {"spec", entry["spec"]}};
    CHECK(fleet.call_store("PUT", "/objects/servers/orders-0", object).status == 200);
  }
  requests.send_for(kSpreadTime);
  restore_store(fleet, [&] { requests.send(); });
  const Json replacement = {{"version", "v2"}, {"replaces", "v1"}};
  CHECK(fleet.call_store("POST", "/versions", replacement).status == 200);
  requests.send_for(kAfterDrain);
  const Json stop = {{"version", "v2"}, {"replaces", "v1"}, {"count", 0}, {"stop", true}};
  CHECK(fleet.call_store("POST", "/versions", stop).status == 200);
  requests.send_for(kSpreadTime);
  const auto answers = requests.wait_for_answers();
  const auto runs = fleet.run_counts();
  CHECK(fleet.counter("runs_v2") > 0);
  for (const auto& [id, response] : answers) {
    CAPTURE(id, response.body);
    CHECK(response.status == 200);
    CHECK(std::holds_alternative<HttpClient::Complete>(response.outcome));
    if (id.starts_with("orders") || id.starts_with("chats")) {
      CHECK((runs.contains(id) ? runs.at(id) : 0) == 1);
    }
  }
}

}  // namespace bluebellstep::testing
