// The objects of one kind as a gateway acts on them: those of its replica of the store, except
// where a restored store contradicts what was known before.
//
// A restored store may hold an object in an older state, lack it, or hold one that was removed.
// What was known is then retained until the object is written again, but not forever, since its
// writer may be gone; see `retention_of`. Numbers tell some cases apart: a replica knows all
// changes up to its revision, so a higher number than that of the known object can only be a later
// write. A lower or equal one may be a later write or an older state, and counts as the latter.
// Every change within an era is a later write.
//
// A gateway that has just started knows nothing from before the restore. Others tell it what they
// retain.

#ifndef BLUEBELLSTEP_RETAINED_OBJECTS_RETAINED_OBJECTS_H_
#define BLUEBELLSTEP_RETAINED_OBJECTS_RETAINED_OBJECTS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "gateway/object_replica.h"
#include "platform/object_format.h"
#include "retained_objects/retention_rules.h"

namespace bluebellstep {

/** What a gateway retains of an object, as it tells other gateways. */
struct RetainedBelief {
  std::string name;
  RetentionReason reason{};
  // The object in the restored store; number 0 if it is missing there.
  StoreRevision contradicted_by;
  // Without content if the reason is `kRemoved`.
  std::string content;
  Duration left{0};  // Until the belief ends.

  bool operator==(const RetainedBelief&) const = default;
};

/** Holds the objects of one kind as they count at present. Network-free. */
class RetainedObjects {
 public:
  using Objects = ObjectReplica::Objects;
  using Changes = ObjectReplica::Changes;
  using Beliefs = std::vector<RetainedBelief>;

  /** @param kind_name  For the log; must outlive this object. */
  RetainedObjects(platform::ObjectKind kind, std::string_view kind_name)
      : kind_(kind), kind_name_(kind_name) {}

  /** Takes in changes of the replica, which already contains them. Returns the changes to act on.
   *
   * @param restored  The replica has entered a later era of the store.
   */
  Changes apply(Changes changes, bool restored, const ObjectReplica& replica, Instant now);

  /** Ends the beliefs whose time has passed. Returns the changes to act on. */
  Changes release(const ObjectReplica& replica, Instant now);

  /** Takes in what another gateway retains. Returns the changes to act on. Beliefs on a state of
   * the store that this gateway has not received yet are kept until it has. */
  Changes adopt(const Beliefs& beliefs, const ObjectReplica& replica, Instant now);

  /** What is retained at present. */
  Beliefs beliefs(Instant now) const;

  /** The objects as they count at present, by name. */
  const Objects& objects() const { return objects_; }

  /** Whether what is known of an object contradicts the store. */
  bool retains(std::string_view name) const { return held_.find(name) != held_.end(); }

 private:
  // Longer than another gateway may expect a missing object.
  static constexpr Duration kRemovalMemory{60'000};
  // Beliefs that end sooner are not taken over from other gateways.
  static constexpr Duration kMinAdoptedTime{500};

  // The store contradicts what is known of an object.
  struct Held {
    RetentionReason reason{};
    StoreRevision contradicted_by;
    Instant until;
  };
  struct Offered {
    RetainedBelief belief;
    Instant until;
  };

  // Takes in all objects of a restored store.
  Changes apply_restored(const ObjectReplica& replica, Instant now);
  // Returns the highest number of an object that the copy held as it was known. The copy held all
  // objects up to that number, so that one that is missing was removed since.
  std::uint64_t newest_copied_number(const ObjectReplica& replica) const;
  // Takes one object of a restored store, or retains what is known of it. Returns whether it was
  // taken, so that it must be acted on.
  // @param restored  The object in the store; null if it is missing there.
  bool settle_restored(const std::string& name,
                       const platform::StoredObject* restored,
                       const ObjectReplica& replica,
                       Instant now);
  void take(const platform::ObjectChange& change, Instant now);
  void adopt_offered(const ObjectReplica& replica, Instant now, Changes& changes);
  void hold(const std::string& name, const Held& held, std::string_view source, Instant now);
  void end_belief(std::string_view name, std::string_view why);

  platform::ObjectKind kind_;
  std::string_view kind_name_;
  Objects objects_;
  std::map<std::string, Held, std::less<>> held_;
  // When objects were removed that have been missing since.
  std::map<std::string, Instant, std::less<>> removed_;
  std::map<std::string, Offered, std::less<>> offered_;  // By other gateways; not yet adopted.
  // Beliefs that have ended by time, which another gateway may still hold: the revision in the
  // store that they contradicted.
  std::map<std::string, StoreRevision, std::less<>> elapsed_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_RETAINED_OBJECTS_RETAINED_OBJECTS_H_
