// Exit codes of the program. Scripts depend on them, so their values must not change.

#ifndef BLUEBELLSTEP_CLI_EXIT_CODES_H_
#define BLUEBELLSTEP_CLI_EXIT_CODES_H_

namespace bluebellstep {

/** Exit code of the program `bluebellstep`. */
enum class ExitCode : int {
  kSuccess = 0,
  kFailed = 1,               // Failed or refused for any reason not listed below.
  kBadInput = 2,             // Wrong options, settings, bundle, key or signature.
  kForcedStop = 3,           // A second signal ended a process that was shutting down.
  kRequestsAborted = 4,      // A process stopped while requests were still open.
  kConflict = 5,             // Someone else made a concurrent change; both versions were printed.
  kPlatformUnavailable = 6,  // No answer from the platform; a change may have taken effect.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CLI_EXIT_CODES_H_
