// Tests of the choice of upstreams.

#include "gateway/upstream_pool.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/hash.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};

// A pool with one service of engines and one plain service.
struct Fixture {
  LoadBoard board;
  CacheDirectory cache{board};
  UpstreamPool pool{PoolLimits{}, cache, board};
  ServiceInfo engines{.name = "llm",
                      .max_connections = 100,
                      .cold_requests_per_s = 33,
                      .engine = EngineSpec{.slots = 64, .kv_capacity_tokens = 70'000}};
  ServiceInfo plain{.name = "orders", .max_connections = 100};

  void add_engine(const std::string& id, std::uint64_t version = 1, const std::string& zone = "a") {
    UpstreamRegistration entry{
        .id = id, .service = "llm", .endpoint = {"10.0.0.1", 80}, .zone = zone};
    entry.weight_versions["m"] = version;
    pool.put(entry, kStart);
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
    const auto* picked = std::get_if<Picked>(&result);
    return picked == nullptr ? "" : picked->upstream_id;
  }

  // The query in the way of a request that orders `id` first among equal upstreams.
  PickQuery preferring(const std::string& id, PickQuery query) {
    while (pick(query) != id) {
      ++query.spread;
    }
    return query;
  }

  // Sends until the pool refuses, and returns how many were sent.
  int send_all(const PickQuery& query, Instant now) {
    int sent = 0;
    while (true) {
      const PickResult result = pool.pick(query, now);
      const auto* picked = std::get_if<Picked>(&result);
      if (picked == nullptr) {
        return sent;
      }
      pool.sent(*picked, query, now);
      ++sent;
    }
  }
};

}  // namespace

TEST_CASE("leaving upstreams and zones that are out get no new work", "[gateway]") {
  Fixture f;
  f.add_plain("o1", "a", true);
  CHECK(f.pick(f.plain_query()).empty());
  f.add_plain("o2", "b");
  CHECK(f.pick(f.plain_query()) == "o2");
  f.pool.set_zones_out({"b"});
  CHECK(f.pick(f.plain_query()).empty());
}

TEST_CASE("the less loaded upstream gets the request", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.add_plain("o2");
  f.pool.reported_load("o1", {.running = 6, .waiting = 3, .slots = 6}, kStart);
  CHECK(f.pick(f.plain_query()) == "o2");
}

// Load pattern: many gateways with few requests each. Guards against all of them taking the
// upstream that each of them alone sees idle.
// Load pattern: many gateways choose within the time of a report, on the same loads. Guards against
// all of them choosing the same idle engine.
TEST_CASE("requests order equal upstreams in their own ways", "[gateway][load]") {
  Fixture f;
  constexpr std::size_t kEngines = 10;
  for (std::size_t i = 0; i < kEngines; ++i) {
    f.add_engine("e" + std::to_string(i));
  }
  std::map<std::string, int> chosen;
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    PickQuery query = f.engine_query();
    query.spread = hash64("request " + std::to_string(i));
    ++chosen[f.pick(query)];
  }
  CHECK(chosen.size() == kEngines);
  for (const auto& [id, count] : chosen) {
    INFO(id);
    CHECK(count < 3 * kRequests / static_cast<int>(kEngines));
  }
}

