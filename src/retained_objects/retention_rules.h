// Which changes of an object are not believed at once when they come with a restored store.
//
// A store that is restored from an older copy has lost the latest writes. Whoever wrote them writes
// them again, but until then the store tells of an older state. Acting on it would undo what was
// acknowledged: an upstream that leaves would get requests, a zone out of service would be used.
// docs/design/store-restores.md has the table of the rules.

#ifndef BLUEBELLSTEP_RETAINED_OBJECTS_RETENTION_RULES_H_
#define BLUEBELLSTEP_RETAINED_OBJECTS_RETENTION_RULES_H_

#include <optional>
#include <string_view>

#include "base/clock.h"
#include "platform/object_format.h"

namespace bluebellstep {

/** Why the known state of an object is retained. */
enum class RetentionReason {
  kLeaving,  // An upstream that leaves is ready in the restored store.
  kRemoved,  // An upstream that was removed is present in the restored store.
  kMissing,  // A known object is missing from the restored store.
  kOlder,    // A known object has an older content in the restored store.
};
std::string_view to_string(RetentionReason reason);

/** Why the known state of an object is retained, and for how long at most. */
struct Retention {
  RetentionReason reason{};
  Duration bound{0};

  bool operator==(const Retention&) const = default;
};

/** An upstream that leaves writes this again within two seconds if it still runs. If it has ended,
 * its entry expires, and its health tells before. */
inline constexpr Duration kLeavingRetention{30'000};
/** Upstreams that run are registered again within two seconds of a restore. One that is still
 * missing then is gone. */
inline constexpr Duration kMissingUpstreamRetention{2000};
/** Operators write again what was lost, which may take them some time. */
inline constexpr Duration kOperatorRetention{30'000};
/** All other objects are written again by processes. */
inline constexpr Duration kProcessRetention{10'000};

/** Decides whether the known state of an object is retained. It is assumed that the restored object
 * may be from before the known state.
 *
 * @param known     The object as last known; null if it did not exist.
 * @param restored  The object in the restored store; null if it is missing there.
 */
std::optional<Retention> retention_of(platform::ObjectKind kind,
                                      const platform::StoredObject* known,
                                      const platform::StoredObject* restored);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_RETAINED_OBJECTS_RETENTION_RULES_H_
