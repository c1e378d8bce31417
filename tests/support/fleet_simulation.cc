// Arrivals, engines and load reports of the simulated fleet.

#include "tests/support/fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>
#include <variant>

#include "base/hash.h"
#include "gateway/retry_after.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};
constexpr double kPrefillTokensPerMs = 56;
// From the end of the prefill to the first token.
constexpr Duration kFirstTokenDelay{16};
// From the first token to the last.
constexpr Duration kDecodeTime{100};
constexpr std::uint32_t kEngineSlots = 32;
constexpr Duration kSlowdownChange{2000};

// The gateways were started this long before the simulation.
constexpr Duration kWarmUpTime{60'000};

std::string gateway_name(std::size_t index) {
  return "g-" + std::to_string(index);
}

std::string engine_id(std::size_t index) {
  return "i-" + std::to_string(index);
}

std::size_t engine_index(const std::string& id) {
  return static_cast<std::size_t>(std::stoul(id.substr(2)));
}

}  // namespace

FleetSimulation::FleetSimulation(std::uint64_t seed, FleetLoad load)
    : load_(load),
      events_(seed, kStart),
      service_{.name = "llm",
               .max_connections = 370,
               .cold_requests_per_s = 28,
               .engine = EngineSpec{.slots = kEngineSlots, .kv_capacity_tokens = 74'000},
               .urgent_latency_goal = load.short_prompts.latency_goal},
      engines_(load.engines) {
  std::set<std::string, std::less<>> names;
  for (std::size_t i = 0; i < load_.gateways; ++i) {
    names.insert(gateway_name(i));
  }
  for (std::size_t i = 0; i < load_.gateways; ++i) {
    auto gateway = std::make_unique<Gateway>();
    gateway->quota = std::make_unique<RequestQuota>(gateway_name(i), kStart - kWarmUpTime);
    gateway->quota->set_registered(names);
    gateway->pool =
        std::make_unique<UpstreamPool>(PoolLimits{.load_shedding = true}, gateway->cache,
                                       gateway->load_aggregator, *gateway->quota);
    gateway->pacer.set_peer_count(load_.gateways - 1);
    gateway->pool->on_prompt_sent([this, i](std::uint32_t tokens) {
      gateways_[i]->pacer.record_sent(tokens, events_.now());
      events_.after(std::max(Duration{0}, gateways_[i]->pacer.due() - events_.now()),
                    [this, i] { report_if_due(i); });
    });
    for (std::size_t engine = load_.engines_down; engine < load_.engines; ++engine) {
      put_engine(*gateway->pool, engine);
    }
    gateways_.push_back(std::move(gateway));
    events_.after(events_.random_duration(0, ReportPacer::kLargeFleetInterval.ms),
                  [this, i] { report_if_due(i); });
  }
}

FleetResult FleetSimulation::run() {
  schedule_arrivals(false);
  schedule_arrivals(true);
  if (load_.overload.engines_down > 0) {
    events_.after(load_.overload.from, [this] { set_engines_down(true); });
    events_.after(load_.overload.until, [this] { set_engines_down(false); });
  }
  // The time after the last arrival is that of the last retries.
  events_.run_until(kStart + load_.duration + Duration{5000});
  return result_;
}

bool FleetSimulation::overloaded() const {
  const Duration elapsed = events_.now() - kStart;
  return elapsed >= load_.overload.from && elapsed < load_.overload.until;
}

void FleetSimulation::put_engine(UpstreamPool& pool, std::size_t engine) {
  UpstreamRegistration registration{
      .id = engine_id(engine), .service = "llm", .zone = "a", .slots = kEngineSlots};
  registration.weight_versions["m"] = 1;
  pool.put(registration, kStart);
}

void FleetSimulation::set_engines_down(bool down) {
  for (const auto& gateway : gateways_) {
    for (std::size_t engine = 0; engine < load_.overload.engines_down; ++engine) {
      if (down) {
        gateway->pool->discard(engine_id(engine), events_.now());
      } else {
        put_engine(*gateway->pool, engine);
      }
    }
  }
}

double FleetSimulation::work_time_factor(std::size_t engine) const {
  if (load_.speed_interval > Duration{0}) {
    const auto step = static_cast<std::uint64_t>(events_.now().ms / load_.speed_interval.ms);
    return std::pow(3, 2 * unit_interval(combine_hashes(engine + 1, step)) - 1);
  }
  return engine % load_.slow_every == 0 ? load_.slow_factor : 1;
}

double FleetSimulation::prefill_ms(std::size_t engine, std::uint32_t tokens) const {
  double factor = 1;
  if (overloaded()) {
    const auto period =
        static_cast<std::uint64_t>((events_.now() - kStart).ms / kSlowdownChange.ms);
    const double position = unit_interval(combine_hashes(engine + 1, period + 1));
    factor += position * (load_.overload.max_slowdown - 1);
  }
  return factor * work_time_factor(engine) * tokens / kPrefillTokensPerMs;
}

void FleetSimulation::schedule_arrivals(bool is_long) {
  const Overload& overload = load_.overload;
  const double first_share = 1.0 / static_cast<double>(load_.accounts);
  double rate = kind(is_long).per_s;
  double account_excess = 0;  // Additional requests of the first account, relative to the rate.
  if (overloaded()) {
    rate *= is_long ? overload.long_factor : overload.short_factor;
    account_excess = (overload.account_factor - 1) * first_share;
  }
  rate *= 1 + account_excess;
  // The gaps of a Poisson process are distributed exponentially.
  double& remainder_ms = arrival_remainder_ms_[is_long ? 1 : 0];
  const double gap_ms = remainder_ms - 1000 / rate * std::log(1 - events_.random().uniform());
  remainder_ms = gap_ms - std::floor(gap_ms);
  const Duration gap{static_cast<std::int64_t>(gap_ms)};
  if (events_.now() + gap < kStart + load_.duration) {
    events_.after(gap, [this, is_long] { schedule_arrivals(is_long); });
  }
  const bool excess = events_.random().uniform() * (1 + account_excess) < account_excess;
  create_prompt(is_long, excess ? 0 : events_.random().below(load_.accounts));
}

void FleetSimulation::create_prompt(bool is_long, std::size_t account) {
  const PromptKind& properties = kind(is_long);
  const std::uint64_t size_range = properties.max_own_tokens - properties.min_own_tokens;
  auto tokens =
      properties.min_own_tokens + static_cast<std::uint32_t>(events_.random().below(size_range));
  if (properties.uncached_share > 0 && events_.random().chance(properties.uncached_share)) {
    tokens += properties.shared_tokens;
  }
  result_.push_back({.is_long = is_long,
                     .account = account,
                     .arrived_at = events_.now(),
                     .prompt_tokens = tokens,
                     .refused = true,
                     .latency_goal = properties.latency_goal,
                     .time_limit = properties.time_limit});
  send(result_.size() - 1);
}

void FleetSimulation::send(std::size_t index) {
  PromptRecord& record = result_[index];
  Gateway& gateway = *gateways_[events_.random().below(gateways_.size())];
  const std::uint32_t tokens = record.prompt_tokens;
  const Instant now = events_.now();
  const Duration time_left = record.arrived_at + record.time_limit - now;
  const PromptSegment segment{.id = events_.random().next(), .tokens = tokens};
  const ClientAccount account{.name = "account-" + std::to_string(record.account)};
  const PickQuery query{.service = &service_,
                        .zone = "a",
                        .model = "m",
                        .account = &account,
                        .prompt = {&segment, 1},
                        .prompt_tokens = tokens,
                        .priority = kind(record.is_long).priority,
                        .latency_goal = record.latency_goal,
                        .time_left = time_left,
                        .tie_breaker = hash64(std::to_string(index))};
  const PickResult result = gateway.pool->pick(query, now);
  if (const auto* none = std::get_if<NoUpstreamAvailable>(&result)) {
    const Duration delay =
        jittered_retry_after(none->retry_after, time_left, std::to_string(query.tie_breaker));
    if (load_.callers_retry && !record.retried) {
      record.retried = true;
      events_.after(delay, [this, index] { send(index); });
    }
    return;
  }
  const PickedUpstream& picked = std::get<PickedUpstream>(result);
  gateway.pool->record_sent(picked, query, now);
  record.refused = false;
  record.first_token_after = record.time_limit + Duration{1};  // Until there is one.
  Engine& engine = engines_[engine_index(picked.upstream_id)];
  peak_prompts_ = std::max(peak_prompts_, ++engine.open_prompts);
  engine.waiting.push_back(
      [this, &pool = *gateway.pool, picked, index, now] { run_prompt(pool, picked, index, now); });
  start_waiting(engine);
}

void FleetSimulation::start_waiting(Engine& engine) {
  while (engine.running < kEngineSlots && !engine.waiting.empty()) {
    ++engine.running;
    engine.waiting.front()();
    engine.waiting.pop_front();
  }
}

void FleetSimulation::run_prompt(UpstreamPool& pool,
                                 const PickedUpstream& picked,
                                 std::size_t index,
                                 Instant sent_at) {
  const std::size_t engine_number = engine_index(picked.upstream_id);
  Engine& engine = engines_[engine_number];
  const Instant now = events_.now();
  const std::uint32_t tokens = result_[index].prompt_tokens;
  engine.prefill_done_at = std::max(engine.prefill_done_at, now) +
                           Duration{std::lround(prefill_ms(engine_number, tokens))};
  const Instant first_token_at = engine.prefill_done_at + kFirstTokenDelay;
  result_[index].first_token_after = first_token_at - result_[index].arrived_at;
  events_.after(first_token_at - now, [this, &pool, &engine, engine_number, picked, sent_at] {
    --engine.open_prompts;
    if (load_.reports_work_time) {
      pool.record_load(picked.upstream_id,
                       {.work_time_percent = 100 * work_time_factor(engine_number)}, events_.now());
    }
    pool.record_prefill_finished(picked);
    if (load_.learns_times) {
      pool.record_first_event(picked, events_.now() - sent_at, events_.now());
    }
  });
  events_.after(first_token_at + kDecodeTime - now,
                [this, &pool, &engine, id = picked.upstream_id, tokens] {
                  pool.record_finished(id, tokens, AttemptOutcome::kAnswered, events_.now());
                  --engine.running;
                  start_waiting(engine);
                });
}

void FleetSimulation::report_if_due(std::size_t index) {
  Gateway& gateway = *gateways_[index];
  if (events_.now() < gateway.pacer.due()) {
    return;
  }
  for (AccountWorkReport& work : gateway.pool->overload_policy().take_reports(events_.now())) {
    work.gateway = gateway_name(index);
    events_.after(load_.datagram_delay, [this, index, work] {
      for (std::size_t other = 0; other < gateways_.size(); ++other) {
        if (other != index) {
          gateways_[other]->pool->overload_policy().apply(work, events_.now());
        }
      }
    });
  }
  LoadReport report = gateway.pool->make_load_report(events_.now());
  report.gateway = std::to_string(index);
  report.sequence = ++gateway.sequence;
  events_.after(load_.datagram_delay, [this, index, report] {
    for (std::size_t other = 0; other < gateways_.size(); ++other) {
      if (other != index) {
        gateways_[other]->cache.record_sent_by_peers(report.sent_segments, events_.now());
        gateways_[other]->pool->apply_speed_reports(report, events_.now());
        gateways_[other]->load_aggregator.apply(report, events_.now());
      }
    }
  });
  gateway.pacer.record_reported(events_.now());
  events_.after(gateway.pacer.due() - events_.now(), [this, index] { report_if_due(index); });
}

}  // namespace bluebellstep
