// Blocking client of the platform for operator commands.

#ifndef BLUEBELLSTEP_CLI_PLATFORM_OBJECT_CLIENT_H_
#define BLUEBELLSTEP_CLI_PLATFORM_OBJECT_CLIENT_H_

#include "cli/blocking_object_client.h"
#include "http/http_client.h"
#include "settings/common_settings.h"

namespace bluebellstep {

/** Returns a client whose calls block until the platform answers or the timeout in `settings`
 * expires. `client` must outlive it. The calls must not be made on the HTTP thread, which they
 * would block. */
BlockingObjectClient make_platform_object_client(HttpClient& client,
                                                 const PlatformSettings& settings);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CLI_PLATFORM_OBJECT_CLIENT_H_
