// Compares the objects of a restored store with what was known before.

#include "retained_objects/retained_objects.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"

namespace bluebellstep {
namespace {

// Returns the object of the replica; null if it is missing.
const platform::StoredObject* find_object(const RetainedObjects::Objects& objects,
                                          std::string_view name) {
  const auto found = objects.find(name);
  return found == objects.end() ? nullptr : &found->second;
}

// The revision by which a store of the replica's era tells of an object.
StoreRevision revision_in(const ObjectReplica& replica, std::string_view name) {
  const platform::StoredObject* object = find_object(replica.objects(), name);
  return object == nullptr ? StoreRevision{.number = 0, .era = replica.revision().era}
                           : object->revision;
}

// The change that makes an object as it is in the replica.
platform::ObjectChange change_to(const ObjectReplica& replica, const std::string& name) {
  const platform::StoredObject* object = find_object(replica.objects(), name);
  return object == nullptr
             ? platform::ObjectChange{.object = {.name = name, .revision = replica.revision()},
                                      .removed = true}
             : platform::ObjectChange{.object = *object, .removed = false};
}

}  // namespace

RetainedObjects::Changes RetainedObjects::apply(Changes changes,
                                                bool restored,
                                                const ObjectReplica& replica,
                                                Instant now) {
  if (restored) {
    changes = apply_restored(replica, now);
  } else {
    for (const platform::ObjectChange& change : changes) {
      end_belief(change.object.name, "written_again");
      take(change, now);
    }
  }
  adopt_offered(replica, now, changes);
  return changes;
}

RetainedObjects::Changes RetainedObjects::apply_restored(const ObjectReplica& replica,
                                                         Instant now) {
  Changes changes;
  elapsed_.clear();
  const std::uint64_t copied_up_to = newest_copied_number(replica);
  for (const auto& [name, object] : replica.objects()) {
    if (settle_restored(name, &object, replica, now)) {
      changes.push_back({.object = object, .removed = false});
    }
  }
  for (const auto& [name, object] : objects_) {
    if (replica.objects().contains(name)) {
      continue;
    }
    // Other kinds keep an object that may be missing: an entry that is written again may have got
    // the number that it had.
    const bool is_removed_since = kind_ == platform::ObjectKind::kUpstreams &&
                                  object.revision.era == replica.revision_before_era().era &&
                                  object.revision.number <= copied_up_to;
    if (is_removed_since) {
      end_belief(name, "removed");
    }
    if (is_removed_since || settle_restored(name, nullptr, replica, now)) {
      changes.push_back(change_to(replica, name));
    }
  }
  for (const platform::ObjectChange& change : changes) {
    take(change, now);
  }
  // An object that was known as removed is now missing from the store as well.
  std::erase_if(held_, [&](const auto& entry) {
    return !objects_.contains(entry.first) && !replica.objects().contains(entry.first);
  });
  return changes;
}

std::uint64_t RetainedObjects::newest_copied_number(const ObjectReplica& replica) const {
  std::uint64_t newest = 0;
  for (const auto& [name, known] : objects_) {
    const platform::StoredObject* restored = find_object(replica.objects(), name);
    const bool is_copied =
        restored != nullptr && known.revision.era == replica.revision_before_era().era &&
        restored->revision.number == known.revision.number && restored->content == known.content;
    newest = std::max(newest, is_copied ? known.revision.number : 0);
  }
  return newest;
}

bool RetainedObjects::settle_restored(const std::string& name,
                                      const platform::StoredObject* restored,
                                      const ObjectReplica& replica,
                                      Instant now) {
  const auto held = held_.find(name);
  const auto known = objects_.find(name);
  const bool is_known = known != objects_.end();
  if (is_known && restored != nullptr && known->second.content == restored->content) {
    known->second.revision = restored->revision;
    end_belief(name, "as_known");
    return false;
  }
  // An object that was removed did not exist any more at the last revision before the restore.
  std::uint64_t last_number =
      is_known ? known->second.revision.number : replica.revision_before_era().number;
  if (held != held_.end() && held->second.contradicted_by.number > 0) {
    // While the store contradicts what is known, later writes have higher numbers than its object.
    last_number = held->second.contradicted_by.number;
  }
  // One of which nothing is known is most likely new: numbers of the lost history are given out
  // again at once.
  const bool is_new = !is_known && held == held_.end() && !removed_.contains(name);
  const bool is_later = is_new || (restored != nullptr && restored->revision.number > last_number);
  const auto retention =
      is_later ? std::nullopt : retention_of(kind_, is_known ? &known->second : nullptr, restored);
  if (!retention) {
    end_belief(name, "written_again");
    return true;
  }
  const StoreRevision contradicted_by = revision_in(replica, name);
  if (held != held_.end()) {
    held->second = {.reason = retention->reason,
                    .contradicted_by = contradicted_by,
                    .until = std::min(held->second.until, now + retention->bound)};
  } else {
    hold(name,
         {.reason = retention->reason,
          .contradicted_by = contradicted_by,
          .until = now + retention->bound},
         "list", now);
  }
  return false;
}

void RetainedObjects::take(const platform::ObjectChange& change, Instant now) {
  const std::string& name = change.object.name;
  if (!change.removed) {
    objects_[name] = change.object;
    removed_.erase(name);
    return;
  }
  if (objects_.erase(name) > 0) {
    removed_[name] = now;
  }
}

RetainedObjects::Changes RetainedObjects::release(const ObjectReplica& replica, Instant now) {
  Changes changes;
  for (auto entry = held_.begin(); entry != held_.end();) {
    const auto held = entry++;
    if (now < held->second.until) {
      continue;
    }
    const std::string name = held->first;
    elapsed_[name] = held->second.contradicted_by;
    changes.push_back(change_to(replica, name));
    end_belief(name, "elapsed");
    take(changes.back(), now);
  }
  std::erase_if(removed_,
                [now](const auto& entry) { return now >= entry.second + kRemovalMemory; });
  adopt_offered(replica, now, changes);
  return changes;
}

RetainedObjects::Changes RetainedObjects::adopt(const Beliefs& beliefs,
                                                const ObjectReplica& replica,
                                                Instant now) {
  for (const RetainedBelief& belief : beliefs) {
    if (belief.left >= kMinAdoptedTime) {
      offered_[belief.name] = {.belief = belief,
                               .until = now + std::min(belief.left, kLeavingRetention)};
    }
  }
  Changes changes;
  adopt_offered(replica, now, changes);
  return changes;
}

void RetainedObjects::adopt_offered(const ObjectReplica& replica, Instant now, Changes& changes) {
  for (auto entry = offered_.begin(); entry != offered_.end();) {
    const std::string name = entry->first;
    const RetainedBelief& belief = entry->second.belief;
    const auto elapsed = elapsed_.find(name);
    const bool is_past = now >= entry->second.until || retains(name) ||
                         (elapsed != elapsed_.end() && elapsed->second == belief.contradicted_by);
    if (is_past || replica.revision().era > belief.contradicted_by.era) {
      entry = offered_.erase(entry);
      continue;
    }
    if (replica.revision().is_absent() || revision_in(replica, name) != belief.contradicted_by) {
      ++entry;
      continue;
    }
    const bool is_removal = belief.reason == RetentionReason::kRemoved;
    const platform::StoredObject* known = find_object(objects_, name);
    // This gateway may know of a removal that the other one had not heard of.
    const bool is_news = is_removal ? known != nullptr
                                    : !removed_.contains(name) &&
                                          (known == nullptr || known->content != belief.content);
    if (is_news) {
      hold(name,
           {.reason = belief.reason,
            .contradicted_by = belief.contradicted_by,
            .until = entry->second.until},
           "peer", now);
      changes.push_back({.object = {.name = name,
                                    .revision = belief.contradicted_by,
                                    .content = is_removal ? std::string() : belief.content},
                         .removed = is_removal});
      take(changes.back(), now);
    }
    entry = offered_.erase(entry);
  }
}

RetainedObjects::Beliefs RetainedObjects::beliefs(Instant now) const {
  Beliefs beliefs;
  for (const auto& [name, held] : held_) {
    const platform::StoredObject* known = find_object(objects_, name);
    beliefs.push_back({.name = name,
                       .reason = held.reason,
                       .contradicted_by = held.contradicted_by,
                       .content = known == nullptr ? std::string() : known->content,
                       .left = held.until - now});
  }
  return beliefs;
}

void RetainedObjects::hold(const std::string& name,
                           const Held& held,
                           std::string_view source,
                           Instant now) {
  held_[name] = held;
  LogEvent("belief_retained", LogEvent::Severity::kWarning)
      .field("kind", kind_name_)
      .field("name", name)
      .field("why", to_string(held.reason))
      .field("source", source)
      .field("contradicted_by", to_string(held.contradicted_by))
      .field("era", held.contradicted_by.era)
      .field("until_ms", (held.until - now).ms);
}

void RetainedObjects::end_belief(std::string_view name, std::string_view why) {
  const auto held = held_.find(name);
  if (held == held_.end()) {
    return;
  }
  LogEvent("belief_released", LogEvent::Severity::kWarning)
      .field("kind", kind_name_)
      .field("name", name)
      .field("why", why);
  held_.erase(held);
}

}  // namespace bluebellstep
