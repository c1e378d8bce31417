// Tests of what a gateway believes of the weights of an engine.

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "gateway/upstream_pool.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};

// A pool with one engine, whose model has the target version 3.
struct Fixture {
  LoadAggregator load_aggregator;
  CacheDirectory cache{load_aggregator};
  RequestQuota quota{"g1", kStart};
  UpstreamPool pool{PoolLimits{}, cache, load_aggregator, quota};
  int went_back = 0;

  Fixture() {
    register_engine(1, 100, kStart);
    pool.set_target_weights({.model = "m", .version = 3}, false, kStart);
    pool.on_weights_went_back([this] { ++went_back; });
  }

  void register_engine(std::uint64_t version, std::int64_t started_ms, Instant now) {
    UpstreamRegistration registration{
        .id = "e", .service = "llm", .endpoint = {"10.0.0.1", 80}, .zone = "a"};
    registration.started_ms = started_ms;
    registration.weight_versions["m"] = version;
    pool.put(registration, now);
  }

  // Returns 0 if the engine is up to date, else its version.
  std::uint64_t outdated_version() const {
    std::size_t engine_count = 0;
    const auto engines = pool.outdated_engines(engine_count);
    return engines.empty() ? 0 : engines.front().current_version;
  }
};

}  // namespace

// Guards against an engine that is never updated again: it started again and carried out a command
// from before, so it has older weights than it once stated.
TEST_CASE("an engine that went back to older weights is outdated again", "[gateway]") {
  Fixture f;
  f.pool.record_weight_version("e", "m", 3, kStart + 1_s, kStart + 2_s);
  CHECK(f.outdated_version() == 0);
  f.pool.record_weight_version("e", "m", 2, kStart + 2_s, kStart + 3_s);
  CHECK(f.outdated_version() == 2);
  CHECK(f.went_back == 1);
  // Another answer that was asked for before does not say more.
  f.pool.record_weight_version("e", "m", 1, kStart + 2_s, kStart + 4_s);
  CHECK(f.outdated_version() == 2);
}

// Guards against commands to engines that are up to date: answers on different connections overtake
// each other, and registrations are older than answers.
TEST_CASE("an older statement of an engine's weights does not count", "[gateway]") {
  Fixture f;
  SECTION("an answer to a request that was sent before") {
    f.pool.record_weight_version("e", "m", 3, kStart + 1_s, kStart + 2_s);
    f.pool.record_weight_version("e", "m", 2, kStart + 1'999_ms, kStart + 3_s);
  }
  SECTION("an answer from before a registration that was received meanwhile") {
    f.register_engine(3, 100, kStart + 2_s);
    f.pool.record_weight_version("e", "m", 2, kStart + 1_s, kStart + 3_s);
  }
  SECTION("an answer from before the last start") {
    f.register_engine(3, 200, kStart + 2_s);
    f.pool.record_weight_version("e", "m", 2, kStart + 1_s, kStart + 3_s);
  }
  SECTION("a registration") {
    f.pool.record_weight_version("e", "m", 3, kStart + 1_s, kStart + 2_s);
    f.register_engine(2, 100, kStart + 3_s);
  }
  CHECK(f.outdated_version() == 0);
  CHECK(f.went_back == 0);
}

// Guards against a rollout that takes all engines out of service at once: a gateway that has just
// started assumes that a target is old, but other gateways may know that it was just set.
TEST_CASE("an engine counts as out of service only once every gateway must know it", "[gateway]") {
  Fixture f;
  const Instant restarted = kStart + 1_s;
  f.pool.set_target_weights({.model = "m", .version = 4}, true, restarted);
  f.pool.record_weight_version("e", "m", 3, restarted, restarted);
  std::size_t engine_count = 0;
  const auto engines = f.pool.outdated_engines(engine_count);
  REQUIRE(engines.size() == 1);
  CHECK(engines[0].serves_until >= restarted + PoolLimits{}.version_limit - Duration{2500});
}

}  // namespace bluebellstep
