// When a refused caller should come back.
//
// Load pattern: a gateway without configuration, or a service without upstreams, refuses many
// callers within a second. With the same time for all they come back as one burst.

#ifndef BLUEBELLSTEP_GATEWAY_RETRY_AFTER_H_
#define BLUEBELLSTEP_GATEWAY_RETRY_AFTER_H_

#include <optional>
#include <string_view>

#include "base/clock.h"

namespace bluebellstep {

/** Between `least` and one and a half times as long, by the request. Callers honour at most a third
 * of what they have left, so that it is no longer than that. */
Duration retry_after(Duration least,
                     std::optional<Duration> time_left,
                     std::string_view request_id);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_RETRY_AFTER_H_
