// Entry point of the gateway process.

#ifndef BLUEBELLSTEP_GATEWAY_GATEWAY_PROCESS_H_
#define BLUEBELLSTEP_GATEWAY_GATEWAY_PROCESS_H_

#include "settings/gateway_settings.h"
#include "settings/settings_file_watch.h"

namespace bluebellstep {

/** Runs a gateway until a signal stops it, and applies changes of the settings file meanwhile.
 * Returns the exit code, see `cli/exit_codes.h`. Throws if an address cannot be bound. */
int run_gateway(const GatewaySettings& settings, SettingsFileWatch file);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_GATEWAY_PROCESS_H_
