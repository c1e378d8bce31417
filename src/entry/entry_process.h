// Runs an entry instance as a process.

#ifndef BLUEBELLSTEP_ENTRY_ENTRY_PROCESS_H_
#define BLUEBELLSTEP_ENTRY_ENTRY_PROCESS_H_

#include "settings/entry_settings.h"

namespace bluebellstep {

/** Runs an entry instance until it is stopped by a signal. Returns the exit code, see
 * `cli/exit_codes.h`. Prints the line `listening http=PORT rpc=PORT` on standard output once it
 * accepts requests. Throws if an address cannot be bound. */
int run_entry(const EntrySettings& settings);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_ENTRY_PROCESS_H_
