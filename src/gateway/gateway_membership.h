// Detects registrations of gateways that no longer exist.
//
// Limits that apply to all gateways together are divided by the number of registered gateways.
// Instances are replaced all the time, and registrations in the platform's store do not expire:
// without a clean-up each replacement would shrink every gateway's share.

#ifndef BLUEBELLSTEP_GATEWAY_GATEWAY_MEMBERSHIP_H_
#define BLUEBELLSTEP_GATEWAY_GATEWAY_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace bluebellstep {

/** The registered gateways, with the time of the last load report of each. All times are read from
 * one monotonic clock. */
class GatewayMembership {
 public:
  /** A registration is removed if no report was received from its gateway for this long. Most
   * restarts and network partitions are shorter; a live gateway registers again. */
  static constexpr Duration kRemovalTimeout{60'000};
  /** A gateway counts as alive for this long after a report. Idle gateways report every 10 s. */
  static constexpr Duration kReportTimeout{25'000};

  explicit GatewayMembership(std::string own_name) : own_name_(std::move(own_name)) {}

  /** Sets the names of all registered gateways. */
  void set_registered(const std::set<std::string, std::less<>>& names, Instant now);

  /** Records that a load report of a gateway was received. */
  void on_report(std::string_view name, Instant now);

  /** Whether this gateway's own registration was removed. */
  bool own_registration_lost() const { return was_registered_ && !registered_.contains(own_name_); }

  /** Returns the rank of this gateway by rendezvous score for a key; 0 is the first. */
  std::size_t own_rank(std::uint64_t key_hash) const;

  /** Returns the names of the gateways whose registrations this gateway should remove. Only the
   * first live gateway by name removes any, and only while it receives reports from more than half
   * of its peers: otherwise it may be partitioned from the network itself. */
  std::vector<std::string> registrations_to_remove(Instant now) const;

 private:
  struct Gateway {
    Instant registered_at;  // When this gateway first saw the registration.
    std::optional<Instant> last_report_at;
  };

  std::string own_name_;
  bool was_registered_ = false;
  std::map<std::string, Gateway, std::less<>> registered_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_GATEWAY_MEMBERSHIP_H_
