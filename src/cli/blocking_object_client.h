// Blocking access to platform objects for operator commands, and the write that settles lost
// answers.

#ifndef BLUEBELLSTEP_CLI_BLOCKING_OBJECT_CLIENT_H_
#define BLUEBELLSTEP_CLI_BLOCKING_OBJECT_CLIENT_H_

#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "platform/platform_client.h"

namespace bluebellstep {

/** Calls of the object API that return when the answer is there. */
struct BlockingObjectClient {
  std::function<PlatformClient::ReadResult(std::string_view key)> read;
  std::function<PlatformClient::ListResult(std::string_view prefix)> list;
  std::function<
      PlatformClient::WriteResult(std::string_view key, ObjectVersion expected, std::string value)>
      write;
};

/** The object holds the value that was written. */
struct WriteConfirmed {
  /** Version of the object after the write. */
  ObjectVersion version;

  /** Whether this was learned by reading back after a lost answer. */
  bool confirmed_by_read = false;
};

/** Result of `write_and_confirm`. After `PlatformUnavailable` the write may have taken effect. */
using WriteOutcome = std::variant<WriteConfirmed, VersionConflict, PlatformUnavailable>;

/**
 * Writes `value` if the object still has version `expected`. When the answer is lost, reads the
 * object back and compares digests; if the write did not take effect it is repeated, which is safe
 * because it is conditional.
 */
WriteOutcome write_and_confirm(const BlockingObjectClient& objects,
                               std::string_view key,
                               ObjectVersion expected,
                               const std::string& value);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CLI_BLOCKING_OBJECT_CLIENT_H_
