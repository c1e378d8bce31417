// An operator's order to move a service to another software version, and the durable decision on
// it.

#ifndef BLUEBELLSTEP_SERVICE_ROLLOUT_ROLLOUT_ORDER_H_
#define BLUEBELLSTEP_SERVICE_ROLLOUT_ROLLOUT_ORDER_H_

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "platform/store_revision.h"

namespace bluebellstep {

/** Names of software versions. */
using VersionNames = std::set<std::string, std::less<>>;

/** Identifies a roll-out order. Status writes and changes of the duration do not change it. */
struct RolloutId {
  std::uint64_t created = 0;  // Revision of the store at the creation of the order's object.
  std::string to;             // The new software version.

  auto operator<=>(const RolloutId&) const = default;
};

/** Progress of a roll-out, as written to the store. */
enum class RolloutState {
  kNone,      // Nothing was written yet.
  kRunning,   // The new version is on trial.
  kAccepted,  // All requests go to the new version; old servers may still work on earlier ones.
  kSucceeded,
  kRolledBack,
};

/** Whether a roll-out in this state has ended. Such a state never changes. */
constexpr bool is_terminal(RolloutState state) {
  return state == RolloutState::kSucceeded || state == RolloutState::kRolledBack;
}

/** Name of the state in the store and in log lines. */
constexpr std::string_view name_of(RolloutState state) {
  switch (state) {
    case RolloutState::kNone:
      return "none";
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kAccepted:
      return "accepted";
    case RolloutState::kSucceeded:
      return "succeeded";
    case RolloutState::kRolledBack:
      return "rolled_back";
  }
  return {};
}

/** A roll-out order as it is in the store. */
struct RolloutOrder {
  RolloutId id;
  Duration duration{0};  // From the order to the deadline.
  StoreRevision revision;
  RolloutState status = RolloutState::kNone;  // As written to the order for this version.

  bool operator==(const RolloutOrder&) const = default;
};

/** The decision on the last roll-out of a service, shared by all gateways through the store. Each
 * write is conditional on the revision, so that of two gateways that decide only one succeeds. */
struct RolloutDecision {
  RolloutId id;
  RolloutState state = RolloutState::kNone;
  // Versions of earlier roll-outs that were rolled back or replaced before they were accepted.
  VersionNames rejected_versions;
  StoreRevision revision;  // Absent if the object does not exist.

  bool operator==(const RolloutDecision&) const = default;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SERVICE_ROLLOUT_ROLLOUT_ORDER_H_
