// Reads the settings of a sidecar.

#include "settings/sidecar_settings.h"

#include <boost/leaf/error.hpp>

namespace bluebellstep {
namespace {

void read_limits(SettingsReader::Section& limits, UpstreamKind kind, SidecarLimits& out) {
  limits.read("max_concurrency", out.max_concurrency, Presence::kOptional, {1, 1'000'000});
  limits.read("initial_concurrency", out.initial_concurrency, Presence::kOptional, {1, 1'000'000});
  if (out.initial_concurrency > out.max_concurrency) {
    limits.add_error("initial_concurrency", "at most max_concurrency");
  }
  const bool is_engine = kind == UpstreamKind::kEngine;
  const Presence required_for_engines = is_engine ? Presence::kRequired : Presence::kOptional;
  limits.read("kv_tokens", out.kv_tokens, required_for_engines, {1, 1ull << 40});
  limits.read("prefill_tokens_per_s", out.prefill_tokens_per_s, required_for_engines,
              {1, 1ull << 40});
  limits.read("order_retention", out.order_retention, Presence::kOptional);
  limits.read("max_claims", out.max_claims, Presence::kOptional, {1, 1ull << 32});
}

}  // namespace

boost::leaf::result<SidecarSettings> parse_sidecar_settings(std::string_view file,
                                                            std::string_view text) {
  SettingsReader reader(file, text);
  SettingsReader::Section root = reader.root();
  SidecarSettings settings;
  read_process_settings(root, settings);
  if (auto upstream = root.section("upstream")) {
    upstream->read("endpoint", settings.upstream);
    upstream->read_choice<UpstreamKind>(
        "kind", settings.kind,
        {{"engine", UpstreamKind::kEngine}, {"service", UpstreamKind::kService}});
    upstream->read("checks_fencing", settings.checks_fencing, Presence::kOptional);
  }
  if (auto limits = root.section("limits")) {
    read_limits(*limits, settings.kind, settings.limits);
  }
  SettingsErrors errors = reader.finish();
  if (!errors.errors.empty()) {
    return boost::leaf::new_error(std::move(errors));
  }
  return settings;
}

boost::leaf::result<SidecarSettings> load_sidecar_settings(const std::string& path) {
  BOOST_LEAF_AUTO(text, read_settings_file(path));
  return parse_sidecar_settings(path, text);
}

}  // namespace bluebellstep
