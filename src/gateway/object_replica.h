// A gateway's local replica of the store's objects of one kind, fed by lists and watches of the
// store and by snapshots from peers.
//
// Updates may arrive late and out of order: a peer may tell of a change while the answer to an
// earlier watch is still on its way. Of two statements about an object, the one with the higher
// revision of the store holds. That needs no memory of removed objects, since the replica is
// complete up to its own revision: a change up to that revision which is not in the replica has
// been superseded. A snapshot older than the replica is ignored.
//
// A store that was restored from an older copy is in a later era, in which all revisions are
// higher. Only a complete list leads from one era to the next.

#ifndef BLUEBELLSTEP_GATEWAY_OBJECT_REPLICA_H_
#define BLUEBELLSTEP_GATEWAY_OBJECT_REPLICA_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "platform/object_format.h"

namespace bluebellstep {

/** Revisions whose changes were not heard one by one: a list at `to` followed what was known at
 * `from`. An object that was added and removed in between is in neither. */
struct RevisionGap {
  StoreRevision from;
  StoreRevision to;

  /** Whether a replica at `revision` may hold an object that was removed in the gap. */
  bool surrounds(const StoreRevision& revision) const { return from < revision && revision < to; }

  bool operator==(const RevisionGap&) const = default;
};

/** Holds the newest known revision of each object. */
class ObjectReplica {
 public:
  using Objects = std::map<std::string, platform::StoredObject, std::less<>>;
  using Changes = std::vector<platform::ObjectChange>;
  using Gaps = std::deque<RevisionGap>;

  /** Replaces all objects by a complete list as of the store's `revision`. Returns the changes;
   * none if the replica is newer than the list. An object that a later era holds unchanged is no
   * change. */
  Changes replace(std::vector<platform::StoredObject> objects, const StoreRevision& revision);

  /** Applies the changes that a watch returned, or that another replica passed on. Returns those
   * that were not known yet. The changes must be complete from a revision that this replica had to
   * `changes.store_revision`, except for `gaps`; they may arrive after later ones. Changes of
   * another era are ignored, and so are those with a gap around the revision of this replica: they
   * may lack the removal of an object that it holds. */
  Changes apply(platform::ObjectChanges changes, std::span<const RevisionGap> gaps = {});

  /** Whether `changes_since(revision)` would return changes or none for lack of history. */
  bool has_changes_since(const StoreRevision& revision) const;

  /** Returns the changes since `revision`; nothing if some of them may not be known. */
  std::optional<Changes> changes_since(const StoreRevision& revision) const;

  /** Returns the gaps that end after `revision`. */
  std::vector<RevisionGap> gaps_since(const StoreRevision& revision) const;

  /** The store's revision up to which all changes have been applied; absent before the first
   * list. */
  const StoreRevision& revision() const { return revision_; }
  /** The same just before the present era of the store; absent if no earlier era is known. */
  const StoreRevision& revision_before_era() const { return revision_before_era_; }
  /** The objects by name. */
  const Objects& objects() const { return objects_; }

 private:
  // Older removals and gaps are forgotten.
  static constexpr std::size_t kMaxRemovals = 1000;
  static constexpr std::size_t kMaxGaps = 16;

  void record_gap(const RevisionGap& gap);
  void record_removal(std::string name, const StoreRevision& revision);
  bool knows_changes_since(const StoreRevision& revision) const;

  // All changes up to this revision have been applied. Objects may have higher revisions, since the
  // pages of a list are read one after the other. All revisions below are of the same era.
  StoreRevision revision_;
  StoreRevision revision_before_era_;
  Objects objects_;
  std::deque<platform::StoredObject> removals_;  // Without content, by increasing revision.
  Gaps gaps_;
  StoreRevision changes_known_from_;  // All removals and gaps after this revision are known.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_OBJECT_REPLICA_H_
