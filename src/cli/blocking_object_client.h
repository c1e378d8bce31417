// Blocking client of the platform's object API for operator commands, and a write that determines
// whether it took effect if its answer is lost.

#ifndef BLUEBELLSTEP_CLI_BLOCKING_OBJECT_CLIENT_H_
#define BLUEBELLSTEP_CLI_BLOCKING_OBJECT_CLIENT_H_

#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "platform/platform_client.h"

namespace bluebellstep {

/** Calls of the platform's object API. Each blocks until the answer arrives or the call fails. */
struct BlockingObjectClient {
  std::function<PlatformClient::ReadResult(std::string_view key)> read;
  std::function<PlatformClient::ListResult(std::string_view prefix)> list;
  std::function<
      PlatformClient::WriteResult(std::string_view key, StoreRevision expected, std::string value)>
      write;
};

/** The write took effect. */
struct WriteConfirmed {
  /** Version of the object after the write. */
  StoreRevision version;

  /** Whether the answer of at least one attempt was lost. */
  bool answer_was_lost = false;
};

/** Result of `write_and_confirm`. After `PlatformUnavailable` the write may have taken effect. */
using WriteOutcome = std::variant<WriteConfirmed, VersionConflict, PlatformUnavailable>;

/**
 * Writes `value` to the object `key` if its version is `expected`. If the answer is lost, reads the
 * object and compares digests to determine whether the write took effect. If it did not, retries
 * the write, which is safe because it is conditional.
 */
WriteOutcome write_and_confirm(const BlockingObjectClient& objects,
                               std::string_view key,
                               StoreRevision expected,
                               const std::string& value);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CLI_BLOCKING_OBJECT_CLIENT_H_
