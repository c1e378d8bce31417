// States of a supervised connection: waiting for a retry, opening, open.

#include "streams/link_watchdog.h"

#include <algorithm>

#include "base/overloaded.h"

namespace bluebellstep {

LinkWatchdog::LinkWatchdog(const LinkTimes& times, std::uint64_t seed, Instant now)
    : times_(times), random_(seed), state_(Waiting{now}) {}

LinkStep LinkWatchdog::step(Instant now) {
  return std::visit(Overloaded{[&](Waiting waiting) -> LinkStep {
                                 if (now < waiting.retry_at) {
                                   return WaitUntil{waiting.retry_at};
                                 }
                                 state_ = Opening{now};
                                 return OpenLink{};
                               },
                               [&](Opening opening) -> LinkStep {
                                 const Instant limit = opening.since + times_.silence;
                                 if (now < limit) {
                                   return WaitUntil{limit};
                                 }
                                 failed(now);
                                 return CloseLink{};
                               },
                               [&](Open open) -> LinkStep {
                                 const Instant limit = open.last_received + times_.silence;
                                 if (now >= limit) {
                                   failed(now);
                                   return CloseLink{};
                                 }
                                 if (now >= open.next_heartbeat) {
                                   std::get<Open>(state_).next_heartbeat = now + times_.heartbeat;
                                   return SendHeartbeat{};
                                 }
                                 return WaitUntil{std::min(limit, open.next_heartbeat)};
                               }},
                    state_);
}

void LinkWatchdog::opened(Instant now) {
  if (std::holds_alternative<Opening>(state_)) {
    state_ = Open{now, now};
  }
}

void LinkWatchdog::received(Instant now) {
  if (auto* const open = std::get_if<Open>(&state_)) {
    open->last_received = std::max(open->last_received, now);
    failures_ = 0;
  }
}

void LinkWatchdog::failed(Instant now) {
  if (!std::holds_alternative<Waiting>(state_)) {
    state_ = Waiting{now + next_retry_delay()};
  }
}

// Half of the delay is random, so that the peers of a failed process do not return all at once.
Duration LinkWatchdog::next_retry_delay() {
  const int doublings = std::min(failures_++, 20);
  const std::int64_t longest =
      std::min(times_.longest_retry.ms, times_.first_retry.ms << doublings);
  const std::int64_t half = longest / 2;
  return {longest - half +
          static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(half) + 1))};
}

}  // namespace bluebellstep
