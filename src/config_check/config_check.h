// Check of a gateways' configuration before it is sent.
//
// A configuration is in force at all gateways within seconds. They refuse only what they cannot
// decode; a route that never matches, an account without keys or contradicting limits are found by
// callers. This check uses the decoder of the gateways and no network.

#ifndef BLUEBELLSTEP_CONFIG_CHECK_CONFIG_CHECK_H_
#define BLUEBELLSTEP_CONFIG_CHECK_CONFIG_CHECK_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "gateway/serving_config.h"

namespace bluebellstep {

/** Something in a configuration that its author should look at. */
struct ConfigFinding {
  std::string subject;     // A field, such as "routes[2].name", or for example "route checkout".
  std::size_t line = 0;    // From 1; 0 if the finding concerns no single place.
  std::size_t column = 0;  // In bytes, from 1.
  std::string problem;     // Continues `subject` to a sentence.

  /** Returns `line:column: subject problem`, without a position if there is none. */
  std::string to_string() const;
};

/** What the check of some limits needs to know of the deployment. A check is left out if its input
 * is not known. */
struct DeploymentFacts {
  std::optional<std::size_t> gateways;
  std::optional<Duration> stop_limit;  // As in `GatewayBounds`.
};

/** Result of `check_config`. */
struct ConfigReport {
  std::optional<ServingConfig> config;  // Nothing if the gateways cannot decode it.
  std::vector<ConfigFinding> findings;  // Not empty if `config` has no value.
};

/** Checks the content of the object that holds a configuration (JSON text). */
ConfigReport check_config(std::string_view content, const DeploymentFacts& facts);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CONFIG_CHECK_CONFIG_CHECK_H_
