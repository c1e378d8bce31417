// Parts of the settings that entry instances and sidecars share.

#ifndef BLUEBELLSTEP_SETTINGS_COMMON_SETTINGS_H_
#define BLUEBELLSTEP_SETTINGS_COMMON_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "http/http_types.h"
#include "settings/settings_reader.h"

namespace bluebellstep {

/** Operator names and their Ed25519 public keys: 32 bytes in base64. */
using OperatorKeys = std::map<std::string, std::string>;

/** Paths of the PEM files for mutual TLS between our processes. */
struct TlsFiles {
  std::string certificate;
  std::string private_key;
  std::string authority;  // Certificates that sign those of our processes.
};

/** Where the platform's object API is. */
struct PlatformSettings {
  Endpoint endpoint;
  Duration timeout = {2000};  // Bound on each call but a watch.
};

/** Settings that every process has. */
struct ProcessSettings {
  std::string name;  // Unique in the system; a sidecar has the name of its upstream.
  std::string zone;
  std::string region;
  Endpoint http_listen;  // Also serves /metrics, /healthz, /readyz and /admin.
  Endpoint rpc_listen;
  PlatformSettings platform;
  std::optional<TlsFiles> tls;  // Without it, RPC runs over plain TCP.
  OperatorKeys operator_keys;
  Duration stop_limit = {120'000};  // Longest wait for open streams on shutdown.
  Duration heartbeat_interval = {500};
  Duration silence_limit = {1500};  // An RPC connection is closed after this silence.
  std::uint64_t max_body_bytes = 8u << 20;
};

/** Reads the members of `ProcessSettings` from the top of a document. */
void read_process_settings(SettingsReader::Section& root, ProcessSettings& settings);

/** Reads a whole file. Fails with `SettingsErrors` if it cannot be read or is above 16 MB. */
boost::leaf::result<std::string> read_settings_file(const std::string& path);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_COMMON_SETTINGS_H_
