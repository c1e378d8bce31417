// Which registered gateways are gone for good.
//
// Bounds that all gateways share are divided by the number of registered ones. Instances are
// replaced all the time, and nothing in the platform's store expires by itself: without a clean-up
// each replacement would make every gateway's share smaller.

#ifndef BLUEBELLSTEP_GATEWAY_GATEWAY_MEMBERSHIP_H_
#define BLUEBELLSTEP_GATEWAY_GATEWAY_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace bluebellstep {

/** Times are those of one monotonic clock. */
class GatewayMembership {
 public:
  /** A gateway that no report came from for this long is gone. Restarts and partitions of the
   * network are mostly shorter; a gateway that lives registers again. */
  static constexpr Duration kGoneAfter{60'000};
  /** A gateway that was heard within this time lives. Idle ones report every 10 s. */
  static constexpr Duration kAliveWithin{25'000};

  explicit GatewayMembership(std::string own_name) : own_name_(std::move(own_name)) {}

  /** Sets who is registered. */
  void set_registered(const std::set<std::string, std::less<>>& names, Instant now);

  /** A report of a gateway came. */
  void heard(std::string_view name, Instant now);

  /** Whether this gateway was registered and is not any more. */
  bool own_registration_lost() const {
    return registered_before_ && !registered_.contains(own_name_);
  }

  /** Gateways whose registrations this one should remove. Only the first living gateway by name
   * removes any, and only while it hears more than half of the others: else it may be cut off
   * itself. */
  std::vector<std::string> gone(Instant now) const;

 private:
  struct Gateway {
    Instant registered_at;  // When this gateway learnt of it.
    std::optional<Instant> heard_at;
  };

  std::string own_name_;
  bool registered_before_ = false;
  std::map<std::string, Gateway, std::less<>> registered_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_GATEWAY_MEMBERSHIP_H_
