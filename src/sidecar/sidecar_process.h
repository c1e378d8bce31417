// Runs a sidecar as a process.

#ifndef BLUEBELLSTEP_SIDECAR_SIDECAR_PROCESS_H_
#define BLUEBELLSTEP_SIDECAR_SIDECAR_PROCESS_H_

#include "settings/sidecar_settings.h"

namespace bluebellstep {

/** Runs a sidecar until it is stopped by a signal. Returns the exit code, see `cli/exit_codes.h`.
 * Prints the line `listening http=PORT rpc=PORT` on standard output once it accepts requests.
 * Throws if an address cannot be bound, for example if another sidecar runs in the same slot. */
int run_sidecar(const SidecarSettings& settings);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_SIDECAR_PROCESS_H_
