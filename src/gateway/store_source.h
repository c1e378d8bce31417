// Choice between reading the platform's store directly and following another gateway that does.
//
// Load pattern: the store charges each call and limits their rate, and hundreds of gateways watch
// the same objects. With a watch by each gateway the calls grow with the product of gateways and
// changes. Therefore one gateway reads the store, one of each other zone follows it, and the others
// follow the one of their zone, so that each change is sent to another zone once. A gateway that
// can follow none, since they fail or have lost the store, reads the store itself.

#ifndef BLUEBELLSTEP_GATEWAY_STORE_SOURCE_H_
#define BLUEBELLSTEP_GATEWAY_STORE_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "http/http_types.h"

namespace bluebellstep {

/** Selects the gateway to follow. All times are read from one monotonic clock. */
class StoreSource {
 public:
  /** A gateway that failed to answer, or had no current objects, is not followed for this time. */
  static constexpr Duration kExclusion{5000};

  /** A registered gateway. */
  struct Gateway {
    std::string name;
    std::string zone;
    Endpoint endpoint;
    double link_mbps = 0;
  };

  StoreSource(std::string_view own_name, std::string_view own_zone)
      : own_name_(own_name), own_zone_(own_zone) {}

  /** Sets the registered gateways, including this one. */
  void set_gateways(const std::vector<Gateway>& gateways);

  /** Returns the gateway to follow; nothing if this gateway must read the store itself. */
  std::optional<Endpoint> reader(Instant now) const;

  /** A gateway did not answer, or its objects may be outdated. */
  void record_failure(const Endpoint& reader, Instant now);

 private:
  std::string own_name_;
  std::string own_zone_;
  // The first gateway of the zone and the first of all, unless this one ranks before them.
  std::vector<Endpoint> readers_;
  std::map<std::string, Instant> excluded_until_;  // By `to_string` of the endpoint.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_STORE_SOURCE_H_
