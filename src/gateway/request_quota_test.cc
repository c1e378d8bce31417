// Tests of the division of a cold upstream's request limit among gateways.

#include "gateway/request_quota.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"
#include "gateway/upstream_pool.h"
#include "tests/support/event_queue.h"
#include "tests/support/sliding_window.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};
constexpr double kLimit = 32;
const std::uint64_t kUpstream = hash64("u1");

std::string gateway_name(std::size_t index) {
  return "g" + std::to_string(index);
}

std::set<std::string, std::less<>> gateway_names(std::size_t count) {
  std::set<std::string, std::less<>> names;
  for (std::size_t i = 0; i < count; ++i) {
    names.insert(gateway_name(i));
  }
  return names;
}

/** Gateways with skewed traffic and different knowledge in front of one cold upstream. */
class ColdUpstreamSimulation {
 public:
  ColdUpstreamSimulation(std::uint64_t seed, std::size_t gateways)
      : events_(seed, kStart), service_{.name = "llm", .cold_requests_per_s = 18} {
    for (std::size_t i = 0; i < gateways; ++i) {
      gateways_.push_back(std::make_unique<Gateway>(gateway_name(i), kStart - 60'000_ms));
      gateways_.back()->quota.set_registered(gateway_names(gateways));
      start(i);
    }
    registered_ = gateways;
  }

  /** Returns the largest number of requests that were sent within one second. */
  std::size_t run(Duration duration) {
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      arrive(i);
    }
    change_membership();
    events_.run_until(kStart + duration);
    return most_within(sent_at_, 1000_ms);
  }

  double limit() const {
    const PoolLimits limits;
    return service_.cold_requests_per_s * limits.cold_overage + limits.cold_slack;
  }

 private:
  struct Gateway {
    Gateway(std::string_view name, Instant started_at) : quota(name, started_at) {}

    LoadAggregator load_aggregator;
    CacheDirectory cache{load_aggregator};
    RequestQuota quota;
    std::unique_ptr<UpstreamPool> pool;
    std::uint64_t requests = 0;
  };

  // Creates the pool of a gateway as after a start of its process.
  void start(std::size_t index) {
    Gateway& gateway = *gateways_[index];
    gateway.pool = std::make_unique<UpstreamPool>(PoolLimits{}, gateway.cache,
                                                  gateway.load_aggregator, gateway.quota);
    gateway.pool->put(
        {.id = "u1", .service = "llm", .zone = "a", .remaining_cold_time = Duration{1'000'000}},
        events_.now());
  }

  // The first gateways receive most of the requests.
  void arrive(std::size_t index) {
    const Duration gap = events_.random_duration(1, index < 5 ? 30 : 2000);
    events_.after(gap, [this, index] { arrive(index); });
    Gateway& gateway = *gateways_[index];
    const PickQuery query{.service = &service_,
                          .zone = "a",
                          .tie_breaker = hash64(std::to_string(++gateway.requests))};
    const PickResult result = gateway.pool->pick(query, events_.now());
    if (const auto* picked = std::get_if<PickedUpstream>(&result)) {
      gateway.pool->record_sent(*picked, query, events_.now());
      gateway.pool->record_finished("u1", 0, AttemptOutcome::kAnswered, events_.now());
      // Some connections have to be established first.
      const Duration connect = events_.random_duration(0, events_.random().below(4) == 0 ? 299 : 1);
      sent_at_.push_back(events_.now() + connect);
    }
    // A report of the gateway reaches some of the others.
    Gateway& peer = *gateways_[events_.random().below(gateways_.size())];
    peer.load_aggregator.apply({.gateway = gateway_name(index),
                                .sequence = gateway.requests,
                                .incarnation = 1,
                                .recent_requests = 1},
                               events_.now());
    peer.quota.on_report(gateway_name(index));
  }

  // A gateway restarts or joins. Most of the others learn of a new one within seconds.
  void change_membership() {
    events_.after(events_.random_duration(200, 3000), [this] { change_membership(); });
    if (events_.random().below(3) > 0) {
      const std::size_t index = events_.random().below(gateways_.size());
      Gateway& old = *gateways_[index];
      auto restarted = std::make_unique<Gateway>(gateway_name(index), events_.now());
      restarted->quota.set_registered(gateway_names(registered_));
      restarted->requests = old.requests;
      gateways_[index] = std::move(restarted);
      start(index);
      return;
    }
    const std::size_t index = gateways_.size();
    gateways_.push_back(std::make_unique<Gateway>(gateway_name(index), events_.now()));
    gateways_.back()->quota.set_registered(gateway_names(index + 1));
    gateways_.back()->quota.set_joined(events_.now());
    start(index);
    registered_ = index + 1;
    arrive(index);
    for (std::size_t i = 0; i < index; ++i) {
      const bool cut_off = events_.random().below(10) == 0;
      if (!cut_off) {
        events_.after(events_.random_duration(100, RequestQuota::kJoinDelay.ms - 100), [this, i] {
          gateways_[i]->quota.set_registered(gateway_names(registered_));
        });
      }
    }
  }

  EventQueue events_;
  ServiceInfo service_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::size_t registered_ = 0;
  std::vector<Instant> sent_at_;
};

}  // namespace

