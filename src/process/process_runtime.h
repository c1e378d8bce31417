// The two event-loop threads of a process and what both roles run on them.

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

/** Reads the TLS files of the settings. Throws `std::runtime_error` with the path of a file that
 * cannot be read. */
std::optional<TlsKeys> load_tls_keys(const ProcessSettings& settings);

/** Returns a number that no other start of any process has, in practice. */
std::uint64_t make_incarnation();

/** Threads and clients of a process. Members are destroyed in reverse order, the threads last. */
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
