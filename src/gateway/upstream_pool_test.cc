// Tests of the choice of upstreams and of their weight versions.

#include "gateway/upstream_pool.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/hash.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};

// A pool with one service of engines and one plain service.
struct Fixture {
  LoadAggregator load_aggregator;
  CacheDirectory cache{load_aggregator};
  RequestQuota quota{"g1", kStart - Duration{60'000}};
  UpstreamPool pool{PoolLimits{}, cache, load_aggregator, quota};
  ServiceInfo engines{.name = "llm",
                      .max_connections = 100,
                      .cold_requests_per_s = 33,
                      .engine = EngineSpec{.slots = 64, .kv_capacity_tokens = 70'000}};
  ServiceInfo plain{.name = "orders", .max_connections = 100};

  // Registers this many gateways, including the one with this pool.
  void set_gateway_count(std::size_t count) {
    std::set<std::string, std::less<>> names;
    for (std::size_t i = 1; i <= count; ++i) {
      names.insert("g" + std::to_string(i));
    }
    quota.set_registered(names);
  }

  void add_engine(const std::string& id, std::uint64_t version = 1, const std::string& zone = "a") {
    UpstreamRegistration registration{
        .id = id, .service = "llm", .endpoint = {"10.0.0.1", 80}, .zone = zone};
    registration.weight_versions["m"] = version;
    pool.put(registration, kStart);
  }

  void record_weights(std::string_view id, std::uint64_t version) {
    pool.record_weight_version(id, "m", version, kStart, kStart);
  }

  void add_plain(const std::string& id, const std::string& zone = "a", bool leaving = false) {
    pool.put({.id = id,
              .service = "orders",
              .endpoint = {"10.0.0.2", 80},
              .zone = zone,
              .slots = 6,
              .leaving = leaving},
             kStart);
  }

  PickQuery engine_query() const { return {.service = &engines, .zone = "a", .model = "m"}; }
  PickQuery plain_query() const { return {.service = &plain, .zone = "a"}; }

  std::string pick(const PickQuery& query, Instant now = kStart) {
    const PickResult result = pool.pick(query, now);
    const auto* picked = std::get_if<PickedUpstream>(&result);
    return picked == nullptr ? "" : picked->upstream_id;
  }

  // Returns the query with a tie-breaker that ranks `id` first among upstreams of equal load.
  PickQuery preferring(const std::string& id, PickQuery query) {
    while (pick(query) != id) {
      ++query.tie_breaker;
    }
    return query;
  }

  // The platform's store answers at intervals from `first` to `last`.
  void store_answers(Instant first, Instant last) {
    constexpr Duration kInterval{900};
    for (Instant at = first; at < last; at = at + kInterval) {
      pool.registration_grace().record_store_answer(at, at);
    }
    pool.registration_grace().record_store_answer(last, last);
  }

  // Sends requests until the pool finds no upstream, and returns their number.
  int send_all(const PickQuery& query, Instant now) {
    int sent_count = 0;
    while (true) {
      const PickResult result = pool.pick(query, now);
      const auto* picked = std::get_if<PickedUpstream>(&result);
      if (picked == nullptr) {
        return sent_count;
      }
      pool.record_sent(*picked, query, now);
      ++sent_count;
    }
  }
};

}  // namespace

TEST_CASE("leaving upstreams and zones out of service receive no new requests", "[gateway]") {
  Fixture f;
  f.add_plain("o1", "a", true);
  CHECK(f.pick(f.plain_query()).empty());
  f.add_plain("o2", "b");
  CHECK(f.pick(f.plain_query()) == "o2");
  f.pool.set_zones_out_of_service({"b"}, kStart);
  CHECK(f.pick(f.plain_query()).empty());
}

TEST_CASE("the upstream with less load is chosen", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.add_plain("o2");
  f.pool.record_load("o1", {.running = 6, .waiting = 3, .slots = 6}, kStart);
  CHECK(f.pick(f.plain_query()) == "o2");
}

// Load pattern: many gateways with few requests each choose between two load reports, so they see
// the same loads. Guards against all of them choosing the same idle engine.
TEST_CASE("requests with different tie-breakers spread over equal upstreams", "[gateway][load]") {
  Fixture f;
  constexpr std::size_t kEngines = 10;
  for (std::size_t i = 0; i < kEngines; ++i) {
    f.add_engine("e" + std::to_string(i));
  }
  std::map<std::string, int> chosen;
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    PickQuery query = f.engine_query();
    query.tie_breaker = hash64("request " + std::to_string(i));
    ++chosen[f.pick(query)];
  }
  CHECK(chosen.size() == kEngines);
  for (const auto& [id, count] : chosen) {
    INFO(id);
    CHECK(count < 3 * kRequests / static_cast<int>(kEngines));
  }
}

TEST_CASE("in-flight load reported by other gateways counts", "[gateway]") {
  Fixture f;
  f.add_engine("e1");
  f.add_engine("e2", 1, "b");
  const PickQuery query = f.preferring("e1", f.engine_query());
  f.load_aggregator.apply({.gateway = "g2",
                           .sequence = 1,
                           .incarnation = 1,
                           .upstream_loads = {{LoadAggregator::key_of("e1"),
                                               {.requests = 2, .prefill_tokens = 30'000}}}},
                          kStart);
  CHECK(f.pick(query) == "e2");
}

// Load pattern: long prompts fill an engine's KV cache long before its slots.
TEST_CASE("an engine whose KV cache has no room for the prompt is avoided", "[gateway]") {
  Fixture f;
  f.add_engine("e1");
  f.add_engine("e2", 1, "b");
  PickQuery query = f.engine_query();
  const std::vector<PromptSegment> prompt = {{.id = 1, .tokens = 30'000}};
  query.prompt = prompt;
  query.prompt_tokens = 30'000;
  f.load_aggregator.apply({.gateway = "g2",
                           .sequence = 1,
                           .incarnation = 1,
                           .upstream_loads = {{LoadAggregator::key_of("e1"),
                                               {.requests = 1, .prompt_tokens = 40'000}}}},
                          kStart);
  CHECK(f.pick(query) == "e2");
}

TEST_CASE("an ejected upstream is used only if there is no other", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.add_plain("o2", "b");
  REQUIRE(f.pick(f.plain_query()) == "o1");
  for (int i = 0; i < 3; ++i) {
    f.pool.record_finished("o1", 0, AttemptOutcome::kFailed, kStart);
  }
  CHECK(f.pick(f.plain_query()) == "o2");
  f.pool.remove("o2", kStart);
  CHECK(f.pick(f.plain_query()) == "o1");
}

// Guards against overloading a cold upstream by the sum of the requests of several gateways.
TEST_CASE("gateways divide the request limit of a cold upstream", "[gateway]") {
  Fixture f;
  f.add_engine("e1");
  UpstreamRegistration cold{
      .id = "e1", .service = "llm", .endpoint = {"10.0.0.1", 80}, .zone = "a"};
  cold.weight_versions["m"] = 1;
  cold.remaining_cold_time = Duration{3000};
  f.pool.put(cold, kStart);
  f.set_gateway_count(5);
  const int sent_count = f.send_all(f.engine_query(), kStart);
  CHECK(sent_count > 0);
  CHECK(sent_count * 5 <= 33 * 1.5 + 5);
  // A request may be sent 300 ms after it was counted, while its connection is established.
  CHECK(f.pick(f.engine_query(), kStart + 1299_ms).empty());
  CHECK_FALSE(f.pick(f.engine_query(), kStart + 1300_ms).empty());
}

// Load pattern: the balancer sends most callers to a few gateways. Guards against an even share
// that makes these gateways use busy engines while others are idle.
TEST_CASE("a busy gateway may use more than an even share of an upstream", "[gateway][load]") {
  Fixture f;
  f.add_engine("e1");
  f.set_gateway_count(30);
  const int even = f.send_all(f.engine_query(), kStart);
  // All others together send as much as this gateway, so its share is far above a thirtieth.
  f.load_aggregator.apply({.gateway = "g2", .sequence = 1, .incarnation = 1, .recent_requests = 3},
                          kStart);
  const int busy = even + f.send_all(f.engine_query(), kStart);
  CHECK(busy >= 3 * even);
  // Reports may be lost, so the share is limited to a few even shares.
  CHECK(busy <= 4 * (even + 1));
}

// Guards against load that is reported forever: a stream that was continued by a second engine left
// pending prefill tokens there, and all gateways avoided the engine.
TEST_CASE("an upstream without requests is left out of the load report", "[gateway]") {
  Fixture f;
  f.add_engine("e1");
  PickQuery query = f.engine_query();
  const std::vector<PromptSegment> prompt = {{.id = 1, .tokens = 5000}};
  query.prompt = prompt;
  query.prompt_tokens = 5000;
  const PickResult result = f.pool.pick(query, kStart);
  REQUIRE(std::holds_alternative<PickedUpstream>(result));
  f.pool.record_sent(std::get<PickedUpstream>(result), query, kStart);
  CHECK(f.pool.make_load_report(kStart).upstream_loads.size() == 1);
  f.pool.record_finished("e1", 5000, AttemptOutcome::kAnswered, kStart);
  CHECK(f.pool.make_load_report(kStart).upstream_loads.empty());
}

// Registrations in the platform's store expire during an outage, and running upstreams register
// again.
TEST_CASE("registrations removed around an outage of the store are kept for a while", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.store_answers(kStart, kStart);
  f.store_answers(kStart + 5000_ms, kStart + 7600_ms);
  f.pool.remove("o1", kStart + 5100_ms);
  f.pool.remove_expired_registrations(kStart + 6900_ms);
  CHECK(f.pick(f.plain_query(), kStart + 6900_ms) == "o1");
  CHECK(f.pick(f.plain_query(), kStart + 7000_ms).empty());
  f.pool.remove_expired_registrations(kStart + 7000_ms);
  CHECK_FALSE(f.pool.contains("o1"));
}

TEST_CASE("an upstream that registers again in time stays", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.store_answers(kStart, kStart);
  f.pool.remove("o1", kStart + 3000_ms);
  f.store_answers(kStart + 5000_ms, kStart + 9000_ms);
  f.add_plain("o1");
  f.pool.remove_expired_registrations(kStart + 9000_ms);
  CHECK(f.pick(f.plain_query(), kStart + 9000_ms) == "o1");
}

// Guards against the loss of all upstreams when the store answers once between two outages.
TEST_CASE("a removed upstream is kept while the store is down again", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.store_answers(kStart, kStart);
  f.store_answers(kStart + 5000_ms, kStart + 5000_ms);
  f.pool.remove("o1", kStart + 5000_ms);
  f.pool.remove_expired_registrations(kStart + 8000_ms);
  CHECK(f.pick(f.plain_query(), kStart + 8000_ms) == "o1");
  f.store_answers(kStart + 10'000_ms, kStart + 13'000_ms);
  CHECK(f.pick(f.plain_query(), kStart + 11'900_ms) == "o1");
  CHECK(f.pick(f.plain_query(), kStart + 12'000_ms).empty());
}

// Guards against a server that leaves and stays in use because one connection to the store was lost
// or the gateway had just started: too short a time for a registration to expire.
TEST_CASE("a removed upstream is not kept after a short silence of the store", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  const bool silent_before = GENERATE(false, true);
  if (silent_before) {
    f.store_answers(kStart, kStart + 900_ms);
  }
  f.pool.registration_grace().record_store_answer(kStart + 3200_ms, kStart + 3200_ms);
  f.pool.remove("o1", kStart + 3300_ms);
  CHECK(f.pick(f.plain_query(), kStart + 3300_ms).empty());
}

// Guards against a server that leaves and stays in use because this gateway was cut off from the
// store while others were not: servers could renew their registrations.
TEST_CASE("a removed upstream is not kept after a time in which the store answered others",
          "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.store_answers(kStart, kStart);
  for (Instant at = kStart + 2000_ms; at < kStart + 6000_ms; at = at + 1000_ms) {
    f.pool.registration_grace().record_store_answer(at - 500_ms, at);
  }
  f.store_answers(kStart + 6000_ms, kStart + 6000_ms);
  f.pool.remove("o1", kStart + 6000_ms);
  CHECK_FALSE(f.pool.contains("o1"));
}

// Guards against the loss of all upstreams in an outage in which peers repeat how long the store
// has been silent.
TEST_CASE("an old answer of the store does not end an outage", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.store_answers(kStart, kStart);
  f.pool.registration_grace().record_store_answer(kStart + 900_ms, kStart + 4000_ms);
  f.pool.registration_grace().record_store_answer(kStart + 900_ms, kStart + 5000_ms);
  f.pool.remove("o1", kStart + 5000_ms);
  CHECK(f.pick(f.plain_query(), kStart + 5000_ms) == "o1");
}

// Guards against a server that leaves and stays in use after an outage that ended long ago.
TEST_CASE("a removed upstream is not kept when the grace after an outage has passed", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.store_answers(kStart, kStart);
  f.store_answers(kStart + 5000_ms, kStart + 7000_ms);
  f.pool.remove("o1", kStart + 7000_ms);
  CHECK(f.pick(f.plain_query(), kStart + 7000_ms).empty());
}

// Guards against the use of an upstream that announced that it leaves, because of an outage.
TEST_CASE("an upstream that is leaving is removed also in an outage", "[gateway]") {
  Fixture f;
  f.store_answers(kStart, kStart);
  f.add_plain("o1");
  f.pool.put({.id = "o1", .service = "orders", .endpoint = {"10.0.0.9", 80}, .leaving = true},
             kStart);
  f.pool.remove("o1", kStart + 5000_ms);
  CHECK_FALSE(f.pool.contains("o1"));
}

TEST_CASE("a registration removed without an outage is dropped immediately", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.pool.remove("o1", kStart);
  CHECK(f.pick(f.plain_query()).empty());
}

// Guards against a second target version that postpones the limit of the first (seen in the random
// scenario fresh-2ecd).
TEST_CASE("each target version limits the use of older weights independently", "[gateway]") {
  Fixture f;
  f.add_engine("e1", 1);
  f.pool.set_target_weights({.model = "m", .version = 2}, false, kStart);
  f.pool.set_target_weights({.model = "m", .version = 3}, false, kStart + 7000_ms);
  CHECK(f.pick(f.engine_query(), kStart + 7000_ms) == "e1");
  CHECK(f.pick(f.engine_query(), kStart + 8000_ms).empty());
  f.record_weights("e1", 2);
  CHECK(f.pick(f.engine_query(), kStart + 8000_ms) == "e1");
  CHECK(f.pick(f.engine_query(), kStart + 15'000_ms).empty());
}

// Guards against a restarted gateway that allows older weights for another full period. With a
// grace of 3 s, requests waited in a queue and started after the limit (random scenario
// hunt-4659-23).
TEST_CASE("a target set before the start soon ends the use of older weights", "[gateway]") {
  Fixture f;
  f.add_engine("e1", 1);
  f.pool.set_target_weights({.model = "m", .version = 2}, true, kStart);
  CHECK(f.pick(f.engine_query(), kStart + 400_ms) == "e1");
  CHECK(f.pick(f.engine_query(), kStart + 500_ms).empty());
}

// Guards against freeing segments of older weights while an engine can still fetch them.
TEST_CASE("a version is settled when all engines have had it for a while", "[gateway]") {
  Fixture f;
  f.add_engine("e1", 1);
  f.add_engine("e2", 2);
  f.pool.set_target_weights({.model = "m", .version = 2}, false, kStart);
  f.pool.update_rollouts(kStart);
  CHECK(f.pool.settled_versions(kStart + 60_s).empty());
  f.record_weights("e1", 2);
  f.pool.update_rollouts(kStart + 1000_ms);
  CHECK(f.pool.settled_versions(kStart + 4999_ms).empty());
  CHECK(f.pool.settled_versions(kStart + 5000_ms).at("m") == 2);
  f.add_engine("e3", 1);  // Registers again with its old weights.
  f.pool.update_rollouts(kStart + 6000_ms);
  CHECK(f.pool.settled_versions(kStart + 60_s).empty());
}

// Load pattern: target versions change faster than all engines load them. Guards against stores
// that stay full of segments that no engine can use.
TEST_CASE("a version is settled even if a newer target is already set", "[gateway][load]") {
  Fixture f;
  f.add_engine("e1", 2);
  f.add_engine("e2", 1);
  f.pool.set_target_weights({.model = "m", .version = 3}, false, kStart);
  f.pool.update_rollouts(kStart);
  f.record_weights("e2", 2);
  f.pool.update_rollouts(kStart + 1_s);
  const Instant settled = kStart + 1_s + UpstreamPool::kSettleTime;
  CHECK(f.pool.settled_versions(settled - 1_ms)["m"] < 2);
  CHECK(f.pool.settled_versions(settled)["m"] == 2);
  // Not all engines have the newer version yet.
  f.record_weights("e1", 3);
  f.pool.update_rollouts(settled);
  CHECK(f.pool.settled_versions(settled)["m"] == 2);
}

TEST_CASE("engines with the target weights are preferred", "[gateway]") {
  Fixture f;
  f.add_engine("e1", 1);
  f.add_engine("e2", 2, "b");
  f.pool.set_target_weights({.model = "m", .version = 2}, false, kStart);
  CHECK(f.pick(f.engine_query()) == "e2");
}

TEST_CASE("an engine with older weights that rejects a request is ejected while it loads weights",
          "[gateway]") {
  Fixture f;
  f.add_engine("e1", 1);
  f.add_engine("e2", 1, "b");
  f.pool.set_target_weights({.model = "m", .version = 2}, false, kStart);
  const PickQuery query = f.preferring("e1", f.engine_query());
  f.pool.record_finished("e1", 0, AttemptOutcome::kRejected, kStart);
  CHECK(f.pick(query, kStart + 700_ms) == "e2");
  CHECK(f.pick(query, kStart + 900_ms) == "e1");
}

// Long prompts return after gaps. They go to the engine that has their shared segment cached while
// its wait is shorter than prefilling the segment again.
TEST_CASE("a returning prompt goes to the engine that has its shared segment cached", "[gateway]") {
  Fixture f;
  f.add_engine("e1");
  f.add_engine("e2");
  f.add_engine("e3");
  f.cache.set_nodes({{.name = "e1", .endpoint = {"10.0.0.1", 80}, .zone = "a"},
                     {.name = "e2", .endpoint = {"10.0.0.2", 80}, .zone = "a"},
                     {.name = "e3", .endpoint = {"10.0.0.3", 80}, .zone = "a"}});
  const std::vector<PromptSegment> prompt = {{.id = 0xb1, .tokens = 12'800},
                                             {.id = 1, .tokens = 4000}};
  PickQuery query = f.engine_query();
  query.prompt = prompt;
  query.prompt_tokens = 16'800;
  f.cache.on_events(
      "e2", {.epoch = 1, .next = 1, .events = {{CacheNamespaces().shared("m", 1), 0xb1, 12'800}}},
      kStart);
  CHECK(f.pick(query) == "e2");

  SECTION("another engine fetches the segment from a busy one") {
    f.pool.record_load("e2", {.running = 64, .waiting = 20, .slots = 64}, kStart);
    const PickResult result = f.pool.pick(query, kStart);
    const auto& picked = std::get<PickedUpstream>(result);
    CHECK(picked.upstream_id != "e2");
    REQUIRE(picked.cache_plan.fetch_endpoints.size() == 2);
    REQUIRE(picked.cache_plan.fetch_endpoints[0]);
    CHECK(picked.cache_plan.fetch_endpoints[0]->ip == "10.0.0.2");
    CHECK(picked.uncached_tokens == 4000);
  }
}

// Guards against segments of an account that are used by others after it has become isolated, since
// the shared namespace keeps what it made before.
TEST_CASE("segments made before an account became isolated are left behind",
          "[gateway][isolation]") {
  Fixture f;
  f.add_engine("e1");
  const ClientAccount acme{.name = "acme"};
  const ClientAccount other{.name = "other"};
  const auto namespace_for = [&](const ClientAccount* account) {
    PickQuery query = f.engine_query();
    query.account = account;
    return std::get<PickedUpstream>(f.pool.pick(query, kStart)).cache_namespace;
  };
  const std::string before = namespace_for(&acme);
  CHECK(namespace_for(&other) == before);
  f.pool.set_isolated_accounts({"acme"});
  // Requests under way know the account of the configuration before.
  CHECK(namespace_for(&acme) != before);
  CHECK(namespace_for(&other) != before);
  CHECK(namespace_for(&acme) != namespace_for(&other));
  CHECK(namespace_for(nullptr) == namespace_for(&other));
}

TEST_CASE("prompts with the same shared segment go to one engine if no cache is known",
          "[gateway]") {
  Fixture f;
  for (int i = 0; i < 8; ++i) {
    f.add_engine("e" + std::to_string(i));
  }
  const std::vector<PromptSegment> first = {{.id = 0xb1, .tokens = 12'800},
                                            {.id = 1, .tokens = 4000}};
  const std::vector<PromptSegment> second = {{.id = 0xb1, .tokens = 12'800},
                                             {.id = 2, .tokens = 900}};
  PickQuery query = f.engine_query();
  query.prompt = first;
  query.prompt_tokens = 16'800;
  const std::string home = f.pick(query);
  query.prompt = second;
  query.prompt_tokens = 13'700;
  CHECK(f.pick(query) == home);
}

// Guards against sending to the old registration of a server that was restarted with another id.
TEST_CASE("an upstream replaced at its address is ejected until its registration is removed",
          "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.add_plain("o2", "b");
  f.pool.record_misdirected("o1", true, kStart);
  CHECK(f.pick(f.plain_query(), kStart + 3900_ms) == "o2");
}

TEST_CASE("a restarted upstream with the same id is no longer ejected", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.add_plain("o2", "b");
  for (int i = 0; i < 3; ++i) {
    f.pool.record_finished("o1", 0, AttemptOutcome::kFailed, kStart);
  }
  REQUIRE(f.pick(f.plain_query()) == "o2");
  f.pool.put({.id = "o1",
              .service = "orders",
              .endpoint = {"10.0.0.2", 80},
              .zone = "a",
              .slots = 6,
              .started_ms = 9},
             kStart);
  CHECK(f.pick(f.plain_query()) == "o1");
}

// Load pattern: all engines load new weights, a quarter of them at a time. Guards against each
// gateway sending requests to each of these engines until it rejects them.
TEST_CASE("engines that load weights are avoided by all gateways", "[gateway][load]") {
  Fixture f;
  f.add_engine("e1");
  f.add_engine("e2");
  f.pool.set_target_weights({.model = "m", .version = 2}, false, kStart);
  bool reported = false;
  f.pool.on_loading([&] { reported = true; });
  SECTION("commanded or noticed by this gateway") {
    f.pool.record_loading("e1", kStart + 1500_ms);
    CHECK(reported);
    CHECK(f.pool.make_load_report(kStart).upstream_loads.at(0).in_flight.loading == 1);
  }
  SECTION("reported by another gateway") {
    f.load_aggregator.apply({.gateway = "g2",
                             .sequence = 1,
                             .incarnation = 1,
                             .upstream_loads = {{LoadAggregator::key_of("e1"), {.loading = 1}}}},
                            kStart);
  }
  PickQuery query = f.engine_query();
  for (query.tie_breaker = 0; query.tie_breaker < 20; ++query.tie_breaker) {
    CHECK(f.pick(query) == "e2");
  }
  // It has the new weights, although the reports of others may still tell otherwise.
  f.record_weights("e1", 2);
  CHECK(f.pick(f.preferring("e1", f.engine_query())) == "e1");
}

// Guards against a restarted engine that gets more than it bears before its registration tells: its
// connections failed at other gateways only.
TEST_CASE("an engine that several gateways cannot reach counts as cold", "[gateway][quota]") {
  Fixture f;
  f.add_engine("e1");
  f.set_gateway_count(5);
  const auto report = [&](const std::string& gateway) {
    f.load_aggregator.apply(
        {.gateway = gateway,
         .sequence = 1,
         .incarnation = 1,
         .recent_requests = 100,
         .upstream_loads = {{LoadAggregator::key_of("e1"), {.unreachable = 1}}}},
        kStart);
  };
  report("g2");
  const int warm = f.send_all(f.engine_query(), kStart);
  report("g3");
  const int cold = f.send_all(f.engine_query(), kStart + 2000_ms);
  CHECK(cold < warm);
  CHECK(cold * 5 <= 33 * 1.5 + 5);
}

TEST_CASE("the connection limit of an upstream is divided among gateways", "[gateway]") {
  Fixture f;
  f.set_gateway_count(5);
  CHECK(f.pool.connection_limit(f.engines) * 5 <= 100);
  f.set_gateway_count(500);
  CHECK(f.pool.connection_limit(f.engines) == 2);
}

// Guards against a server that says that it leaves, and is used again because the store still lists
// it as ready.
TEST_CASE("an upstream that says that it leaves gets no requests until it has started again",
          "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.pool.record_leaving("o1", kStart + 10_ms);
  CHECK(f.pick(f.plain_query(), kStart + 20_ms).empty());
  f.add_plain("o1");  // Its registration is renewed and still says that it is ready.
  f.pool.record_finished("o1", 0, AttemptOutcome::kAnswered, kStart + 30_ms);
  CHECK(f.pick(f.plain_query(), kStart + 60'000_ms).empty());
  f.pool.put({.id = "o1", .service = "orders", .endpoint = {"10.0.0.2", 80}, .started_ms = 7},
             kStart + 60'000_ms);
  CHECK(f.pick(f.plain_query(), kStart + 60'000_ms) == "o1");
  // A response of the earlier start arrives late.
  f.pool.record_leaving("o1", kStart + 59'999_ms);
  CHECK(f.pick(f.plain_query(), kStart + 60'001_ms) == "o1");
}

// Guards against requests to an upstream that leaves, without a restore of the store: its
// registration expires or is removed around an outage, which is no reason to use it on.
TEST_CASE("an upstream that leaves is not kept around an outage of the store", "[gateway]") {
  Fixture f;
  const Instant back = kStart + 60'000_ms;
  const UpstreamRegistration ready{
      .id = "o1", .service = "orders", .endpoint = {"10.0.0.1", 80}, .started_ms = 7};
  UpstreamRegistration leaving = ready;
  leaving.leaving = true;
  f.pool.put(ready, kStart);
  f.pool.registration_grace().record_store_answer(kStart, kStart);
  SECTION("by its registration") {
    f.pool.put(leaving, kStart + 100_ms);
    f.pool.remove("o1", back);
    CHECK_FALSE(f.pool.contains("o1"));
  }
  SECTION("by its own word") {
    f.pool.record_leaving("o1", kStart + 100_ms);
    f.pool.remove("o1", back);
    CHECK_FALSE(f.pool.contains("o1"));
  }
  SECTION("by its own word after it was kept") {
    f.pool.remove("o1", back);
    f.store_answers(back, back);
    REQUIRE(f.pick(f.plain_query(), back) == "o1");
    f.pool.record_leaving("o1", back);
    CHECK(f.pick(f.plain_query(), back).empty());
    f.pool.remove("o1", back + 100_ms);
    CHECK_FALSE(f.pool.contains("o1"));
  }
}

// Guards against a removed upstream whose registration comes back as ready, and which gets requests
// although it has said that it leaves.
TEST_CASE("an upstream that said that it leaves gets no requests when its registration comes back",
          "[gateway]") {
  Fixture f;
  const UpstreamRegistration ready{
      .id = "o1", .service = "orders", .endpoint = {"10.0.0.1", 80}, .started_ms = 7};
  f.pool.put(ready, kStart);
  f.pool.record_leaving("o1", kStart + 100_ms);
  f.pool.remove("o1", kStart + 200_ms);
  f.pool.put(ready, kStart + 300_ms);
  CHECK(f.pick(f.plain_query(), kStart + 300_ms).empty());
  f.pool.remove("o1", kStart + 400_ms);
  UpstreamRegistration restarted = ready;
  restarted.started_ms = 8;
  f.pool.put(restarted, kStart + 500_ms);
  CHECK(f.pick(f.plain_query(), kStart + 500_ms) == "o1");
}

// Guards against an engine that leaves and is told to load weights.
TEST_CASE("an engine that says that it leaves is not updated", "[gateway]") {
  Fixture f;
  f.add_engine("e1", 1);
  f.pool.set_target_weights({.model = "m", .version = 2}, false, kStart);
  std::size_t engines = 0;
  CHECK(f.pool.outdated_engines(engines).size() == 1);
  f.pool.record_leaving("e1", kStart);
  CHECK(f.pool.outdated_engines(engines).empty());
}

// Guards against requests to a server that asked for none, also as the last resort, after a success
// and after a shorter hold.
TEST_CASE("an upstream that holds off gets no requests for the longest of its times", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.pool.record_hold_off("o1", kStart, kStart + 4000_ms);
  f.pool.record_hold_off("o1", kStart, kStart + 1000_ms);
  f.pool.record_finished("o1", 0, AttemptOutcome::kAnswered, kStart + 500_ms);
  const PickResult held = f.pool.pick(f.plain_query(), kStart + 3000_ms);
  REQUIRE(std::holds_alternative<NoUpstreamAvailable>(held));
  CHECK(std::get<NoUpstreamAvailable>(held).retry_after == 1000_ms);
  CHECK(f.pick(f.plain_query(), kStart + 3999_ms).empty());
  CHECK(f.pick(f.plain_query(), kStart + 4000_ms) == "o1");
  // Another upstream is used meanwhile.
  f.pool.record_hold_off("o1", kStart + 5000_ms, kStart + 9000_ms);
  f.add_plain("o2");
  CHECK(f.pick(f.plain_query(), kStart + 6000_ms) == "o2");
}

// Guards against twice the limit of a cold upstream when its registration is unreadable for a
// moment: the gateways must not forget what they sent.
TEST_CASE("requests sent before an upstream was dropped count when it is back",
          "[gateway][quota]") {
  Fixture f;
  f.set_gateway_count(2);
  const UpstreamRegistration registration{
      .id = "e1", .service = "llm", .remaining_cold_time = Duration{600'000}};
  const PickQuery query{.service = &f.engines};
  f.pool.put(registration, kStart);
  CHECK(f.send_all(query, kStart) > 0);
  f.pool.discard("e1", kStart);
  f.pool.put(registration, kStart);
  CHECK(f.send_all(query, kStart) == 0);
  f.pool.remove("e1", kStart + Duration{1000});
  f.pool.put(registration, kStart + Duration{1000});
  CHECK(f.send_all(query, kStart + Duration{1000}) == 0);
  CHECK(f.send_all(query, kStart + Duration{1300}) > 0);
  // The store answers again after an outage, and the registration comes after its grace time.
  const Instant back = kStart + Duration{60'000};
  const Instant kept_until = back + RegistrationGraceLimits{}.reregistration_time;
  f.pool.registration_grace().record_store_answer(kStart, kStart);
  f.pool.remove("e1", back);
  f.store_answers(back, kept_until);
  CHECK(f.send_all(query, kept_until - Duration{1}) > 0);
  f.pool.remove_expired_registrations(kept_until);
  CHECK_FALSE(f.pool.contains("e1"));
  f.pool.put(registration, kept_until);
  CHECK(f.send_all(query, kept_until) == 0);
}

}  // namespace bluebellstep
