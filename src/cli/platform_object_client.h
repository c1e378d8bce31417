// Blocking access to the platform for operator commands.

#ifndef BLUEBELLSTEP_CLI_PLATFORM_OBJECT_CLIENT_H_
#define BLUEBELLSTEP_CLI_PLATFORM_OBJECT_CLIENT_H_

#include "cli/blocking_object_client.h"
#include "http/http_client.h"
#include "settings/common_settings.h"

namespace bluebellstep {

/** Returns calls that block until the platform answered or the timeout is over. `client` must
 * outlive them; they must not be used on the HTTP thread. */
BlockingObjectClient make_platform_object_client(HttpClient& client,
                                                 const PlatformSettings& settings);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CLI_PLATFORM_OBJECT_CLIENT_H_
