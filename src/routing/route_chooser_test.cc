// Tests of the route choice, the upstream table and the retry budget.

#include "routing/route_chooser.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "routing/retry_budget.h"

namespace bluebellstep {
namespace {

constexpr ModelId kModel{0};
constexpr ServiceId kService{0};
constexpr std::uint32_t kLimit = 32;

UpstreamHint hint_of(std::uint32_t load) {
  UpstreamHint hint;
  hint.load = load;
  hint.limit = kLimit;
  hint.weight_versions = {{kModel, "v1"}};
  return hint;
}

// Upstreams u0, u1, ... in three zones. All have sent a hint without load at time 0.
struct Pool {
  explicit Pool(std::uint32_t size) {
    for (std::uint32_t i = 0; i < size; ++i) {
      ids.push_back(table.add("u" + std::to_string(i), {i % 3}, {kModel, kService}));
      table.apply_hint(ids.back(), hint_of(0), {0});
    }
  }

  SelectedRoute route(const RouteQuery& query,
                      std::vector<UpstreamId> excluded = {},
                      Instant now = {0}) {
    const Route route = chooser.choose(query, excluded, now);
    REQUIRE(std::holds_alternative<SelectedRoute>(route));
    return std::get<SelectedRoute>(route);
  }

  UpstreamTable table;
  RouteChooser chooser{table, 1};
  std::vector<UpstreamId> ids;
};

RouteQuery prompt(std::uint64_t root_key) {
  return {.target = kModel, .root_key = root_key};
}

RouteQuery prompt_without_home() {
  return {.target = kModel};
}

}  // namespace

// Guards against hints that are lost with each new bundle, which lists the same upstreams again.
TEST_CASE("an upstream that is added again unchanged keeps its hint", "[routing]") {
  UpstreamTable table;
  const UpstreamId id = table.add("u", {0}, {kModel});
  table.apply_hint(id, {.load = 3, .limit = 8}, {1000});
  CHECK(table.add("u", {0}, {kModel}) == id);
  CHECK(table.age(table.upstream(id), {1000}) == HintAge::kFresh);
  CHECK(table.upstream(id).hint.load == 3);
  CHECK(table.group(kModel)->members.size() == 1);
  table.add("u", {1}, {kModel});
  CHECK(table.age(table.upstream(id), {1000}) == HintAge::kUnresponsive);
}

// Guards against a change of one upstream that moves prompts between the others, whose caches would
// then be useless.
TEST_CASE("adding or removing one upstream moves about 1/n of the prompts", "[routing]") {
  constexpr std::uint32_t kSize = 20;
  constexpr int kPrompts = 20'000;
  Pool pool(kSize);
  Random random(5);
  std::map<std::uint64_t, UpstreamId> homes;
  for (int i = 0; i < kPrompts; ++i) {
    const std::uint64_t key = random.next();
    homes[key] = pool.route(prompt(key)).upstream;
  }
  const auto count_moved = [&](UpstreamId changed) {
    int moved = 0;
    for (const auto& [key, home] : homes) {
      const UpstreamId new_home = pool.route(prompt(key)).upstream;
      moved += new_home != home ? 1 : 0;
      // Only prompts of the changed upstream move.
      CHECK((new_home == home || new_home == changed || home == changed));
    }
    return static_cast<double>(moved) / kPrompts;
  };

  const UpstreamId added = pool.table.add("new", {0}, {kModel});
  pool.table.apply_hint(added, hint_of(0), {0});
  const double moved_by_adding = count_moved(added);
  CHECK(moved_by_adding > 0.5 / (kSize + 1));
  CHECK(moved_by_adding < 1.6 / (kSize + 1));
  pool.table.remove(added);
  CHECK(count_moved(added) == 0);
  pool.table.remove(pool.ids[7]);
  const double moved_by_removing = count_moved(pool.ids[7]);
  CHECK(moved_by_removing > 0.5 / kSize);
  CHECK(moved_by_removing < 1.6 / kSize);
}

// Guards against entry instances that choose different homes because they added the upstreams in a
// different order.
TEST_CASE("every entry instance chooses the same home", "[routing]") {
  Pool pool(9);
  UpstreamTable reversed;
  for (int i = 8; i >= 0; --i) {
    const UpstreamId id = reversed.add("u" + std::to_string(i), {0}, {kModel});
    reversed.apply_hint(id, hint_of(0), {0});
  }
  RouteChooser other(reversed, 77);
  Random random(2);
  for (int i = 0; i < 500; ++i) {
    const RouteQuery query = prompt(random.next());
    const auto route = std::get<SelectedRoute>(other.choose(query, {}, {0}));
    CHECK(reversed.upstream(route.upstream).name ==
          pool.table.upstream(pool.route(query).upstream).name);
  }
}

// Guards against prompts that stay at an overloaded home, and against prompts that move away from a
// home that has capacity for them.
TEST_CASE("a prompt leaves its home only above the load bound", "[routing]") {
  Pool pool(9);
  const RouteQuery query = prompt(12345);
  const SelectedRoute home = pool.route(query);
  CHECK(home.route_reason == RouteReason::kHome);
  for (const UpstreamId id : pool.ids) {
    pool.table.apply_hint(id, hint_of(20), {0});
  }
  // The mean load is 20 of 32, so the bound is about 25.
  pool.table.apply_hint(home.upstream, hint_of(24), {0});
  CHECK(pool.route(query).upstream == home.upstream);
  pool.table.apply_hint(home.upstream, hint_of(31), {0});
  const SelectedRoute second = pool.route(query);
  CHECK(second.route_reason == RouteReason::kSecondHome);
  CHECK(second.upstream != home.upstream);
  CHECK(pool.route(query).upstream == second.upstream);
  pool.table.apply_hint(second.upstream, hint_of(32), {0});
  CHECK(pool.route(query).route_reason == RouteReason::kLeastLoad);
}

// Guards against requests sent to an upstream that must not or cannot accept them.
TEST_CASE("ineligible upstreams are not chosen", "[routing]") {
  Pool pool(9);
  const RouteQuery query = prompt(999);
  const UpstreamId home = pool.route(query).upstream;
  UpstreamHint hint = hint_of(0);
  Instant now{0};
  std::vector<UpstreamId> excluded;
  RouteQuery with_version = query;
  with_version.weight_version = "v1";
  SECTION("leaving") {
    hint.leaving = true;
  }
  SECTION("excluded") {
    excluded = {home};
  }
  SECTION("other weight version") {
    hint.weight_versions = {{kModel, "v2"}};
  }
  SECTION("zone out of service") {
    pool.table.set_zone_out_of_service(pool.table.upstream(home).zone, true, now);
  }
  SECTION("unresponsive") {
    now = {5001};
    for (const UpstreamId id : pool.ids) {
      if (id != home) {
        pool.table.apply_hint(id, hint_of(0), now);
      }
    }
  }
  if (now == Instant{0}) {
    pool.table.apply_hint(home, hint, now);
  }
  for (int i = 0; i < 200; ++i) {
    CHECK(pool.route(with_version, excluded, now).upstream != home);
    RouteQuery without_root_key = with_version;
    without_root_key.root_key.reset();
    CHECK(pool.route(without_root_key, excluded, now).upstream != home);
  }
}

// Guards against a refusal while an unresponsive upstream might still answer, and against a wrong
// reason.
TEST_CASE("unresponsive upstreams are chosen only if no other is eligible", "[routing]") {
  Pool pool(3);
  CHECK(pool.route(prompt(1), {}, {6000}).route_reason == RouteReason::kUnresponsive);
  const Route none = pool.chooser.choose(prompt(1), pool.ids, {0});
  REQUIRE(std::holds_alternative<NoRoute>(none));
  CHECK(std::get<NoRoute>(none).verdict.run_state() == RunState::kNotRun);
  CHECK(std::get<NoRoute>(none).verdict.reason() == Reason::kNoUpstream);
  const Route unknown = pool.chooser.choose({.target = ModelId{8}}, {}, {0});
  CHECK(std::get<NoRoute>(unknown).verdict.reason() == Reason::kUnknownModel);
}

// Guards against an order that runs at an upstream other than the owner of its key.
TEST_CASE("an order is sent only to the owner of its key", "[routing]") {
  Pool pool(6);
  RouteQuery query{.target = kService, .owner = pool.ids[4]};
  UpstreamHint leaving = hint_of(0);
  leaving.leaving = true;
  pool.table.apply_hint(pool.ids[4], leaving, {0});
  CHECK(pool.route(query, {}, {9000}).upstream == pool.ids[4]);
  const Route none = pool.chooser.choose(query, std::vector{pool.ids[4]}, {0});
  REQUIRE(std::holds_alternative<NoRoute>(none));
  CHECK(std::get<NoRoute>(none).verdict.run_state() == RunState::kNotRun);
}

// Guards against unnecessary traffic between zones, and against overload of the local zone.
TEST_CASE("the local zone is preferred only at equal load", "[routing]") {
  Pool pool(30);
  RouteQuery query = prompt_without_home();
  query.zone = {1};
  const auto share_in_zone = [&] {
    int in_zone = 0;
    for (int i = 0; i < 3000; ++i) {
      in_zone += pool.table.upstream(pool.route(query).upstream).zone == query.zone ? 1 : 0;
    }
    return in_zone / 3000.0;
  };
  // At least one of two random members is in the zone with probability 5/9.
  CHECK(share_in_zone() == Approx(5.0 / 9).margin(0.04));
  for (const UpstreamId id : pool.ids) {
    pool.table.apply_hint(id, hint_of(pool.table.upstream(id).zone == query.zone ? 8 : 2), {0});
  }
  CHECK(share_in_zone() == Approx(1.0 / 9).margin(0.04));
}

// Guards against aged hints that are trusted like fresh ones, and against many requests sent to the
// same upstream between two of its hints.
TEST_CASE("aged hints are averaged with the mean and sent requests are added to the load",
          "[routing]") {
  Pool pool(2);
  pool.table.apply_hint(pool.ids[0], hint_of(16), {0});
  const auto& group = *pool.table.group(kModel);
  const auto utilization = [&](Instant now) {
    return pool.table.utilization(pool.table.upstream(pool.ids[0]), group, now);
  };
  CHECK(utilization({2000}) == Approx(0.5));
  CHECK(utilization({2001}) == Approx((0.5 + 0.25) / 2));
  pool.table.record_sent_request(pool.ids[0]);
  CHECK(utilization({0}) == Approx(17.0 / 32));
  pool.table.apply_hint(pool.ids[0], hint_of(17), {0});
  CHECK(utilization({0}) == Approx(17.0 / 32));
}

// Guards against full load on a zone that has just returned to service, and against refused
// requests while the only zone in service is still ramping up.
TEST_CASE("the traffic of a zone that returned to service rises gradually", "[routing]") {
  Pool pool(30);
  pool.table.set_zone_out_of_service({0}, true, {0});
  pool.table.set_zone_out_of_service({0}, false, {1000});
  const auto share = [&](Instant now) {
    for (const UpstreamId id : pool.ids) {
      pool.table.apply_hint(id, hint_of(0), now);
    }
    Random random(4);
    int in_zone = 0;
    for (int i = 0; i < 6000; ++i) {
      const auto to = pool.route(prompt(random.next()), {}, now);
      in_zone += pool.table.upstream(to.upstream).zone == ZoneId{0} ? 1 : 0;
    }
    return in_zone / 6000.0;
  };
  CHECK(share({1000}) == 0);
  const double full = share({11'000});
  CHECK(share({6000}) == Approx(full / 2).margin(0.04));

  pool.table.set_zone_out_of_service({1}, true, {20'000});
  pool.table.set_zone_out_of_service({2}, true, {20'000});
  pool.table.set_zone_out_of_service({0}, true, {20'000});
  pool.table.set_zone_out_of_service({0}, false, {20'001});
  CHECK(share({20'001}) == 1);
}

// Guards against an explanation that differs from the choice that is made.
TEST_CASE("explain reports the next choice without changing it", "[routing]") {
  Pool pool(12);
  for (int i = 0; i < 50; ++i) {
    const std::string text = pool.chooser.explain(prompt_without_home(), {0});
    const SelectedRoute to = pool.route(prompt_without_home());
    CHECK(text.starts_with("route=" + pool.table.upstream(to.upstream).name + " why=least_load"));
  }
}

// Guards against retry storms: if every upstream refuses, the attempts stay within 1.1 times the
// number of requests, plus the reserve.
TEST_CASE("retries stay within their budget", "[routing]") {
  Pool pool(20);
  EntryRetryBudget budget;
  constexpr int kRequests = 5000;
  int attempts = 0;
  for (int i = 0; i < kRequests; ++i) {
    std::vector<UpstreamId> excluded;
    budget.record_first_attempt();
    do {
      const Route route = pool.chooser.choose(prompt_without_home(), excluded, {0});
      if (!std::holds_alternative<SelectedRoute>(route)) {
        break;
      }
      ++attempts;
      excluded.push_back(std::get<SelectedRoute>(route).upstream);
    } while (budget.try_acquire_retry());
  }
  CHECK(attempts <= 1.1 * kRequests + EntryRetryBudget::kReservedRetries);
  CHECK(attempts > 1.09 * kRequests);
}

// Guards against a choice that scans all upstreams. The fastest of several batches is checked,
// because other processes on the machine can only slow a batch down.
TEST_CASE("a choice among 850 upstreams takes under 5 microseconds", "[routing]") {
  const auto best_microseconds = [](std::uint32_t size) {
    Pool pool(size);
    Random random(3);
    for (const UpstreamId id : pool.ids) {
      pool.table.apply_hint(id, hint_of(static_cast<std::uint32_t>(random.below(kLimit))), {0});
    }
    double best = 1e9;
    for (int batch = 0; batch < 20; ++batch) {
      const auto start = std::chrono::steady_clock::now();
      for (int i = 0; i < 500; ++i) {
        pool.chooser.choose(prompt(random.next()), {}, {0});
      }
      const std::chrono::duration<double, std::micro> elapsed =
          std::chrono::steady_clock::now() - start;
      best = std::min(best, elapsed.count() / 500);
    }
    return best;
  };
  const double at_50 = best_microseconds(50);
  const double at_850 = best_microseconds(850);
  CHECK(at_850 < 5);
  CHECK(at_850 / at_50 < 850.0 / 50);
}

}  // namespace bluebellstep
