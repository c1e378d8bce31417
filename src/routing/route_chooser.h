// Chooses the upstream for a request.
//
// The key of a prompt's first block selects its home on a consistent hash ring, so that every entry
// instance sends the prompt to the upstream whose caches hold it. If the home is above its load
// bound, the next eligible upstream on the ring is used; if that one is above its bound too, the
// less loaded of two random upstreams.

#ifndef BLUEBELLSTEP_ROUTING_ROUTE_CHOOSER_H_
#define BLUEBELLSTEP_ROUTING_ROUTE_CHOOSER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "base/clock.h"
#include "base/id.h"
#include "base/random.h"
#include "base/verdict.h"
#include "routing/upstream_table.h"

namespace bluebellstep {

/** Properties of a request that determine its upstream. */
struct RouteQuery {
  RouteTarget target;
  /** Low half of the key of the prompt's first block; nothing for a prompt shorter than one block
   * and for a plain service. */
  std::optional<std::uint64_t> root_key;
  /** Weight version that the request needs; empty for any. */
  std::string_view weight_version;
  /** Zone of this entry instance. */
  ZoneId zone;
  /** Owner of the order's key; nothing if the request is not an order. An order is sent only to the
   * owner of its key. */
  std::optional<UpstreamId> owner;
};

/** Why an upstream was chosen. */
enum class RouteReason : std::uint8_t {
  kHome,          // First eligible upstream on the ring.
  kSecondHome,    // Second eligible upstream on the ring; the home is above its load bound.
  kLeastLoad,     // The less loaded of two random upstreams.
  kOwner,         // Owner of the order's key.
  kUnresponsive,  // No upstream with a recent hint is eligible.
};

/** Returns the name used in logs and by `explain`, for example "least_load". */
std::string_view to_string(RouteReason reason);

/** The upstream to send the request to. */
struct SelectedRoute {
  UpstreamId upstream;
  RouteReason route_reason;
};

/** No upstream is eligible; `verdict` is the answer to the caller. */
struct NoRoute {
  Verdict verdict;
};

using Route = std::variant<SelectedRoute, NoRoute>;

/** Chooses upstreams from an `UpstreamTable`, which must outlive it. */
class RouteChooser {
 public:
  /** A home keeps its prompts while its utilization is below this multiple of the mean utilization
   * of its group. */
  static constexpr double kLoadBoundFactor = 1.25;

  /** Lower limit of the load bound. A home below this utilization keeps its prompts however idle
   * the others are: another upstream would start no sooner and would have to recompute the prompt.
   * The remaining quarter is left for requests that other entry instances send between two
   * heartbeats.
   */
  static constexpr double kMinLoadBound = 0.75;

  /** `seed` seeds the random choices. */
  RouteChooser(const UpstreamTable& table, std::uint64_t seed) : table_(table), random_(seed) {}

  /** Chooses an upstream that is not in `excluded`, the upstreams already tried. Does not add the
   * request to the load of the upstream; see `UpstreamTable::record_sent_request`. */
  Route choose(const RouteQuery& query, std::span<const UpstreamId> excluded, Instant now);

  /** Returns what `choose` would return next, and the state that it would be based on, as text for
   * operators. */
  std::string explain(const RouteQuery& query, Instant now) const;

 private:
  struct Selection;

  Route choose_with(Random& random,
                    const RouteQuery& query,
                    std::span<const UpstreamId> excluded,
                    Instant now) const;
  bool is_eligible(const Selection& selection, UpstreamId id, bool unresponsive) const;
  bool is_below_load_bound(const Selection& selection, UpstreamId id) const;
  std::optional<SelectedRoute> choose_home(const Selection& selection) const;
  std::optional<UpstreamId> choose_least_load(const Selection& selection, Random& random) const;
  std::optional<UpstreamId> random_eligible_member(const Selection& selection,
                                                   Random& random,
                                                   bool unresponsive) const;
  bool is_preferred(const Selection& selection, UpstreamId a, UpstreamId b) const;
  std::string describe(const Selection& selection, UpstreamId id) const;

  const UpstreamTable& table_;
  Random random_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ROUTING_ROUTE_CHOOSER_H_
