// Settings of a sidecar.

#ifndef BLUEBELLSTEP_SETTINGS_SIDECAR_SETTINGS_H_
#define BLUEBELLSTEP_SETTINGS_SIDECAR_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "settings/common_settings.h"

namespace bluebellstep {

/** What kind of back end an upstream is. */
enum class UpstreamKind : std::uint8_t {
  kEngine,   // A model engine.
  kService,  // A plain service.
};

/** Limits of what a sidecar lets its upstream do. */
struct SidecarLimits {
  std::uint32_t max_concurrency = 64;       // Requests at once on a warm upstream.
  std::uint32_t initial_concurrency = 2;    // Requests at once on a fresh one.
  std::uint64_t kv_tokens = 0;              // Engines: accelerator memory for the KV cache.
  std::uint64_t prefill_tokens_per_s = 0;   // Engines: rate of recomputing a prompt.
  Duration order_retention = {86'400'000};  // Services: order claims are kept this long.
  std::uint64_t max_claims = 1'000'000;     // Services: order claims kept at once.
};

/** Settings of a sidecar; `name` is that of its upstream. Cache stores are in the bundle. */
struct SidecarSettings : ProcessSettings {
  Endpoint upstream;
  UpstreamKind kind = UpstreamKind::kEngine;
  bool checks_fencing = false;  // Whether the engine refuses commands with old fencing numbers.
  SidecarLimits limits;
};

/** Reads and checks settings; `file` is the name to use in errors. Fails with `SettingsErrors`. */
boost::leaf::result<SidecarSettings> parse_sidecar_settings(std::string_view file,
                                                            std::string_view text);

/** Reads and checks a settings file. Fails with `SettingsErrors`. */
boost::leaf::result<SidecarSettings> load_sidecar_settings(const std::string& path);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_SIDECAR_SETTINGS_H_
