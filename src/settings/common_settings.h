// Settings that entry instances, sidecars and operator commands share. Each member has the name of
// its key in the settings file.

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

/** Ed25519 public keys (32 bytes in base64) by operator name. */
using OperatorKeys = std::map<std::string, std::string>;

/** Paths of the PEM files for mutual TLS between the processes of the system. */
struct TlsFiles {
  std::string certificate;
  std::string private_key;
  std::string authority;  // CA certificate that the certificates of all processes are signed by.
};

/** How to reach the platform's object API. */
struct PlatformSettings {
  Endpoint endpoint;
  Duration timeout = {2000};  // Timeout of each call other than a watch.
};

/** Settings of both entry instances and sidecars. */
struct ProcessSettings {
  std::string name;  // Unique in the system; a sidecar has the name of its upstream.
  std::string zone;
  std::string region;
  Endpoint http_listen;  // Also serves /metrics, /healthz, /readyz and /admin.
  Endpoint rpc_listen;
  PlatformSettings platform;
  std::optional<TlsFiles> tls;  // If absent, RPC runs over plain TCP.
  OperatorKeys operator_keys;
  Duration stop_limit = {120'000};  // Requests in progress are aborted this long after SIGTERM.
  Duration heartbeat_interval = {500};
  // Timeout for the response to a heartbeat; then the RPC connection is closed. The accepting end
  // closes it after 4 times this time without a heartbeat. At least twice `heartbeat_interval`.
  Duration silence_limit = {1500};
  std::uint64_t max_body_bytes = 8u << 20;  // Larger request bodies are refused.
};

/** Reads the members of `ProcessSettings` from the top level of a document. */
void read_process_settings(SettingsReader::Section& root, ProcessSettings& settings);

/** Reads the section `platform`. */
void read_platform_settings(SettingsReader::Section& root, PlatformSettings& settings);

/** Reads the section `operator_keys`, which must list at least two operators with distinct keys. */
void read_operator_keys(SettingsReader::Section& root, OperatorKeys& keys);

/** Returns the contents of a file. Fails with `SettingsErrors` if it cannot be read or is larger
 * than 16 MB. */
boost::leaf::result<std::string> read_settings_file(const std::string& path);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_COMMON_SETTINGS_H_
