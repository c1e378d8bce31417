// Computes the changes between the replica and newer objects.

#include "gateway/object_replica.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/log_event.h"

namespace bluebellstep {

ObjectReplica::Changes ObjectReplica::replace(std::vector<platform::StoredObject> objects,
                                              std::uint64_t revision) {
  Changes changes;
  if (revision < revision_) {
    return changes;
  }
  std::set<std::string, std::less<>> present;
  for (platform::StoredObject& object : objects) {
    present.insert(object.name);
    const auto known = objects_.find(object.name);
    if (known != objects_.end() && known->second.revision >= object.revision) {
      continue;
    }
    changes.push_back({.object = object, .removed = false});
    objects_[object.name] = std::move(object);
  }
  for (auto known = objects_.begin(); known != objects_.end();) {
    // An object with a higher revision was created after the list was read.
    if (present.contains(known->first) || known->second.revision > revision) {
      ++known;
      continue;
    }
    changes.push_back({.object = known->second, .removed = true});
    record_removal(known->first, revision);
    known = objects_.erase(known);
  }
  if (revision_ == 0) {
    removals_known_from_ = revision;
  }
  revision_ = revision;
  return changes;
}

ObjectReplica::Changes ObjectReplica::apply(platform::ObjectChanges changes) {
  Changes applied;
  for (platform::ObjectChange& change : changes.changes) {
    const auto known = objects_.find(change.object.name);
    if (change.removed) {
      record_removal(change.object.name, change.object.revision);
      if (known != objects_.end() && known->second.revision <= change.object.revision) {
        objects_.erase(known);
        applied.push_back(std::move(change));
      }
      continue;
    }
    const bool is_superseded =
        change.object.revision <= revision_ ||
        (known != objects_.end() && known->second.revision >= change.object.revision);
    if (is_superseded) {
      if (known == objects_.end()) {
        LogEvent("late_change_ignored")
            .field("name", change.object.name)
            .field("revision", change.object.revision)
            .field("replica_revision", revision_);
      }
      continue;
    }
    objects_[change.object.name] = change.object;
    applied.push_back(std::move(change));
  }
  revision_ = std::max(revision_, changes.store_revision);
  return applied;
}

void ObjectReplica::record_removal(std::string name, std::uint64_t revision) {
  removals_.push_back({.name = std::move(name), .revision = revision});
  if (removals_.size() > kMaxRemovals) {
    removals_known_from_ = std::max(removals_known_from_, removals_.front().revision);
    removals_.pop_front();
  }
}

bool ObjectReplica::has_changes_since(std::uint64_t revision) const {
  if (revision < removals_known_from_) {
    return true;
  }
  const auto is_newer = [revision](const platform::StoredObject& object) {
    return object.revision > revision;
  };
  return std::any_of(objects_.begin(), objects_.end(),
                     [&](const auto& entry) { return is_newer(entry.second); }) ||
         std::any_of(removals_.begin(), removals_.end(), is_newer);
}

std::optional<ObjectReplica::Changes> ObjectReplica::changes_since(std::uint64_t revision) const {
  if (revision < removals_known_from_) {
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

}  // namespace bluebellstep
