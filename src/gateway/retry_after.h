// Computes the Retry-After time of refused requests.
//
// A gateway without a configuration, or a service without upstreams, refuses many callers within a
// second. If all were given the same time, they would retry in one burst.

#ifndef BLUEBELLSTEP_GATEWAY_RETRY_AFTER_H_
#define BLUEBELLSTEP_GATEWAY_RETRY_AFTER_H_

#include <optional>
#include <string_view>

#include "base/clock.h"

namespace bluebellstep {

/** Returns a time from `min_delay` to 1.5 times `min_delay` that is always the same for one
 * `request_id`. If `time_left`, the time until the caller's deadline, is given, returns at most a
 * third of it, since callers do not wait longer than that before a retry. */
Duration jittered_retry_after(Duration min_delay,
                              std::optional<Duration> time_left,
                              std::string_view request_id);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_RETRY_AFTER_H_
