// Weight versions of the upstreams in a pool: which are wanted, which are too old, what is
// complete.

#include <algorithm>
#include <utility>

#include "gateway/upstream_pool.h"

namespace bluebellstep {
namespace {

// Requests stop going to older weights this long before they must not begin there.
// They may wait in the engine's queue.
constexpr Duration kVersionMargin{2500};

}  // namespace

void UpstreamPool::set_wanted_weights(const TargetWeights& wanted, bool named_before, Instant now) {
  WantedVersions& known = wanted_[wanted.model];
  if (known.empty() || wanted.version > known.back().version) {
    const Duration passed = limits_.version_limit - kVersionMargin - limits_.start_grace;
    known.push_back({wanted.version, named_before ? now - passed : now});
  }
}

bool UpstreamPool::has_older_weights(const Upstream& upstream) const {
  const auto& versions = upstream.entry.weight_versions;
  return std::any_of(versions.begin(), versions.end(),
                     [this](const auto& item) { return item.second < newest_wanted(item.first); });
}

std::uint64_t UpstreamPool::newest_wanted(std::string_view model) const {
  const auto found = wanted_.find(model);
  return found == wanted_.end() ? 0 : found->second.back().version;
}

// Whether requests must no longer begin on `version`.
bool UpstreamPool::is_outdated(std::uint64_t version, std::string_view model, Instant now) const {
  const auto found = wanted_.find(model);
  return found != wanted_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [&](const Wanted& wanted) {
           return version < wanted.version &&
                  now >= wanted.since + limits_.version_limit - kVersionMargin;
         });
}

std::optional<std::uint64_t> UpstreamPool::version_of(const Upstream& upstream,
                                                      std::string_view model) const {
  const auto found = upstream.entry.weight_versions.find(std::string(model));
  return found == upstream.entry.weight_versions.end() ? std::nullopt
                                                       : std::optional(found->second);
}

void UpstreamPool::reported_version(std::string_view id,
                                    std::string_view model,
                                    std::uint64_t version) {
  if (const auto found = upstreams_.find(id); found != upstreams_.end() && !model.empty()) {
    std::uint64_t& known = found->second.entry.weight_versions[std::string(model)];
    known = std::max(known, version);
  }
}

std::vector<UpstreamPool::Outdated> UpstreamPool::outdated(std::size_t& engines) const {
  std::vector<Outdated> result;
  engines = 0;
  for (const auto& [id, upstream] : upstreams_) {
    for (const auto& [model, version] : upstream.entry.weight_versions) {
      const std::uint64_t wanted = newest_wanted(model);
      if (wanted == 0) {
        continue;
      }
      ++engines;
      if (version < wanted && !upstream.entry.leaving) {
        result.push_back({.id = id,
                          .endpoint = upstream.entry.endpoint,
                          .model = model,
                          .current_version = version,
                          .wanted_version = wanted,
                          .load = upstream.load.running});
      }
    }
  }
  return result;
}

void UpstreamPool::note_rollouts(Instant now) {
  std::map<std::string, std::uint64_t, std::less<>> oldest;
  for (const auto& [id, upstream] : upstreams_) {
    for (const auto& [model, version] : upstream.entry.weight_versions) {
      const auto [known, added] = oldest.try_emplace(model, version);
      known->second = std::min(known->second, version);
    }
  }
  for (const auto& [model, version] : oldest) {
    Rollout& rollout = rollouts_[model];
    // Also while a newer version is named already: versions may follow each other faster than they
    // are in place everywhere, and parts of those before the oldest one in use fill the stores.
    const bool rose = rollout.oldest > 0 && version > rollout.oldest;
    const std::uint64_t wanted = newest_wanted(model);
    const bool newest = wanted > 0 && version >= wanted;
    if ((rose || newest) &&
        (version > rollout.complete || (rollout.outdated_now && version == rollout.complete))) {
      rollout.complete = version;
      rollout.complete_since = now;
    }
    rollout.oldest = version;
    rollout.outdated_now = version < rollout.complete;
  }
}

std::map<std::string, std::uint64_t> UpstreamPool::settled_versions(Instant now) const {
  std::map<std::string, std::uint64_t> settled;
  for (const auto& [model, rollout] : rollouts_) {
    if (rollout.complete > 0 && !rollout.outdated_now &&
        now >= rollout.complete_since + kSettleTime) {
      settled[model] = rollout.complete;
    }
  }
  return settled;
}

}  // namespace bluebellstep
