// Computes the changes between the replica and newer objects.

#include "gateway/object_replica.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/log_event.h"

namespace bluebellstep {

ObjectReplica::Changes ObjectReplica::replace(std::vector<platform::StoredObject> objects,
                                              const StoreRevision& revision) {
  Changes changes;
  if (revision < revision_) {
    return changes;
  }
  const bool is_new_era = revision.era != revision_.era;
  std::set<std::string, std::less<>> present;
  for (platform::StoredObject& object : objects) {
    present.insert(object.name);
    const auto known = objects_.find(object.name);
    if (known != objects_.end() && known->second.revision >= object.revision) {
      continue;
    }
    const bool is_change =
        !is_new_era || known == objects_.end() || known->second.content != object.content;
    if (is_change) {
      changes.push_back({.object = object, .removed = false});
    }
    objects_[object.name] = std::move(object);
  }
  for (auto known = objects_.begin(); known != objects_.end();) {
    // An object with a higher revision was created after the list was read.
    if (present.contains(known->first) || known->second.revision > revision) {
      ++known;
      continue;
    }
    changes.push_back({.object = {.name = known->first, .revision = revision}, .removed = true});
    if (!is_new_era) {
      record_removal(known->first, revision);
    }
    known = objects_.erase(known);
  }
  if (is_new_era) {
    revision_before_era_ = revision_;
  }
  if (is_new_era || revision_.is_absent()) {
    removals_.clear();
    gaps_.clear();
    changes_known_from_ = revision;
  } else {
    record_gap({.from = revision_, .to = revision});
  }
  revision_ = revision;
  return changes;
}

ObjectReplica::Changes ObjectReplica::apply(platform::ObjectChanges changes,
                                            std::span<const RevisionGap> gaps) {
  Changes applied;
  const bool in_gap = std::any_of(gaps.begin(), gaps.end(), [this](const RevisionGap& gap) {
    return gap.surrounds(revision_);
  });
  if (changes.store_revision.era != revision_.era || in_gap) {
    return applied;
  }
  for (const RevisionGap& gap : gaps) {
    record_gap(gap);
  }
  for (platform::ObjectChange& change : changes.changes) {
    const auto known = objects_.find(change.object.name);
    const bool is_superseded =
        change.object.revision <= revision_ ||
        (known != objects_.end() && known->second.revision > change.object.revision);
    if (change.removed) {
      record_removal(change.object.name, change.object.revision);
      if (known != objects_.end() && !is_superseded) {
        objects_.erase(known);
        applied.push_back(std::move(change));
      }
      continue;
    }
    if (is_superseded ||
        (known != objects_.end() && known->second.revision == change.object.revision)) {
      if (known == objects_.end()) {
        LogEvent("late_change_ignored")
            .field("name", change.object.name)
            .field("revision", to_string(change.object.revision))
            .field("replica_revision", to_string(revision_));
      }
      continue;
    }
    objects_[change.object.name] = change.object;
    applied.push_back(std::move(change));
  }
  revision_ = std::max(revision_, changes.store_revision);
  return applied;
}

void ObjectReplica::record_gap(const RevisionGap& gap) {
  const bool is_known = std::find(gaps_.begin(), gaps_.end(), gap) != gaps_.end();
  if (gap.from.era != revision_.era || gap.from >= gap.to || is_known) {
    return;
  }
  gaps_.push_back(gap);
  if (gaps_.size() > kMaxGaps) {
    changes_known_from_ = std::max(changes_known_from_, gaps_.front().to);
    gaps_.pop_front();
  }
}

void ObjectReplica::record_removal(std::string name, const StoreRevision& revision) {
  removals_.push_back({.name = std::move(name), .revision = revision});
  if (removals_.size() > kMaxRemovals) {
    changes_known_from_ = std::max(changes_known_from_, removals_.front().revision);
    removals_.pop_front();
  }
}

// Who knows the changes up to a revision within a gap may know of an object that this replica has
// never heard of, and that was removed before the end of the gap.
bool ObjectReplica::knows_changes_since(const StoreRevision& revision) const {
  const bool in_gap = std::any_of(gaps_.begin(), gaps_.end(),
                                  [&](const RevisionGap& gap) { return gap.surrounds(revision); });
  return revision >= changes_known_from_ && !in_gap;
}

bool ObjectReplica::has_changes_since(const StoreRevision& revision) const {
  if (!knows_changes_since(revision)) {
    return true;
  }
  const auto is_newer = [&revision](const platform::StoredObject& object) {
    return object.revision > revision;
  };
  return std::any_of(objects_.begin(), objects_.end(),
                     [&](const auto& entry) { return is_newer(entry.second); }) ||
         std::any_of(removals_.begin(), removals_.end(), is_newer);
}

std::optional<ObjectReplica::Changes> ObjectReplica::changes_since(
    const StoreRevision& revision) const {
  if (!knows_changes_since(revision)) {
    return std::nullopt;
  }
  Changes changes;
  for (const auto& [name, object] : objects_) {
    if (object.revision > revision) {
      changes.push_back({.object = object, .removed = false});
    }
  }
  for (const platform::StoredObject& removal : removals_) {
    if (removal.revision > revision) {
      changes.push_back({.object = removal, .removed = true});
    }
  }
  return changes;
}

std::vector<RevisionGap> ObjectReplica::gaps_since(const StoreRevision& revision) const {
  std::vector<RevisionGap> gaps;
  std::copy_if(gaps_.begin(), gaps_.end(), std::back_inserter(gaps),
               [&](const RevisionGap& gap) { return gap.to > revision; });
  return gaps;
}

}  // namespace bluebellstep
