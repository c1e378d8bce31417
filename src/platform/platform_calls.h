// Calls to the platform's object API as values, for state machines that say which call to make next
// and leave making it to their owner.

#ifndef BLUEBELLSTEP_PLATFORM_PLATFORM_CALLS_H_
#define BLUEBELLSTEP_PLATFORM_PLATFORM_CALLS_H_

#include <string>

#include "platform/platform_client.h"

namespace bluebellstep {

/** Call `PlatformClient::read` and hand the result back. */
struct PlatformRead {
  std::string key;
};

/** Call `PlatformClient::write` and hand the result back. */
struct PlatformWrite {
  std::string key;
  ObjectVersion expected;
  std::string value;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PLATFORM_PLATFORM_CALLS_H_
