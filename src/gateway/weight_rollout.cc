// Order and pace of weight loads.

#include "gateway/weight_rollout.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {

void WeightRollout::set_targets(std::vector<RolloutTarget> targets,
                                std::size_t engines,
                                Instant now) {
  engine_count_ = engines;
  std::map<std::string, Engine, std::less<>> next;
  for (RolloutTarget& target : targets) {
    const auto known = engines_.find(target.upstream_id);
    std::string id = target.upstream_id;
    if (known != engines_.end() && known->second.target.wanted_version == target.wanted_version &&
        known->second.target.model == target.model) {
      known->second.target.load = target.load;
      next.emplace(std::move(id), std::move(known->second));
      continue;
    }
    Engine engine;
    engine.target = std::move(target);
    engine.due = now;
    if (known != engines_.end() && known->second.commanded) {
      // A load of an earlier wanted version may still run there.
      engine.commanded = true;
      engine.load_began = known->second.load_began;
      engine.phase = Phase::kLoading;
    }
    next.emplace(std::move(id), std::move(engine));
  }
  engines_ = std::move(next);
}

std::size_t WeightRollout::loading() const {
  return static_cast<std::size_t>(std::count_if(
      engines_.begin(), engines_.end(), [](const auto& item) { return item.second.commanded; }));
}

std::size_t WeightRollout::places() const {
  // Two loads at once do not slow each other down on any deployment described so far.
  return std::max<std::size_t>(2, engine_count_ / kEnginesPerLoad);
}

RolloutStep WeightRollout::ask(Engine& engine) {
  engine.phase = Phase::kAsking;
  RolloutStep step;
  step.kind = RolloutStep::Kind::kReport;
  step.command.upstream_id = engine.target.upstream_id;
  step.command.model = engine.target.model;
  return step;
}

std::optional<RolloutStep> WeightRollout::next(Instant now) {
  Engine* idlest = nullptr;
  std::size_t preparing = 0;
  for (auto& [id, engine] : engines_) {
    if (engine.phase == Phase::kReady) {
      engine.phase = Phase::kCommanding;
      engine.commanded = true;
      engine.load_began = now;
      RolloutStep step;
      step.kind = RolloutStep::Kind::kLoad;
      step.command.upstream_id = engine.target.upstream_id;
      step.command.model = engine.target.model;
      step.command.weight_version = engine.target.wanted_version;
      step.command.expected_sequence = engine.sequence;
      return step;
    }
    if (engine.commanded && engine.phase == Phase::kLoading && engine.due <= now) {
      return ask(engine);
    }
    if (!engine.commanded && engine.phase == Phase::kAsking) {
      ++preparing;
    }
    if (!engine.commanded && engine.phase == Phase::kWaiting && engine.due <= now &&
        (idlest == nullptr || engine.target.load < idlest->target.load)) {
      idlest = &engine;
    }
  }
  if (idlest != nullptr && loading() + preparing < places()) {
    return ask(*idlest);
  }
  return std::nullopt;
}

void WeightRollout::on_report(std::string_view upstream_id,
                              std::optional<EngineReport> report,
                              Instant now) {
  const auto found = engines_.find(upstream_id);
  if (found == engines_.end() || found->second.phase != Phase::kAsking) {
    return;
  }
  Engine& engine = found->second;
  const bool load_overdue = engine.commanded && now - engine.load_began >= kLoadLimit;
  if (!report) {
    // Not reachable: leave its place to others and ask again later.
    engine.commanded = engine.commanded && !load_overdue;
    engine.phase = engine.commanded ? Phase::kLoading : Phase::kWaiting;
    engine.due = now + kRetryPause;
    return;
  }
  if (report->weight_version && *report->weight_version >= engine.target.wanted_version &&
      !report->busy) {
    engines_.erase(found);
    return;
  }
  engine.sequence = report->command_sequence;
  if (report->busy || (engine.commanded && !load_overdue)) {
    engine.phase = engine.commanded ? Phase::kLoading : Phase::kWaiting;
    engine.due = now + kReportPause;
    return;
  }
  engine.phase = Phase::kReady;
}

void WeightRollout::on_load(std::string_view upstream_id, WeightLoadAnswer answer, Instant now) {
  const auto found = engines_.find(upstream_id);
  if (found == engines_.end() || found->second.phase != Phase::kCommanding) {
    return;
  }
  Engine& engine = found->second;
  switch (answer) {
    case WeightLoadAnswer::kAlreadyLoaded:
      engines_.erase(found);
      return;
    case WeightLoadAnswer::kAccepted:
      engine.phase = Phase::kLoading;
      engine.due = now + kShortestLoad;
      return;
    case WeightLoadAnswer::kOutcomeUnknown:
      // The next command expects the same sequence, so at most one of the two takes effect.
      engine.phase = Phase::kLoading;
      engine.load_began = now - kLoadLimit + kRetryPause;
      engine.due = now + kRetryPause;
      return;
    case WeightLoadAnswer::kStaleFencingNumber:
    case WeightLoadAnswer::kRefused:
      engine.commanded = false;
      engine.phase = Phase::kWaiting;
      engine.due = now + kReportPause;
      return;
  }
}

std::optional<Instant> WeightRollout::next_at() const {
  std::optional<Instant> at;
  for (const auto& [id, engine] : engines_) {
    if ((engine.phase == Phase::kWaiting || engine.phase == Phase::kLoading) &&
        (!at || engine.due < *at)) {
      at = engine.due;
    }
  }
  return at;
}

}  // namespace bluebellstep