TEST_CASE("what other gateways have in flight counts", "[gateway]") {
  Fixture f;
  f.add_engine("e1");
  f.add_engine("e2", 1, "b");
  const PickQuery query = f.preferring("e1", f.engine_query());
  f.board.apply({.gateway = "g2",
                 .sequence = 1,
                 .incarnation = 1,
                 .lines = {{LoadBoard::key_of("e1"), {.requests = 2, .unread_tokens = 30'000}}}},
                kStart);
  CHECK(f.pick(query) == "e2");
}

// Load pattern: long prompts fill an engine's memory long before its slots.
TEST_CASE("an engine without room for the prompt is not the first choice", "[gateway]") {
  Fixture f;
  f.add_engine("e1");
  f.add_engine("e2", 1, "b");
  PickQuery query = f.engine_query();
  const std::vector<PromptPart> prompt = {{.id = 1, .tokens = 30'000}};
  query.prompt = prompt;
  query.prompt_tokens = 30'000;
  f.board.apply({.gateway = "g2",
                 .sequence = 1,
                 .incarnation = 1,
                 .lines = {{LoadBoard::key_of("e1"), {.requests = 1, .held_tokens = 40'000}}}},
                kStart);
  CHECK(f.pick(query) == "e2");
}

TEST_CASE("an upstream that failed in a row is used only where there is no other", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.add_plain("o2", "b");
  REQUIRE(f.pick(f.plain_query()) == "o1");
  for (int i = 0; i < 3; ++i) {
    f.pool.finished("o1", 0, SendEnd::kFailed, kStart);
  }
  CHECK(f.pick(f.plain_query()) == "o2");
  f.pool.remove("o2", kStart);
  CHECK(f.pick(f.plain_query()) == "o1");
}

// Guards against the sum of several gateways' requests being too much for a cold upstream.
TEST_CASE("gateways share what a cold upstream bears", "[gateway]") {
  Fixture f;
  f.add_engine("e1");
  UpstreamRegistration cold{
      .id = "e1", .service = "llm", .endpoint = {"10.0.0.1", 80}, .zone = "a"};
  cold.weight_versions["m"] = 1;
  cold.remaining_cold_time = Duration{3000};
  f.pool.put(cold, kStart);
  f.pool.set_gateways(5);
  const int sent = f.send_all(f.engine_query(), kStart);
  CHECK(sent > 0);
  CHECK(sent * 5 <= 33 * 1.5 + 5);
  CHECK(f.pick(f.engine_query(), kStart + 999_ms).empty());
  CHECK_FALSE(f.pick(f.engine_query(), kStart + 1000_ms).empty());
}

// The platform's store lets entries lapse in an outage, and live upstreams register again.
// Load pattern: the balancer sends most callers to a few gateways. Guards against an even share
// that drives their prompts to busy engines while idle ones are left alone.
TEST_CASE("a busy gateway may send a larger part to an upstream", "[gateway][load]") {
  Fixture f;
  f.add_engine("e1");
  f.pool.set_gateways(30);
  const int even = f.send_all(f.engine_query(), kStart);
  // The others send as much as this one together, so that it has far more than a thirtieth.
  f.board.apply({.gateway = "g2", .sequence = 1, .incarnation = 1, .sends = 3}, kStart);
  const int busy = even + f.send_all(f.engine_query(), kStart);
  CHECK(busy >= 3 * even);
  // Reports may be missing: no gateway takes more than a few even shares.
  CHECK(busy <= 4 * (even + 1));
}

// Guards against load that is reported for good: a stream that is continued by a second engine left
// its tokens unread there, and all gateways avoided the engine.
TEST_CASE("an upstream without requests has no load to report", "[gateway]") {
  Fixture f;
  f.add_engine("e1");
  PickQuery query = f.engine_query();
  const std::vector<PromptPart> prompt = {{.id = 1, .tokens = 5000}};
  query.prompt = prompt;
  query.prompt_tokens = 5000;
  const PickResult result = f.pool.pick(query, kStart);
  REQUIRE(std::holds_alternative<Picked>(result));
  f.pool.sent(std::get<Picked>(result), query, kStart);
  CHECK(f.pool.load_report(kStart).lines.size() == 1);
  f.pool.finished("e1", 5000, SendEnd::kAnswered, kStart);
  CHECK(f.pool.load_report(kStart).lines.empty());
}

TEST_CASE("entries that vanish around an outage of the store are kept for a while", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.pool.note_store(false, kStart);
  f.pool.note_store(true, kStart + 5000_ms);
  f.pool.remove("o1", kStart + 5100_ms);
  f.pool.drop_lapsed(kStart + 7400_ms);
  CHECK(f.pick(f.plain_query(), kStart + 7400_ms) == "o1");
  f.pool.drop_lapsed(kStart + 7500_ms);
  CHECK(f.pick(f.plain_query(), kStart + 7500_ms).empty());
}

TEST_CASE("an entry that returns in time stays", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.pool.note_store(false, kStart);
  f.pool.remove("o1", kStart + 1000_ms);
  f.pool.note_store(true, kStart + 5000_ms);
  f.add_plain("o1");
  f.pool.drop_lapsed(kStart + 9000_ms);
  CHECK(f.pick(f.plain_query(), kStart + 9000_ms) == "o1");
}

TEST_CASE("an entry that vanishes in steady state is gone at once", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.pool.remove("o1", kStart);
  CHECK(f.pick(f.plain_query()).empty());
}

// Guards against the fault of drawn day fresh-2ecd: a second version moved the limit of the first.
TEST_CASE("each named version bounds the use of older weights by itself", "[gateway]") {
  Fixture f;
  f.add_engine("e1", 1);
  f.pool.set_wanted_weights({.model = "m", .version = 2}, false, kStart);
  f.pool.set_wanted_weights({.model = "m", .version = 3}, false, kStart + 7000_ms);
  CHECK(f.pick(f.engine_query(), kStart + 7000_ms) == "e1");
  CHECK(f.pick(f.engine_query(), kStart + 8000_ms).empty());
  f.pool.reported_version("e1", "m", 2);
  CHECK(f.pick(f.engine_query(), kStart + 8000_ms) == "e1");
  CHECK(f.pick(f.engine_query(), kStart + 15'000_ms).empty());
}

// Guards against a gateway that starts again and lets older weights be used for a whole new span.
// With 3 s, requests of hunted day hunt-4659-23 still waited in a queue and began after the limit.
TEST_CASE("a version that was named before the start bounds older weights soon", "[gateway]") {
  Fixture f;
  f.add_engine("e1", 1);
  f.pool.set_wanted_weights({.model = "m", .version = 2}, true, kStart);
  CHECK(f.pick(f.engine_query(), kStart + 400_ms) == "e1");
  CHECK(f.pick(f.engine_query(), kStart + 500_ms).empty());
}

// Guards against freeing parts of older weights while an engine can still fetch them.
TEST_CASE("a version is settled when all engines have had it for a while", "[gateway]") {
  Fixture f;
  f.add_engine("e1", 1);
  f.add_engine("e2", 2);
  f.pool.set_wanted_weights({.model = "m", .version = 2}, false, kStart);
  f.pool.note_rollouts(kStart);
  CHECK(f.pool.settled_versions(kStart + 60_s).empty());
  f.pool.reported_version("e1", "m", 2);
  f.pool.note_rollouts(kStart + 1000_ms);
  CHECK(f.pool.settled_versions(kStart + 4999_ms).empty());
  CHECK(f.pool.settled_versions(kStart + 5000_ms).at("m") == 2);
  f.add_engine("e3", 1);  // Comes back with the weights that it had.
  f.pool.note_rollouts(kStart + 6000_ms);
  CHECK(f.pool.settled_versions(kStart + 60_s).empty());
}

// Load pattern: versions are named faster than they are in place everywhere. Guards against stores
// that stay full of parts that no engine can use.
TEST_CASE("a version is settled while a newer one is named already", "[gateway][load]") {
  Fixture f;
  f.add_engine("e1", 2);
  f.add_engine("e2", 1);
  f.pool.set_wanted_weights({.model = "m", .version = 3}, false, kStart);
  f.pool.note_rollouts(kStart);
  f.pool.reported_version("e2", "m", 2);
  f.pool.note_rollouts(kStart + 1_s);
  const Instant settled = kStart + 1_s + UpstreamPool::kSettleTime;
  CHECK(f.pool.settled_versions(settled - 1_ms)["m"] < 2);
  CHECK(f.pool.settled_versions(settled)["m"] == 2);
  // The newer one is not complete yet.
  f.pool.reported_version("e1", "m", 3);
  f.pool.note_rollouts(settled);
  CHECK(f.pool.settled_versions(settled)["m"] == 2);
}

TEST_CASE("engines with the wanted weights come first", "[gateway]") {
  Fixture f;
  f.add_engine("e1", 1);
  f.add_engine("e2", 2, "b");
  f.pool.set_wanted_weights({.model = "m", .version = 2}, false, kStart);
  CHECK(f.pick(f.engine_query()) == "e2");
}

TEST_CASE("an engine that refuses while it has older weights is left alone for its load",
          "[gateway]") {
  Fixture f;
  f.add_engine("e1", 1);
  f.add_engine("e2", 1, "b");
  f.pool.set_wanted_weights({.model = "m", .version = 2}, false, kStart);
  const PickQuery query = f.preferring("e1", f.engine_query());
  f.pool.finished("e1", 0, SendEnd::kRejected, kStart);
  CHECK(f.pick(query, kStart + 700_ms) == "e2");
  CHECK(f.pick(query, kStart + 900_ms) == "e1");
}

// Long prompts return after gaps: the engine that holds the shared part gets them while its wait is
// shorter than reading the part again.
TEST_CASE("a returning prompt goes to the engine that holds its shared part", "[gateway]") {
  Fixture f;
  f.add_engine("e1");
  f.add_engine("e2");
  f.add_engine("e3");
  f.cache.set_sources({{.name = "e1", .endpoint = {"10.0.0.1", 80}, .zone = "a"},
                       {.name = "e2", .endpoint = {"10.0.0.2", 80}, .zone = "a"},
                       {.name = "e3", .endpoint = {"10.0.0.3", 80}, .zone = "a"}});
  const std::vector<PromptPart> prompt = {{.id = 0xb1, .tokens = 12'800},
                                          {.id = 1, .tokens = 4000}};
  PickQuery query = f.engine_query();
  query.prompt = prompt;
  query.prompt_tokens = 16'800;
  f.cache.on_events(
      "e2", {.epoch = 1, .next = 1, .events = {{cache_scope("m", 1, ""), 0xb1, 12'800}}}, kStart);
  CHECK(f.pick(query) == "e2");

  SECTION("a busy holder serves as a source instead") {
    f.pool.reported_load("e2", {.running = 64, .waiting = 20, .slots = 64}, kStart);
    const PickResult result = f.pool.pick(query, kStart);
    const auto& picked = std::get<Picked>(result);
    CHECK(picked.upstream_id != "e2");
    REQUIRE(picked.cache.fetch.size() == 2);
    REQUIRE(picked.cache.fetch[0]);
    CHECK(picked.cache.fetch[0]->ip == "10.0.0.2");
    CHECK(picked.uncached_tokens == 4000);
  }
}

TEST_CASE("prompts with the same shared part meet at one engine when nothing is known",
          "[gateway]") {
  Fixture f;
  for (int i = 0; i < 8; ++i) {
    f.add_engine("e" + std::to_string(i));
  }
  const std::vector<PromptPart> first = {{.id = 0xb1, .tokens = 12'800}, {.id = 1, .tokens = 4000}};
  const std::vector<PromptPart> second = {{.id = 0xb1, .tokens = 12'800}, {.id = 2, .tokens = 900}};
  PickQuery query = f.engine_query();
  query.prompt = first;
  query.prompt_tokens = 16'800;
  const std::string home = f.pick(query);
  query.prompt = second;
  query.prompt_tokens = 13'700;
  CHECK(f.pick(query) == home);
}

// Guards against sending to the old entry of a server that crashed and came back under another id.
TEST_CASE("an address that another upstream has is left alone until its entry is gone",
          "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.add_plain("o2", "b");
  f.pool.misdirected("o1", true, kStart);
  CHECK(f.pick(f.plain_query(), kStart + 3900_ms) == "o2");
}

TEST_CASE("an upstream that starts again under its id is a new one", "[gateway]") {
  Fixture f;
  f.add_plain("o1");
  f.add_plain("o2", "b");
  for (int i = 0; i < 3; ++i) {
    f.pool.finished("o1", 0, SendEnd::kFailed, kStart);
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

TEST_CASE("connections to an upstream are shared among gateways", "[gateway]") {
  Fixture f;
  f.pool.set_gateways(5);
  CHECK(f.pool.connection_share(f.engines) * 5 <= 100);
  f.pool.set_gateways(500);
  CHECK(f.pool.connection_share(f.engines) == 2);
}

}  // namespace bluebellstep
