// Weight versions in an upstream pool: target versions, versions that are too old for new requests,
// and the progress of rollouts.

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "gateway/upstream_pool.h"

namespace bluebellstep {
namespace {

// Requests are no longer sent to older weights this long before the limit on starting there, since
// they may wait in the engine's queue.
constexpr Duration kVersionMargin{2500};

}  // namespace

void UpstreamPool::set_target_weights(const TargetWeights& target,
                                      bool set_before_start,
                                      Instant now) {
  TargetVersions& known = targets_[target.model];
  if (known.empty() || target.version > known.back().version) {
    // A target set before the start of this gateway counts as old enough that older versions may be
    // used only for `startup_grace`.
    const Duration assumed_age = limits_.version_limit - kVersionMargin - limits_.startup_grace;
    known.push_back({.version = target.version,
                     .set_at = set_before_start ? now - assumed_age : now,
                     .learned_at = now});
  }
}

bool UpstreamPool::has_older_weights(const Upstream& upstream) const {
  const auto& versions = upstream.registration.weight_versions;
  return std::any_of(versions.begin(), versions.end(),
                     [this](const auto& item) { return item.second < newest_target(item.first); });
}

std::uint64_t UpstreamPool::newest_target(std::string_view model) const {
  const auto found = targets_.find(model);
  return found == targets_.end() ? 0 : found->second.back().version;
}

// Whether requests must no longer be sent to engines with `version`.
bool UpstreamPool::is_past_limit(std::uint64_t version, std::string_view model, Instant now) const {
  const auto found = targets_.find(model);
  return found != targets_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [&](const TargetVersion& target) {
           return version < target.version &&
                  now >= target.set_at + limits_.version_limit - kVersionMargin;
         });
}

Instant UpstreamPool::serves_until(std::uint64_t version, std::string_view model) const {
  Instant until{INT64_MAX};
  if (const auto found = targets_.find(model); found != targets_.end()) {
    for (const TargetVersion& target : found->second) {
      if (version < target.version) {
        until = std::min(until, target.learned_at + limits_.version_limit - kVersionMargin);
      }
    }
  }
  return until;
}

std::optional<std::uint64_t> UpstreamPool::version_of(const Upstream& upstream,
                                                      std::string_view model) const {
  const auto found = upstream.registration.weight_versions.find(std::string(model));
  return found == upstream.registration.weight_versions.end() ? std::nullopt
                                                              : std::optional(found->second);
}

void UpstreamPool::record_weight_version(std::string_view id,
                                         std::string_view model,
                                         std::uint64_t version,
                                         Instant asked_at,
                                         Instant now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end() || model.empty()) {
    return;
  }
  Upstream& upstream = found->second;
  std::uint64_t& known = upstream.registration.weight_versions[std::string(model)];
  Instant& stated_at = upstream.weights_stated_at[std::string(model)];
  if (version >= known) {
    known = version;
    stated_at = now;
    return;
  }
  if (asked_at < stated_at || asked_at < upstream.known_since) {
    return;
  }
  LogEvent("weights_went_back", LogEvent::Severity::kWarning)
      .field("upstream", id)
      .field("model", model)
      .field("version", version)
      .field("known_version", known)
      .field("known_ms_ago", (now - stated_at).ms);
  known = version;
  stated_at = now;
  if (on_weights_went_back_) {
    on_weights_went_back_();
  }
}

std::vector<UpstreamPool::OutdatedEngine> UpstreamPool::outdated_engines(
    std::size_t& engine_count) const {
  std::vector<OutdatedEngine> result;
  engine_count = 0;
  for (const auto& [id, upstream] : upstreams_) {
    for (const auto& [model, version] : upstream.registration.weight_versions) {
      const std::uint64_t target = newest_target(model);
      if (target == 0) {
        continue;
      }
      ++engine_count;
      if (version < target && !is_leaving(upstream)) {
        result.push_back({.upstream_id = id,
                          .endpoint = upstream.registration.endpoint,
                          .model = model,
                          .current_version = version,
                          .target_version = target,
                          .running_requests = upstream.load.running,
                          .serves_until = serves_until(version, model)});
      }
    }
  }
  return result;
}

void UpstreamPool::update_rollouts(Instant now) {
  std::map<std::string, std::uint64_t, std::less<>> oldest;
  for (const auto& [id, upstream] : upstreams_) {
    for (const auto& [model, version] : upstream.registration.weight_versions) {
      const auto [known, added] = oldest.try_emplace(model, version);
      known->second = std::min(known->second, version);
    }
  }
  for (const auto& [model, version] : oldest) {
    Rollout& rollout = rollouts_[model];
    // A rise of the oldest version completes a rollout even if it is below the target: new targets
    // may be set faster than they are loaded everywhere, and segments of versions that are no
    // longer in use would fill the stores.
    const bool oldest_rose = rollout.oldest > 0 && version > rollout.oldest;
    const std::uint64_t target = newest_target(model);
    const bool newest = target > 0 && version >= target;
    if ((oldest_rose || newest) &&
        (version > rollout.complete_version ||
         (rollout.has_outdated_engine && version == rollout.complete_version))) {
      rollout.complete_version = version;
      rollout.complete_since = now;
    }
    rollout.oldest = version;
    rollout.has_outdated_engine = version < rollout.complete_version;
  }
}

std::map<std::string, std::uint64_t> UpstreamPool::settled_versions(Instant now) const {
  std::map<std::string, std::uint64_t> settled;
  for (const auto& [model, rollout] : rollouts_) {
    if (rollout.complete_version > 0 && !rollout.has_outdated_engine &&
        now >= rollout.complete_since + kSettleTime) {
      settled[model] = rollout.complete_version;
    }
  }
  return settled;
}

}  // namespace bluebellstep
