// Settings of a gateway.

#ifndef BLUEBELLSTEP_SETTINGS_GATEWAY_SETTINGS_H_
#define BLUEBELLSTEP_SETTINGS_GATEWAY_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "settings/common_settings.h"

namespace bluebellstep {

/** Bounds that all gateways keep together, and times that the platform grants. */
struct GatewayBounds {
  Duration stop_limit{8000};          // The process is killed this long after SIGTERM.
  Duration lease_term{3000};          // Two holders of a lease act at least this far apart.
  bool engines_check_fences = false;  // Engines refuse commands with a lower fencing number.
  Duration version_limit{10'000};     // No request begins on older weights after this time.
  double repeat_ratio = 0.2;          // Repeated sends to a service for each request,
  double repeat_extra = 50;           // plus this many,
  Duration repeat_window{10'000};     // in each such window.
  double cold_overage = 1.5;          // A cold upstream may get this multiple of what it bears,
  double cold_slack = 5;              // plus this many requests a second.

  bool operator==(const GatewayBounds&) const = default;
};

/** Settings of a gateway. */
struct GatewaySettings {
  std::string name;  // Unique in the system.
  std::string zone;
  Endpoint callers;  // Requests.
  Endpoint ready;    // The balancer's question.
  Endpoint peers;    // Other gateways.
  Endpoint metrics;
  Endpoint store;                     // The platform's metadata store.
  std::vector<Endpoint> first_peers;  // Some gateways, which may be down.
  double link_mbps = 0;               // Of the instance's own link; 0 if not known.
  GatewayBounds bounds;
};

/** Whether changed settings ask for more than a running gateway can take over: it takes the first
 * peers and the bounds on versions, repeats and cold upstreams. */
bool needs_restart(const GatewaySettings& current, const GatewaySettings& next);

/** Reads and checks settings; `file` is the name to use in errors. Fails with `SettingsErrors`. */
boost::leaf::result<GatewaySettings> parse_gateway_settings(std::string_view file,
                                                            std::string_view text);

/** Reads and checks a settings file. Fails with `SettingsErrors`. */
boost::leaf::result<GatewaySettings> load_gateway_settings(const std::string& path);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_GATEWAY_SETTINGS_H_
