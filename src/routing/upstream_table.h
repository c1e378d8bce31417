// What an entry instance knows about the upstreams: hints from heartbeats, their age, and zones.

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

/** What a request is for: a model, or a plain service. */
using RouteTarget = std::variant<ModelId, ServiceId>;

/** State of an upstream as its sidecar reported it. */
struct UpstreamHint {
  /** Requests running and waiting at the sidecar. */
  std::uint32_t load = 0;
  /** Requests that may run at once, after slow start. */
  std::uint32_t limit = 0;
  bool leaving = false;
  bool cold = false;
  /** Weight version of each model in service. */
  std::vector<std::pair<ModelId, std::string>> weight_versions;
  std::uint64_t bundle_generation = 0;
};

/** Age class of a hint. */
enum class HintAge : std::uint8_t {
  kFresh,         // Up to 2 s.
  kAged,          // Over 2 s: counts half.
  kUnresponsive,  // Over 5 s, or never heard: tried last.
};

/** Upstreams by id, and groups of them by target. Hints may be late or wrong: sidecars decide what
 * an upstream takes. */
class UpstreamTable {
 public:
  static constexpr Duration kAgedAfter = 2_s;
  static constexpr Duration kUnresponsiveAfter = 5_s;

  /** Time over which a zone that comes back gets its full share of the work again. */
  static constexpr Duration kZoneRampTime = 10_s;

  /** One upstream. */
  struct Upstream {
    std::string name;
    ZoneId zone;
    std::vector<RouteTarget> targets;
    bool present = false;
    std::optional<Instant> last_hint_at;
    UpstreamHint hint;
    // Requests sent since the last hint, which does not count them.
    std::uint32_t requests_since_hint = 0;
    // True if the upstream is in its groups' sums.
    bool in_group_sums = false;
  };

  /** All upstreams of one target. */
  struct Group {
    HashRing ring;
    std::vector<UpstreamId> members;
    // Sums over the counted members: heard, not leaving, zone not out.
    std::uint64_t load = 0;
    std::uint64_t limit = 0;

    /** Returns the load per slot over the group. */
    double mean_utilization() const {
      return limit == 0 ? 0 : static_cast<double>(load) / static_cast<double>(limit);
    }
  };

  /** Adds an upstream, or replaces the zone and targets of one with this name. One that is
   * unchanged keeps its hint. */
  UpstreamId add(std::string_view name, ZoneId zone, std::vector<RouteTarget> targets);

  /** Removes an upstream. Its id is given again to an upstream added under the same name. */
  void remove(UpstreamId id);

  /** Takes in a heartbeat. Ignored for a removed upstream. */
  void apply_hint(UpstreamId id, const UpstreamHint& hint, Instant now);

  /** Counts a request sent to an upstream until its next hint. */
  void record_sent_request(UpstreamId id);

  /** Takes a zone out, or lets it in again with a ramp. */
  void set_zone_out_of_service(ZoneId zone, bool out, Instant now);

  bool is_zone_out_of_service(ZoneId zone) const;

  /** Returns the share of its work that a zone may get at `now`: 0 when out, rising to 1 after it
   * came back. */
  double zone_traffic_share(ZoneId zone, Instant now) const;

  HintAge age(const Upstream& upstream, Instant now) const;

  /** Returns the load per slot of a member of `group`; aged hints are mixed with the group's mean.
   */
  double utilization(const Upstream& upstream, const Group& group, Instant now) const;

  const Upstream& upstream(UpstreamId id) const { return upstreams_.at(id.value); }

  /** Returns the id of an upstream that is present. */
  std::optional<UpstreamId> find(std::string_view name) const;

  /** Returns the group of a target, or null if no upstream was ever added for it. */
  const Group* group(RouteTarget target) const;

 private:
  struct Zone {
    bool out = false;
    std::optional<Instant> returned_at;
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
