// Chooses the upstream for a request.
//
// A prompt's root block key leads to its home on a consistent hash ring, so that any entry instance
// finds the upstream whose caches know the prompt. A home above its load bound passes the prompt to
// the next candidate on the ring, and this one to the lesser loaded of two random upstreams.

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

/** What is known of a request when its upstream is chosen. */
struct RouteQuery {
  RouteTarget target;
  /** Low half of the root block key; nothing for a prompt without a whole block and for services.
   */
  std::optional<std::uint64_t> root_key;
  /** Weight version that the request needs; empty for any. */
  std::string_view weight_version;
  /** Zone of this entry instance. */
  ZoneId zone;
  /** Owner of the order's key. Such a request goes to the owner or nowhere. */
  std::optional<UpstreamId> owner;
};

/** Why an upstream was chosen. */
enum class RouteReason : std::uint8_t {
  kHome,          // First candidate on the ring.
  kSecondHome,    // Second candidate; the home is above its bound.
  kLeastLoad,     // The lesser loaded of two random upstreams.
  kOwner,         // Owner of the order's key.
  kUnresponsive,  // Only silent upstreams are left.
};

/** Returns the name used in logs and by `explain`, for example "least_load". */
std::string_view to_string(RouteReason choice);

/** The request goes to this upstream. */
struct SelectedRoute {
  UpstreamId upstream;
  RouteReason route_reason;
};

/** No upstream may get the request. */
struct NoRoute {
  Verdict verdict;
};

using Route = std::variant<SelectedRoute, NoRoute>;

/** Route choice over an `UpstreamTable`, which must outlive it. */
class RouteChooser {
 public:
  /** A home keeps its prompts up to this multiple of the mean load per slot. */
  static constexpr double kLoadBoundFactor = 1.25;

  /** A home with a quarter of its slots free keeps its prompts however idle the others are: another
   * upstream would start no sooner and would compute the prompt again. The quarter is kept for
   * what other entry instances send between two heartbeats. */
  static constexpr double kMinLoadBound = 0.75;

  /** `seed` drives the random choices. */
  RouteChooser(const UpstreamTable& table, std::uint64_t seed) : table_(table), random_(seed) {}

  /** Chooses an upstream that is not among `excluded` (those already tried). Does not count the
   * request as sent; see `UpstreamTable::record_sent_request`. */
  Route choose(const RouteQuery& query, std::span<const UpstreamId> excluded, Instant now);

  /** Returns what `choose` would answer next and what it is based on, as text for operators. */
  std::string explain(const RouteQuery& query, Instant now) const;

 private:
  struct Search;

  Route choose_with(Random& random,
                    const RouteQuery& query,
                    std::span<const UpstreamId> excluded,
                    Instant now) const;
  bool is_eligible(const Search& search, UpstreamId id, bool silent) const;
  bool is_below_load_bound(const Search& search, UpstreamId id) const;
  std::optional<SelectedRoute> choose_home(const Search& search) const;
  std::optional<UpstreamId> choose_least_load(const Search& search, Random& random) const;
  std::optional<UpstreamId> random_eligible_member(const Search& search,
                                                   Random& random,
                                                   bool silent) const;
  bool is_preferred(const Search& search, UpstreamId a, UpstreamId b) const;
  std::string describe(const Search& search, UpstreamId id) const;

  const UpstreamTable& table_;
  Random random_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ROUTING_ROUTE_CHOOSER_H_
