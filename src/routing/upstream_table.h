// Table of the upstreams known to an entry instance: the load hints received in heartbeats, the age
// of each hint, and the state of the zones.

#ifndef BLUEBELLSTEP_ROUTING_UPSTREAM_TABLE_H_
#define BLUEBELLSTEP_ROUTING_UPSTREAM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "routing/hash_ring.h"

namespace bluebellstep {

/** Destination of a request: a model or a plain service. */
using RouteTarget = std::variant<ModelId, ServiceId>;

/** State of an upstream as last reported by its sidecar. */
struct UpstreamHint {
  /** Requests running and waiting at the sidecar. */
  std::uint32_t load = 0;
  /** Maximum number of concurrent requests, as currently limited by slow start. */
  std::uint32_t limit = 0;
  bool leaving = false;
  bool cold = false;
  /** Weight version of each model in service. */
  std::vector<std::pair<ModelId, std::string>> weight_versions;
  std::uint64_t bundle_generation = 0;
};

/** Age class of the last hint received from an upstream. */
enum class HintAge : std::uint8_t {
  kFresh,         // At most 2 s old.
  kAged,          // Over 2 s old: averaged with the mean utilization of the group.
  kUnresponsive,  // Over 5 s old, or no hint yet: chosen only if no other upstream is left.
};

/** Upstreams by id, grouped by the targets that they serve. Hints may be late or wrong, so they
 * only guide the choice of an upstream; its sidecar decides whether it accepts a request. */
class UpstreamTable {
 public:
  /** Limits of the classes of `HintAge`. */
  static constexpr Duration kAgedAfter = 2_s;
  static constexpr Duration kUnresponsiveAfter = 5_s;

  /** Time over which the traffic of a zone that returned to service rises to its full share. */
  static constexpr Duration kZoneRampTime = 10_s;

  /** One upstream and its last hint. */
  struct Upstream {
    std::string name;
    ZoneId zone;
    std::vector<RouteTarget> targets;
    bool present = false;  // False after removal.
    std::optional<Instant> last_hint_at;
    UpstreamHint hint;
    // Requests sent to the upstream since its last hint, and therefore not included in `hint.load`.
    std::uint32_t requests_since_hint = 0;
    // Whether `hint` is included in the sums of the upstream's groups.
    bool in_group_sums = false;
  };

  /** All upstreams that serve one target. */
  struct Group {
    HashRing ring;
    std::vector<UpstreamId> members;
    // Sums over the members that have sent a hint, are not leaving and are in a zone in service.
    std::uint64_t load = 0;
    std::uint64_t limit = 0;

    /** Returns the load of the group divided by its limit; 0 if the limit is 0. */
    double mean_utilization() const {
      return limit == 0 ? 0 : static_cast<double>(load) / static_cast<double>(limit);
    }
  };

  /** Adds an upstream, or replaces the zone and targets of the upstream with this name. The hint is
   * kept only if zone and targets are unchanged. */
  UpstreamId add(std::string_view name, ZoneId zone, std::vector<RouteTarget> targets);

  /** Removes an upstream. An upstream that is later added under the same name gets the same id. */
  void remove(UpstreamId id);

  /** Replaces the hint of an upstream, received at `now`. Ignored for a removed upstream. */
  void apply_hint(UpstreamId id, const UpstreamHint& hint, Instant now);

  /** Adds a request to the load of an upstream until its next hint. */
  void record_sent_request(UpstreamId id);

  /** Marks a zone as out of service, or returns it to service; its traffic share then rises over
   * `kZoneRampTime`. */
  void set_zone_out_of_service(ZoneId zone, bool out_of_service, Instant now);

  bool is_zone_out_of_service(ZoneId zone) const;

  /** Returns the fraction of its normal traffic that a zone may receive at `now`: 0 while out of
   * service, rising linearly to 1 after its return to service. */
  double zone_traffic_share(ZoneId zone, Instant now) const;

  HintAge age(const Upstream& upstream, Instant now) const;

  /** Returns the load of a member of `group` divided by its limit. Unless the hint is fresh, the
   * result is averaged with the mean utilization of the group. */
  double utilization(const Upstream& upstream, const Group& group, Instant now) const;

  const Upstream& upstream(UpstreamId id) const { return upstreams_.at(id.value); }

  /** Returns the id of the upstream with this name; nothing if there is none, or it was removed. */
  std::optional<UpstreamId> find(std::string_view name) const;

  /** Returns the group of a target; null if no upstream was ever added for it. */
  const Group* group(RouteTarget target) const;

 private:
  struct Zone {
    bool out_of_service = false;
    std::optional<Instant> returned_at;  // Unset if the zone was never out, or is out now.
  };

  void add_to_group_sums(Upstream& upstream);
  void remove_from_group_sums(Upstream& upstream);

  NameTable<UpstreamId> names_;
  std::vector<Upstream> upstreams_;  // By upstream id.
  std::map<RouteTarget, Group> groups_;
  std::map<ZoneId, Zone> zones_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ROUTING_UPSTREAM_TABLE_H_
