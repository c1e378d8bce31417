// A gateway's local replica of the store's objects of one kind, fed by lists and watches of the
// store and by snapshots from peers.
//
// Updates may arrive late and out of order: a peer may tell of a change while the answer to an
// earlier watch is still on its way. Of two statements about an object, the one with the higher
// revision of the store holds. That needs no memory of removed objects, since the replica is
// complete up to its own revision: a change up to that revision which is not in the replica has
// been superseded. A snapshot older than the replica is ignored.

#ifndef BLUEBELLSTEP_GATEWAY_OBJECT_REPLICA_H_
#define BLUEBELLSTEP_GATEWAY_OBJECT_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/object_format.h"

namespace bluebellstep {

/** Holds the newest known revision of each object. */
class ObjectReplica {
 public:
  using Objects = std::map<std::string, platform::StoredObject, std::less<>>;
  using Changes = std::vector<platform::ObjectChange>;

  /** Replaces all objects by a complete list as of the store's `revision`. Returns the changes;
   * none if the replica is newer than the list. */
  Changes replace(std::vector<platform::StoredObject> objects, std::uint64_t revision);

  /** Applies the changes that a watch returned. Returns those that were not known yet. The changes
   * must be complete from a revision that this replica had to `changes.store_revision`; they may
   * arrive after later ones. */
  Changes apply(platform::ObjectChanges changes);

  /** Whether `changes_since(revision)` would return changes or none for lack of history. */
  bool has_changes_since(std::uint64_t revision) const;

  /** Returns the changes since `revision`; nothing if some of them may no longer be known. */
  std::optional<Changes> changes_since(std::uint64_t revision) const;

  /** The store's revision up to which all changes have been applied; 0 before the first list. */
  std::uint64_t revision() const { return revision_; }
  /** The objects by name. */
  const Objects& objects() const { return objects_; }

 private:
  // Older removals are forgotten.
  static constexpr std::size_t kMaxRemovals = 1000;

  void record_removal(std::string name, std::uint64_t revision);

  // All changes up to this revision have been applied. Objects may have higher revisions, since the
  // pages of a list are read one after the other.
  std::uint64_t revision_ = 0;
  Objects objects_;
  std::deque<platform::StoredObject> removals_;  // Without content, by increasing revision.
  std::uint64_t removals_known_from_ = 0;        // All removals after this revision are known.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_OBJECT_REPLICA_H_
