// Event-loop threads and clients that entry instances and sidecars have in common.

#ifndef BLUEBELLSTEP_PROCESS_PROCESS_RUNTIME_H_
#define BLUEBELLSTEP_PROCESS_PROCESS_RUNTIME_H_

#include <cstdint>
#include <optional>

#include "http/http_client.h"
#include "http/http_loop.h"
#include "platform/platform_client.h"
#include "rpc/rpc_loop.h"
#include "rpc/rpc_transport.h"
#include "settings/common_settings.h"

namespace bluebellstep {

/** Reads the TLS files named in the settings; returns nothing if TLS is not configured. Throws
 * `std::runtime_error` with the path if a file cannot be read. */
std::optional<TlsKeys> load_tls_keys(const ProcessSettings& settings);

/** Returns a random number that identifies this run of the process among all processes and their
 * restarts. Throws `std::runtime_error` if the random number generator fails. */
std::uint64_t make_incarnation();

/** Threads and clients of a process. The order of the members matters: they are destroyed in
 * reverse order. */
struct ProcessRuntime {
  explicit ProcessRuntime(const ProcessSettings& settings)
      : client(http_loop),
        platform(client, settings.platform.endpoint, settings.platform.timeout) {}

  HttpLoop http_loop;
  HttpClient client;
  PlatformClient platform;
  RpcLoop control_loop;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PROCESS_PROCESS_RUNTIME_H_
