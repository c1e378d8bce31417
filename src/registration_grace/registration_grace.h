// Decides how long an upstream is used whose registration was removed from the platform's store.
//
// Load pattern: the store is away, or a zone is cut off from it, and the registrations of upstreams
// that run expire because they cannot be renewed. A gateway that drops them all refuses every
// request until they are back. An upstream that leaves without a word in the same time looks alike,
// and stops soon after its removal.
//
// What tells the two apart is time. A registration can expire only after a long silence of the
// store, and an upstream that runs is registered again within about two seconds of the store's
// return; one that is still missing then is gone. The store's return counts, not the time at which
// this gateway hears of it, which is later by up to the interval of its calls.

#ifndef BLUEBELLSTEP_REGISTRATION_GRACE_REGISTRATION_GRACE_H_
#define BLUEBELLSTEP_REGISTRATION_GRACE_REGISTRATION_GRACE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace bluebellstep {

/** Times that the grace for removed registrations depends on. */
struct RegistrationGraceLimits {
  // Upstreams renew their registrations at this interval; a registration expires after three
  // intervals without a renewal.
  Duration registration_interval{1200};
  // Upstreams whose registrations expired register again within this time after the store's return.
  Duration reregistration_time{2000};
  // Longest time between two answers of a store that works.
  Duration max_answer_gap{1300};
};

/** Keeps the upstreams whose registrations may have expired in an outage of the store. An upstream
 * that has said that it leaves is no business of this class.
 *
 * All times are read from one monotonic clock.
 */
class RegistrationGrace {
 public:
  void set_limits(const RegistrationGraceLimits& limits) { limits_ = limits; }

  /** Records an answer of the store, to this gateway or to one that passes on what it reads there.
   * A time without answers in which a registration can expire is an outage. A lost connection, or
   * an outage that only another gateway had, is none.
   *
   * @param answered_at  When the store answered; earlier than `now` if the answer was passed on.
   */
  void record_store_answer(Instant answered_at, Instant now);

  /** Records that the store did not answer a call that was sent at `sent_at`. The store, or the way
   * to it, was still away then. */
  void record_failed_call(Instant sent_at);

  /** A registration was removed. Returns whether its upstream is kept; otherwise it is gone. */
  bool keep(std::string_view id, Instant now);

  /** An upstream is registered again, or is gone for another reason. */
  void forget(std::string_view id);

  /** Whether the upstream is kept, at present or until a time that has passed. */
  bool is_kept(std::string_view id) const { return kept_.find(id) != kept_.end(); }

  /** Whether the time for which the upstream was kept has passed. While the store does not answer,
   * upstreams cannot register again, and the time does not end. */
  bool has_ended(std::string_view id, Instant now) const;

  /** Until when the upstream is kept; nothing if it is not. */
  std::optional<Instant> kept_until(std::string_view id) const;

 private:
  // Time without answers of the store after which registrations may have expired.
  Duration min_outage() const { return limits_.registration_interval * 2; }
  // When the store was back that answered at `answered_at`, after a silence.
  Instant estimated_return(Instant answered_at) const;

  RegistrationGraceLimits limits_;
  // Until when each upstream is kept that has no registration.
  std::map<std::string, Instant, std::less<>> kept_;
  std::optional<Instant> answered_at_;  // Latest `answered_at` of `record_store_answer`.
  // When that answer was recorded, but not much later than the answer itself.
  std::optional<Instant> heard_at_;
  std::optional<Instant> failed_call_at_;      // When the last unanswered call was sent.
  std::optional<Instant> outage_returned_at_;  // When the store was back after the last outage.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_REGISTRATION_GRACE_REGISTRATION_GRACE_H_
