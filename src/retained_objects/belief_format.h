// The JSON by which gateways tell each other what they retain; see `RetainedObjects`.

#ifndef BLUEBELLSTEP_RETAINED_OBJECTS_BELIEF_FORMAT_H_
#define BLUEBELLSTEP_RETAINED_OBJECTS_BELIEF_FORMAT_H_

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "platform/object_format.h"
#include "retained_objects/retained_objects.h"

namespace bluebellstep {

/** What a gateway retains of the objects of one kind. */
struct KindBeliefs {
  platform::ObjectKind kind{};
  RetainedObjects::Beliefs beliefs;

  bool operator==(const KindBeliefs&) const = default;
};

/** Encodes beliefs as JSON, and decodes them. Throws `nlohmann::json::exception` for other JSON.
 * Beliefs with a reason that this version does not know are left out. */
nlohmann::json encode_beliefs(const std::vector<KindBeliefs>& kinds);
std::vector<KindBeliefs> decode_beliefs(const nlohmann::json& json);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_RETAINED_OBJECTS_BELIEF_FORMAT_H_