TEST_CASE("the allowances of all gateways add up to the used part of the limit",
          "[gateway][quota]") {
  const auto count = GENERATE(as<std::size_t>{}, 1, 5, 24, 27, 28, 103, 300);
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i < count; ++i) {
    RequestQuota quota(gateway_name(i), kStart);
    quota.set_registered(gateway_names(count));
    sum += quota.allowance(kUpstream, kLimit, kStart + RequestQuota::kRestartDelay);
  }
  CHECK(sum == 27);  // 85% of 32, rounded down
}

TEST_CASE("a gateway that knows no others, has just started or just joined may send nothing",
          "[gateway][quota]") {
  RequestQuota quota("g1", kStart);
  CHECK(quota.allowance(kUpstream, kLimit, kStart + 60'000_ms) == 0);
  quota.set_registered(gateway_names(2));
  CHECK(quota.allowance(kUpstream, kLimit, kStart) == 0);
  const Instant later = kStart + RequestQuota::kRestartDelay;
  CHECK(quota.allowance(kUpstream, kLimit, later) > 0);
  quota.set_joined(later);
  CHECK(quota.allowance(kUpstream, kLimit, later + RequestQuota::kJoinDelay - 1_ms) == 0);
  CHECK(quota.allowance(kUpstream, kLimit, later + RequestQuota::kJoinDelay) > 0);
}

// Guards against gateways that miss the registration of new ones, for example during an outage of
// the store, and keep too large a share.
TEST_CASE("a gateway that sends load reports counts before its registration is known",
          "[gateway][quota]") {
  RequestQuota quota("g0", kStart - 60'000_ms);
  quota.set_registered(gateway_names(1));
  CHECK(quota.allowance(kUpstream, kLimit, kStart) == 27);
  quota.on_report("g1");
  CHECK(quota.allowance(kUpstream, kLimit, kStart) <= 14);
  CHECK(quota.gateway_count() == 2);
}

// Load pattern: many gateways with uneven traffic send to an upstream that has just started. Guards
// against a sum of requests above the limit when reports are lost and gateways restart and join.
TEST_CASE("all gateways together keep the limit of a cold upstream in every second",
          "[gateway][quota][load]") {
  const auto gateways = GENERATE(as<std::size_t>{}, 5, 24, 103, 300);
  const auto seed = GENERATE(as<std::uint64_t>{}, 1, 2, 3);
  ColdUpstreamSimulation simulation(seed, gateways);
  const std::size_t most = simulation.run(20'000_ms);
  INFO(gateways << " gateways, seed " << seed);
  CHECK(static_cast<double>(most) <= simulation.limit());
  CHECK(most > simulation.limit() / 4);  // The upstream is used.
}

}  // namespace bluebellstep
