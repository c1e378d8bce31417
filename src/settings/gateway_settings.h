// Settings of a gateway. Each member has the name of its key in the settings file.

#ifndef BLUEBELLSTEP_SETTINGS_GATEWAY_SETTINGS_H_
#define BLUEBELLSTEP_SETTINGS_GATEWAY_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "settings/common_settings.h"

namespace bluebellstep {

/** Limits that all gateways together must keep, and time limits that the platform sets. */
struct GatewayBounds {
  // The platform kills the process this long after SIGTERM.
  Duration stop_limit{8000};
  // Term of the roll-out lease. Unless engines check fencing numbers, commands of two successive
  // holders are at least this far apart.
  Duration lease_term{3000};
  // Whether engines refuse commands with a lower fencing number than an earlier command had.
  bool engines_check_fences = false;
  // After a new target weight version is set, requests may start on older versions for this time.
  Duration version_limit{10'000};
  // In each window of `repeat_window`, all gateways together may retry `repeat_ratio` times the
  // number of requests to a service, plus `repeat_extra`.
  double repeat_ratio = 0.2;
  double repeat_extra = 50;
  Duration repeat_window{10'000};
  // A cold upstream receives at most `cold_overage` times the request rate that it can sustain,
  // plus `cold_slack` requests per second.
  double cold_overage = 1.5;
  double cold_slack = 5;
  // Upstreams renew their registrations in the store at this interval; a registration expires after
  // three intervals without a renewal.
  Duration registration_interval{1200};
  // While a service is rolled out to another software version, the version receives at most
  // `expose_share` of the requests to the service, plus `expose_slack` requests. 0: the deployment
  // has no such roll-outs.
  double expose_share = 0;
  double expose_slack = 0;
  // A bad version receives no request later than this after its 50th bad answer.
  Duration rollback_after{5000};

  bool operator==(const GatewayBounds&) const = default;
};

/** Settings of a gateway. */
struct GatewaySettings {
  std::string name;  // Unique in the system.
  std::string zone;
  Endpoint callers;  // Listens here for requests of callers.
  Endpoint ready;    // Listens here for health checks of the load balancer.
  Endpoint peers;    // Listens here for queries of other gateways.
  Endpoint metrics;  // Listens here for metrics scrapes.
  Endpoint store;    // Endpoint of the platform's metadata store.
  // `peers` endpoints of some gateways, polled until the registrations of all gateways have been
  // received. They may be down.
  std::vector<Endpoint> first_peers;
  std::uint32_t memory_mb = 0;  // Memory of the instance in MB; 0 if unknown.
  double link_mbps = 0;         // Speed of the instance's network link in Mbit/s; 0 if unknown.
  // Part of `memory_mb` for all that callers make the gateway hold.
  double caller_memory_share = 0.375;
  std::uint32_t caller_connections = 0;  // Most connections of callers; 0: derived.
  // Callers that send a body or take a response more slowly are cut off.
  std::uint32_t caller_min_bytes_per_s = 1000;
  // Refuses what costs callers least while capacity is short; see `OverloadPolicy`.
  bool load_shedding = false;
  GatewayBounds bounds;
};

/** Returns whether a restart is needed to apply all differences between `current` and `next`. A
 * running gateway can apply `first_peers`, `version_limit`, `registration_interval` and the limits
 * on retries and cold upstreams. */
bool needs_restart(const GatewaySettings& current, const GatewaySettings& next);

/** Parses and checks settings. `file` is the file name for errors. Fails with `SettingsErrors`. */
boost::leaf::result<GatewaySettings> parse_gateway_settings(std::string_view file,
                                                            std::string_view text);

/** Reads, parses and checks the settings file at `path`. Fails with `SettingsErrors`. */
boost::leaf::result<GatewaySettings> load_gateway_settings(const std::string& path);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_GATEWAY_SETTINGS_H_
