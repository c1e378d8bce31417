// Exit codes of the program. Scripts depend on them, so values never change.

#ifndef BLUEBELLSTEP_CLI_EXIT_CODES_H_
#define BLUEBELLSTEP_CLI_EXIT_CODES_H_

namespace bluebellstep {

/** Exit code of a run of `bluebellstep`. */
enum class ExitCode : int {
  kSuccess = 0,
  kFailed = 1,               // Failed or refused, for a reason without a code of its own.
  kBadInput = 2,             // Wrong options, settings, bundle, key or signature.
  kForcedStop = 3,           // A second signal ended a process that was shutting down.
  kRequestsAborted = 4,      // A process stopped with requests still open.
  kConflict = 5,             // Someone else made another change; both sides were printed.
  kPlatformUnavailable = 6,  // No answer from the platform; a change may have taken effect.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CLI_EXIT_CODES_H_
