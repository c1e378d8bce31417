// Settings of a sidecar.

#ifndef BLUEBELLSTEP_SETTINGS_SIDECAR_SETTINGS_H_
#define BLUEBELLSTEP_SETTINGS_SIDECAR_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "settings/common_settings.h"

namespace bluebellstep {

/** Kind of an upstream. */
enum class UpstreamKind : std::uint8_t {
  kEngine,   // Model engine.
  kService,  // Plain service.
};

/** Limits that a sidecar enforces on behalf of its upstream. */
struct SidecarLimits {
  std::uint32_t max_concurrency = 64;       // Concurrent requests on a warm upstream.
  std::uint32_t initial_concurrency = 2;    // Concurrent requests at the beginning of slow start.
  std::uint64_t kv_tokens = 0;              // Engines: KV cache capacity in accelerator memory.
  std::uint64_t prefill_tokens_per_s = 0;   // Engines: speed of computing prompt tokens.
  Duration order_retention = {86'400'000};  // Services: how long order claims are kept.
  std::uint64_t max_claims = 1'000'000;     // Services: maximum number of order claims kept.
};

/** Settings of a sidecar. `name` is the name of its upstream. Cache stores are configured in the
 * bundle. */
struct SidecarSettings : ProcessSettings {
  Endpoint upstream;
  UpstreamKind kind = UpstreamKind::kEngine;
  bool checks_fencing = false;  // Whether the engine refuses outdated fencing numbers.
  SidecarLimits limits;
};

/** Parses and checks settings. `file` is the file name for errors. Fails with `SettingsErrors`. */
boost::leaf::result<SidecarSettings> parse_sidecar_settings(std::string_view file,
                                                            std::string_view text);

/** Reads, parses and checks the settings file at `path`. Fails with `SettingsErrors`. */
boost::leaf::result<SidecarSettings> load_sidecar_settings(const std::string& path);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_SIDECAR_SETTINGS_H_
