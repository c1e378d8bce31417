// Differences between two versions of a gateways' configuration, in words.

#ifndef BLUEBELLSTEP_CONFIG_CHECK_CONFIG_DIFFERENCE_H_
#define BLUEBELLSTEP_CONFIG_CHECK_CONFIG_DIFFERENCE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/serving_config.h"

namespace bluebellstep {

/** One difference between two configurations. */
struct ConfigDifference {
  enum class Change : std::uint8_t { kAdded, kRemoved, kChanged };

  Change change = Change::kChanged;
  std::string subject;   // For example "route checkout".
  std::string property;  // Of a change: for example "timeout"; empty otherwise.
  std::string from;      // Of a change.
  std::string to;

  /** Returns a line such as "route checkout: timeout changed from 800 ms to 900 ms". */
  std::string to_string() const;
  bool operator==(const ConfigDifference&) const = default;
};

/** Returns "added", "removed" or "changed". */
std::string_view to_string(ConfigDifference::Change change);

/** Returns what changes if `next` replaces `current`: routes, services, accounts, limits. API keys
 * are secrets, so of them only how many were added and removed is told. */
std::vector<ConfigDifference> compare_configs(const ServingConfig& current,
                                              const ServingConfig& next);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CONFIG_CHECK_CONFIG_DIFFERENCE_H_
