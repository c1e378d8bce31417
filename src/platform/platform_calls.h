// Calls to the platform's object API as values. State machines without I/O return them as their
// next step, and their owner makes the call.

#ifndef BLUEBELLSTEP_PLATFORM_PLATFORM_CALLS_H_
#define BLUEBELLSTEP_PLATFORM_PLATFORM_CALLS_H_

#include <string>

#include "platform/platform_client.h"

namespace bluebellstep {

/** The owner calls `PlatformClient::read` and passes the result to the state machine. */
struct PlatformRead {
  std::string key;
};

/** The owner calls `PlatformClient::write` and passes the result to the state machine. */
struct PlatformWrite {
  std::string key;
  StoreRevision expected;  // The write fails if the object has another version.
  std::string value;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PLATFORM_PLATFORM_CALLS_H_
