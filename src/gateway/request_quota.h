// Division of the request rate that an upstream bears among the gateways that send to it.
//
// Load pattern: upstreams that have just started bear few requests a second, hundreds of gateways
// send to them, and each sees only its own requests. A limit that is divided by estimates of the
// traffic is exceeded whenever the estimates differ, and a minimum of one request for each gateway
// exceeds it as soon as there are more gateways than requests.

#ifndef BLUEBELLSTEP_GATEWAY_REQUEST_QUOTA_H_
#define BLUEBELLSTEP_GATEWAY_REQUEST_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace bluebellstep {

/** The part of a limit that one gateway may use, computed from the names of all gateways. Gateways
 * that know the same names use no more than the limit together, whatever their traffic is: the
 * limit is divided evenly, and the remainder goes to the gateways that rank highest for the
 * upstream.
 *
 * A gateway uses nothing before it knows the others, within `kRestartDelay` of its start, and
 * within `kJoinDelay` after it was first registered. A gateway that knows `n` names too few, all of
 * which have joined by then, exceeds its part of the limit by at most `n` ranks.
 *
 * All times are read from one monotonic clock.
 */
class RequestQuota {
 public:
  /** Share of the limit that is divided. The rest covers gateways that know too few names. */
  static constexpr double kUsedShare = 0.85;
  /** Longer than the window to which limits apply and than `QuotaLending::kHoldTime`, since a
   * restarted gateway does not know what it sent and lent before. */
  static constexpr Duration kRestartDelay{2100};
  /** Time after which the other gateways know a new one. */
  static constexpr Duration kJoinDelay{6000};

  explicit RequestQuota(std::string_view own_name, Instant started_at);

  /** Sets the names of the registered gateways. */
  void set_registered(const std::set<std::string, std::less<>>& names);

  /** Records that a gateway sent a load report. It counts from then on, also if its registration
   * is not known here. */
  void on_report(std::string_view name);

  /** This gateway was registered for the first time at `now`; the others do not know it yet. */
  void set_joined(Instant now) { usable_from_ = now + kJoinDelay; }

  /** Returns the number of requests that this gateway may send within a second: its part, or 0
   * while it is not `usable`.
   *
   * @param limit  Number of requests that all gateways may send within a second.
   */
  std::uint32_t allowance(std::uint64_t upstream_hash, double limit, Instant now) const {
    return usable(now) ? part(upstream_hash, limit) : 0;
  }

  /** Returns the part of this gateway among all that it knows; 0 if it knows none. */
  std::uint32_t part(std::uint64_t upstream_hash, double limit) const;

  /** A number that names this start of the gateway. */
  std::uint64_t incarnation() const { return incarnation_; }

  /** Number of known gateways, including this one. */
  std::size_t gateway_count() const { return member_hashes_.size() + 1; }

  /** Whether allowances are above 0 at present; see the class comment. */
  bool usable(Instant now) const { return now >= usable_from_ && !registered_.empty(); }

  /** Changes with each change of the known names, so that parts can be cached. */
  std::uint64_t membership_version() const { return membership_version_; }

 private:
  void update_members();

  std::string own_name_;
  std::uint64_t own_hash_;
  std::uint64_t incarnation_;
  Instant usable_from_;
  std::set<std::string, std::less<>> registered_;
  // Reported, but not registered as far as this gateway knows. Cleared when a list that is newer
  // than the report leaves them out.
  std::set<std::string, std::less<>> unregistered_;
  std::vector<std::uint64_t> member_hashes_;  // Of all known names but the own one.
  std::uint64_t membership_version_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_REQUEST_QUOTA_H_
