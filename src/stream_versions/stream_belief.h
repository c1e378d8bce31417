// What a gateway knows of the software version at which a stream began.

#ifndef BLUEBELLSTEP_STREAM_VERSIONS_STREAM_BELIEF_H_
#define BLUEBELLSTEP_STREAM_VERSIONS_STREAM_BELIEF_H_

#include <string>
#include <string_view>
#include <variant>

namespace bluebellstep {

/** The stream began at this version, and may continue only there. */
struct KnownVersion {
  std::string version;

  bool operator==(const KnownVersion&) const = default;
};

/** Only the platform's store tells. */
struct AskStore {
  bool operator==(const AskStore&) const = default;
};

/** The version cannot be found out at present, so the stream must not continue anywhere. */
struct UnknownVersion {
  std::string_view reason;  // Outlives the value; for the log and the caller.

  bool operator==(const UnknownVersion&) const = default;
};

using StreamBelief = std::variant<KnownVersion, AskStore, UnknownVersion>;

/** What it takes to begin a stream at a version. */
enum class BeginRule {
  kFree,       // Nothing.
  kRecorded,   // A record that the store has acknowledged before the caller gets the first event.
  kForbidden,  // Another version has to be used.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAM_VERSIONS_STREAM_BELIEF_H_
