// Copy of the objects of one kind, fed by lists, watches and peers.
//
// Whatever the source, an object never goes back to an earlier revision, and a snapshot is taken
// only if the store's revision in it is newer.

#ifndef BLUEBELLSTEP_GATEWAY_OBJECT_REPLICA_H_
#define BLUEBELLSTEP_GATEWAY_OBJECT_REPLICA_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "platform/object_format.h"

namespace bluebellstep {

class ObjectReplica {
 public:
  using Objects = std::map<std::string, platform::StoredObject, std::less<>>;
  using Changes = std::vector<platform::ObjectChange>;

  /** Takes a whole list as of `revision` and returns what changed. */
  Changes replace(std::vector<platform::StoredObject> objects, std::uint64_t revision);

  /** Takes the events of a watch and returns those that are new. */
  Changes apply(platform::ObjectChanges changes);

  /** The store's revision up to which all changes are known; 0 before the first list. */
  std::uint64_t revision() const { return revision_; }
  const Objects& objects() const { return objects_; }

 private:
  std::uint64_t revision_ = 0;
  Objects objects_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_OBJECT_REPLICA_H_
