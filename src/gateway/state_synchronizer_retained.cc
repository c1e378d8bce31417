// What a gateway retains after a restore of the store, and what it tells other gateways of it.

#include <algorithm>
#include <utility>

#include "gateway/state_synchronizer.h"

namespace bluebellstep {

using platform::ObjectKind;

const ObjectReplica::Objects& StateSynchronizer::objects(ObjectKind kind) const {
  const auto retained = retained_.find(kind);
  return retained == retained_.end() ? replica(kind).objects() : retained->second.objects();
}

void StateSynchronizer::release_retained() {
  for (auto& [kind, retained] : retained_) {
    const ObjectReplica::Changes changes = retained.release(replica(kind), clock_.now());
    if (!changes.empty()) {
      apply_object_changes(kind, changes, true);
    }
  }
}

std::vector<KindBeliefs> StateSynchronizer::beliefs() const {
  std::vector<KindBeliefs> kinds;
  for (const auto& [kind, retained] : retained_) {
    auto beliefs = retained.beliefs(clock_.now());
    if (!beliefs.empty()) {
      kinds.push_back({.kind = kind, .beliefs = std::move(beliefs)});
    }
  }
  return kinds;
}

// Answers to followers are frequent, so they leave out what a follower can do without: it has seen
// most of it itself.
std::vector<KindBeliefs> StateSynchronizer::beliefs_on_unused_upstreams() const {
  auto beliefs = retained_.at(ObjectKind::kUpstreams).beliefs(clock_.now());
  std::erase_if(beliefs, [](const RetainedBelief& belief) {
    return belief.reason != RetentionReason::kLeaving && belief.reason != RetentionReason::kRemoved;
  });
  return beliefs.empty() ? std::vector<KindBeliefs>()
                         : std::vector<KindBeliefs>{{ObjectKind::kUpstreams, std::move(beliefs)}};
}

void StateSynchronizer::adopt_beliefs(const std::vector<KindBeliefs>& kinds) {
  for (const auto& [kind, beliefs] : kinds) {
    const auto retained = retained_.find(kind);
    if (retained == retained_.end()) {
      continue;  // This version does not watch the kind.
    }
    const ObjectReplica::Changes changes =
        retained->second.adopt(beliefs, replica(kind), clock_.now());
    if (!changes.empty()) {
      apply_object_changes(kind, changes, true);
    }
  }
}

}  // namespace bluebellstep
