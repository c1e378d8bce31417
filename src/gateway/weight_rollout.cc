// State machine of each outdated engine, and the limit on concurrent loads.

#include "gateway/weight_rollout.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {

void WeightRollout::set_pending_updates(std::vector<EngineUpdate> updates,
                                        std::size_t engine_count,
                                        Instant now) {
  engine_count_ = engine_count;
  std::map<std::string, Engine, std::less<>> next;
  for (EngineUpdate& update : updates) {
    const auto known = engines_.find(update.upstream_id);
    std::string id = update.upstream_id;
    if (known != engines_.end() && known->second.update.target_version == update.target_version &&
        known->second.update.model == update.model) {
      known->second.update.running_requests = update.running_requests;
      next.emplace(std::move(id), std::move(known->second));
      continue;
    }
    Engine engine;
    engine.update = std::move(update);
    engine.due_at = now;
    engine.failed_reports = known == engines_.end() ? 0 : known->second.failed_reports;
    if (known != engines_.end() && known->second.load_may_run) {
      // A load of an earlier target version may still be in progress.
      engine.load_may_run = true;
      engine.load_started_at = known->second.load_started_at;
      engine.reported_sequence = known->second.reported_sequence;
      engine.reported_start_ms = known->second.reported_start_ms;
      engine.phase = Phase::kLoading;
    }
    next.emplace(std::move(id), std::move(engine));
  }
  engines_ = std::move(next);
}

std::size_t WeightRollout::concurrent_loads(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(engines_.begin(), engines_.end(), [now](const auto& item) {
        return item.second.load_may_run && now < item.second.update.serves_until;
      }));
}

std::size_t WeightRollout::max_concurrent_loads() const {
  // Two concurrent loads do not slow each other down on any known deployment.
  return std::max<std::size_t>(2, engine_count_ / kEnginesPerConcurrentLoad);
}

EngineCall WeightRollout::request_report(Engine& engine) {
  engine.phase = Phase::kAwaitingReport;
  EngineCall call;
  call.kind = EngineCall::Kind::kRequestReport;
  call.command.upstream_id = engine.update.upstream_id;
  call.command.model = engine.update.model;
  return call;
}

std::optional<EngineCall> WeightRollout::next(Instant now) {
  Engine* least_loaded = nullptr;
  std::size_t pending_reports = 0;
  for (auto& [id, engine] : engines_) {
    if (engine.phase == Phase::kReadyToLoad) {
      engine.phase = Phase::kAwaitingLoadAnswer;
      engine.load_may_run = true;
      engine.load_started_at = now;
      EngineCall call;
      call.kind = EngineCall::Kind::kLoadWeights;
      call.command.upstream_id = engine.update.upstream_id;
      call.command.model = engine.update.model;
      call.command.weight_version = engine.update.target_version;
      call.command.expected_sequence = engine.reported_sequence;
      return call;
    }
    if (engine.load_may_run && engine.phase == Phase::kLoading && engine.due_at <= now) {
      return request_report(engine);
    }
    const bool serves = now < engine.update.serves_until;
    if (serves && !engine.load_may_run && engine.phase == Phase::kAwaitingReport) {
      ++pending_reports;
    }
    if (engine.load_may_run || engine.phase != Phase::kWaiting || engine.due_at > now) {
      continue;
    }
    if (!serves) {
      return request_report(engine);
    }
    if (least_loaded == nullptr ||
        std::pair(engine.failed_reports, engine.update.running_requests) <
            std::pair(least_loaded->failed_reports, least_loaded->update.running_requests)) {
      least_loaded = &engine;
    }
  }
  if (least_loaded != nullptr && concurrent_loads(now) + pending_reports < max_concurrent_loads()) {
    return request_report(*least_loaded);
  }
  return std::nullopt;
}

void WeightRollout::on_report(std::string_view upstream_id,
                              std::optional<EngineReport> report,
                              Instant now) {
  const auto found = engines_.find(upstream_id);
  if (found == engines_.end() || found->second.phase != Phase::kAwaitingReport) {
    return;
  }
  Engine& engine = found->second;
  const bool load_timed_out = engine.load_may_run && now - engine.load_started_at >= kLoadTimeout;
  if (!report) {
    ++engine.failed_reports;
    // No valid report: retry later. Unless a load may still be in progress, another engine may
    // load.
    engine.load_may_run = engine.load_may_run && !load_timed_out;
    engine.phase = engine.load_may_run ? Phase::kLoading : Phase::kWaiting;
    engine.due_at = now + kRetryDelay;
    return;
  }
  engine.failed_reports = 0;
  if (report->weight_version && *report->weight_version >= engine.update.target_version &&
      !report->busy) {
    engines_.erase(found);
    return;
  }
  const bool load_ended = !report->busy && (report->command_sequence > engine.reported_sequence ||
                                            report->started_ms != engine.reported_start_ms);
  if (report->busy || (engine.load_may_run && !load_ended && !load_timed_out)) {
    engine.phase = engine.load_may_run ? Phase::kLoading : Phase::kWaiting;
    engine.due_at = now + kReportInterval;
    return;
  }
  engine.reported_sequence = report->command_sequence;
  engine.reported_start_ms = report->started_ms;
  engine.phase = Phase::kReadyToLoad;
}

void WeightRollout::on_load_answer(std::string_view upstream_id,
                                   WeightLoadAnswer answer,
                                   Instant now) {
  const auto found = engines_.find(upstream_id);
  if (found == engines_.end() || found->second.phase != Phase::kAwaitingLoadAnswer) {
    return;
  }
  Engine& engine = found->second;
  switch (answer) {
    case WeightLoadAnswer::kAlreadyLoaded:
      engines_.erase(found);
      return;
    case WeightLoadAnswer::kAccepted:
      engine.phase = Phase::kLoading;
      engine.due_at = now + kMinLoadTime;
      return;
    case WeightLoadAnswer::kOutcomeUnknown:
      // The retry expects the same sequence, so the engine accepts at most one of the two commands.
      engine.phase = Phase::kLoading;
      engine.load_started_at = now - kLoadTimeout + kRetryDelay;
      engine.due_at = now + kRetryDelay;
      return;
    case WeightLoadAnswer::kStaleFencingNumber:
    case WeightLoadAnswer::kRefused:
      engine.load_may_run = false;
      engine.phase = Phase::kWaiting;
      engine.due_at = now + kReportInterval;
      return;
  }
}

std::optional<Instant> WeightRollout::next_due() const {
  std::optional<Instant> earliest;
  for (const auto& [id, engine] : engines_) {
    if ((engine.phase == Phase::kWaiting || engine.phase == Phase::kLoading) &&
        (!earliest || engine.due_at < *earliest)) {
      earliest = engine.due_at;
    }
  }
  return earliest;
}

}  // namespace bluebellstep
