// Reads the settings of a gateway.

#include "settings/gateway_settings.h"

#include <boost/leaf/error.hpp>
#include <tuple>

namespace bluebellstep {
namespace {

// Commands are sent until 700 ms before the end of a lease.
constexpr Duration kMinLeaseTerm{1000};
// The window is counted in ten parts.
constexpr Duration kMinRepeatWindow{100};
// Outcomes are reported four times a second and judged over half of the time.
constexpr Duration kMinRollbackTime{1000};

void read_bounds(SettingsReader::Section& section, GatewayBounds& bounds) {
  section.read("stop_limit", bounds.stop_limit, Presence::kOptional);
  section.read("lease_term", bounds.lease_term, Presence::kOptional);
  section.read("engines_check_fences", bounds.engines_check_fences, Presence::kOptional);
  section.read("version_limit", bounds.version_limit, Presence::kOptional);
  section.read("repeat_ratio", bounds.repeat_ratio, Presence::kOptional);
  section.read("repeat_extra", bounds.repeat_extra, Presence::kOptional);
  section.read("repeat_window", bounds.repeat_window, Presence::kOptional);
  section.read("cold_overage", bounds.cold_overage, Presence::kOptional);
  section.read("cold_slack", bounds.cold_slack, Presence::kOptional);
  section.read("registration_interval", bounds.registration_interval, Presence::kOptional);
  section.read("expose_share", bounds.expose_share, Presence::kOptional);
  section.read("expose_slack", bounds.expose_slack, Presence::kOptional);
  section.read("rollback_after", bounds.rollback_after, Presence::kOptional);
  if (bounds.lease_term < kMinLeaseTerm) {
    section.add_error("lease_term", "a duration of at least 1s");
  }
  if (bounds.repeat_window < kMinRepeatWindow) {
    section.add_error("repeat_window", "a duration of at least 100ms");
  }
  if (bounds.registration_interval <= Duration{0}) {
    section.add_error("registration_interval", "a duration above 0ms");
  }
  if (bounds.rollback_after < kMinRollbackTime) {
    section.add_error("rollback_after", "a duration of at least 1s");
  }
  if (bounds.expose_share > 1) {
    section.add_error("expose_share", "a number of at most 1");
  }
  const auto check_not_negative = [&](std::string_view key, double value) {
    if (value < 0) {
      section.add_error(key, "a number of at least 0");
    }
  };
  check_not_negative("repeat_ratio", bounds.repeat_ratio);
  check_not_negative("repeat_extra", bounds.repeat_extra);
  check_not_negative("cold_overage", bounds.cold_overage);
  check_not_negative("cold_slack", bounds.cold_slack);
  check_not_negative("expose_share", bounds.expose_share);
  check_not_negative("expose_slack", bounds.expose_slack);
}

}  // namespace

boost::leaf::result<GatewaySettings> parse_gateway_settings(std::string_view file,
                                                            std::string_view text) {
  SettingsReader reader(file, text);
  SettingsReader::Section root = reader.root();
  GatewaySettings settings;
  root.read("name", settings.name);
  root.read("zone", settings.zone);
  root.read("callers", settings.callers);
  root.read("ready", settings.ready);
  root.read("peers", settings.peers);
  root.read("metrics", settings.metrics);
  root.read("store", settings.store);
  root.read("first_peers", settings.first_peers, Presence::kOptional);
  root.read("link_mbps", settings.link_mbps, Presence::kOptional);
  root.read("memory_mb", settings.memory_mb, Presence::kOptional);
  root.read("caller_memory_share", settings.caller_memory_share, Presence::kOptional);
  root.read("caller_connections", settings.caller_connections, Presence::kOptional);
  root.read("caller_min_bytes_per_s", settings.caller_min_bytes_per_s, Presence::kOptional);
  root.read("load_shedding", settings.load_shedding, Presence::kOptional);
  if (settings.caller_memory_share <= 0 || settings.caller_memory_share > 1) {
    root.add_error("caller_memory_share", "a number above 0 and at most 1");
  }
  if (settings.caller_min_bytes_per_s == 0) {
    root.add_error("caller_min_bytes_per_s", "a number above 0");
  }
  if (auto bounds = root.section("bounds", Presence::kOptional)) {
    read_bounds(*bounds, settings.bounds);
  }
  SettingsErrors errors = reader.finish();
  if (!errors.errors.empty()) {
    return boost::leaf::new_error(std::move(errors));
  }
  return settings;
}

bool needs_restart(const GatewaySettings& current, const GatewaySettings& next) {
  const auto settings_needing_restart = [](const GatewaySettings& settings) {
    const GatewayBounds& bounds = settings.bounds;
    return std::tie(settings.name, settings.zone, settings.callers, settings.ready, settings.peers,
                    settings.metrics, settings.store, settings.link_mbps, settings.memory_mb,
                    settings.caller_memory_share, settings.caller_connections,
                    settings.caller_min_bytes_per_s, settings.load_shedding, bounds.stop_limit,
                    bounds.lease_term, bounds.engines_check_fences, bounds.expose_share,
                    bounds.expose_slack, bounds.rollback_after);
  };
  return settings_needing_restart(current) != settings_needing_restart(next);
}

boost::leaf::result<GatewaySettings> load_gateway_settings(const std::string& path) {
  BOOST_LEAF_AUTO(text, read_settings_file(path));
  return parse_gateway_settings(path, text);
}

}  // namespace bluebellstep
