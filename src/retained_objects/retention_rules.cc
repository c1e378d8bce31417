// One rule for each kind of object.

#include "retained_objects/retention_rules.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <variant>

#include "base/json_text.h"

namespace bluebellstep {
namespace {

using platform::ObjectKind;
using platform::StoredObject;

// Returns nothing if there is no object or it names no usable upstream.
std::optional<UpstreamRegistration> decode_upstream(const StoredObject* object) {
  if (object == nullptr) {
    return std::nullopt;
  }
  auto decoded = platform::decode_upstream(object->name, object->content);
  auto* registration = std::get_if<UpstreamRegistration>(&decoded);
  return registration == nullptr ? std::nullopt : std::optional(std::move(*registration));
}

// Whether two registrations of one start differ in a way that makes the second one the older.
bool is_older(const UpstreamRegistration& known, const UpstreamRegistration& restored) {
  const auto has_lower_version = [&](const auto& known_weights) {
    const auto found = restored.weight_versions.find(known_weights.first);
    return found == restored.weight_versions.end() || found->second < known_weights.second;
  };
  return known.software_version != restored.software_version ||
         std::any_of(known.weight_versions.begin(), known.weight_versions.end(), has_lower_version);
}

std::optional<Retention> retention_of_upstream(const StoredObject* known_object,
                                               const StoredObject* restored_object) {
  const auto known = decode_upstream(known_object);
  const bool was_usable = known && !known->leaving;
  if (restored_object == nullptr) {
    return was_usable ? std::optional(Retention{.reason = RetentionReason::kMissing,
                                                .bound = kMissingUpstreamRetention})
                      : std::nullopt;
  }
  const auto restored = decode_upstream(restored_object);
  if (!restored || restored->leaving) {
    return std::nullopt;  // Not used in any case.
  }
  if (!known) {
    return Retention{.reason = RetentionReason::kRemoved, .bound = kLeavingRetention};
  }
  if (restored->started_ms > known->started_ms) {
    return std::nullopt;  // It has started again since.
  }
  if (known->leaving) {
    return Retention{.reason = RetentionReason::kLeaving, .bound = kLeavingRetention};
  }
  if (restored->started_ms < known->started_ms || is_older(*known, *restored)) {
    return Retention{.reason = RetentionReason::kOlder, .bound = kProcessRetention};
  }
  return std::nullopt;
}

// Returns the number in the member `version` of the content; 0 if there is none.
std::uint64_t version_of(const StoredObject& object) {
  const auto members = json_members(object.content);
  if (!members) {
    return 0;
  }
  try {
    return read_json_count(parse_json(find_json_member(*members, "version")));
  } catch (const nlohmann::json::exception&) {
    return 0;
  }
}

std::optional<Retention> retention_of_version(const StoredObject& known,
                                              const StoredObject* restored,
                                              Duration bound) {
  if (restored == nullptr) {
    return Retention{.reason = RetentionReason::kMissing, .bound = bound};
  }
  return version_of(*restored) < version_of(known)
             ? std::optional(Retention{.reason = RetentionReason::kOlder, .bound = bound})
             : std::nullopt;
}

}  // namespace

std::string_view to_string(RetentionReason reason) {
  switch (reason) {
    case RetentionReason::kLeaving:
      return "leaving";
    case RetentionReason::kRemoved:
      return "removed";
    case RetentionReason::kMissing:
      return "missing";
    case RetentionReason::kOlder:
      return "older";
  }
  return {};
}

std::optional<Retention> retention_of(ObjectKind kind,
                                      const StoredObject* known,
                                      const StoredObject* restored) {
  if (kind == ObjectKind::kUpstreams) {
    return retention_of_upstream(known, restored);
  }
  if (known == nullptr) {
    return std::nullopt;
  }
  switch (kind) {
    case ObjectKind::kConfiguration:
      return retention_of_version(*known, restored, kOperatorRetention);
    case ObjectKind::kTargetWeights:
      return retention_of_version(*known, restored, kProcessRetention);
    case ObjectKind::kZonesOutOfService:
      return restored == nullptr ? std::optional(Retention{.reason = RetentionReason::kMissing,
                                                           .bound = kOperatorRetention})
                                 : std::nullopt;
    case ObjectKind::kGateways:
      return Retention{
          .reason = restored == nullptr ? RetentionReason::kMissing : RetentionReason::kOlder,
          .bound = kProcessRetention};
    default:
      return std::nullopt;
  }
}

}  // namespace bluebellstep
