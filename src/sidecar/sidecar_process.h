// The sidecar as a process.

#ifndef BLUEBELLSTEP_SIDECAR_SIDECAR_PROCESS_H_
#define BLUEBELLSTEP_SIDECAR_SIDECAR_PROCESS_H_

#include "settings/sidecar_settings.h"

namespace bluebellstep {

/** Runs a sidecar until it is stopped by a signal, and returns the exit code, see
 * `cli/exit_codes.h`. Prints a line `listening http=PORT rpc=PORT` on standard output when it
 * serves. Throws if an address cannot be bound: a second sidecar in the same slot fails here. */
int run_sidecar(const SidecarSettings& settings);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_SIDECAR_PROCESS_H_
