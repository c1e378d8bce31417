// Route choice.

#include "routing/route_chooser.h"

#include <algorithm>
#include <cassert>
#include <sstream>

#include "base/overloaded.h"

namespace bluebellstep {
namespace {

// With a third of the upstreams unusable (one zone of three out), twelve draws fail with a
// probability of 2 in a million; then all members are looked at.
constexpr int kRandomDraws = 12;

// Points looked at on the ring before random choice takes over; 64 points cover some 60 members.
constexpr int kRingSteps = 64;

// Until the next hint, since a zone that is out or an upstream that comes back is told by hints.
constexpr Duration kRetryAfter = 500_ms;

// A `ramp_position` below every zone's share.
constexpr double kIgnoreRamp = -1;

}  // namespace

std::string_view to_string(RouteReason choice) {
  switch (choice) {
    case RouteReason::kHome:
      return "home";
    case RouteReason::kSecondHome:
      return "second_home";
    case RouteReason::kLeastLoad:
      return "least_load";
    case RouteReason::kOwner:
      return "owner";
    case RouteReason::kUnresponsive:
      return "silent";
  }
  return "unknown";
}

/** One choice in progress. */
struct RouteChooser::Search {
  const RouteQuery& query;
  std::span<const UpstreamId> excluded;
  Instant now;
  const UpstreamTable::Group& group;
  // From 0 to 1, or kIgnoreRamp. A zone that is coming back takes only requests below its share.
  // For prompts this is fixed by the key, so that a prompt moves to its home in the zone once and
  // stays there.
  double ramp_position;
};

bool RouteChooser::is_eligible(const Search& search, UpstreamId id, bool silent) const {
  const auto& upstream = table_.upstream(id);
  if (upstream.hint.leaving || std::ranges::find(search.excluded, id) != search.excluded.end() ||
      (table_.age(upstream, search.now) == HintAge::kUnresponsive) != silent ||
      table_.is_zone_out_of_service(upstream.zone) ||
      table_.zone_traffic_share(upstream.zone, search.now) <= search.ramp_position) {
    return false;
  }
  const auto* model = std::get_if<ModelId>(&search.query.target);
  if (model == nullptr || search.query.weight_version.empty()) {
    return true;
  }
  const auto& versions = upstream.hint.weight_versions;
  const auto version = std::ranges::find(versions, *model, &std::pair<ModelId, std::string>::first);
  return version == versions.end() || version->second == search.query.weight_version;
}

bool RouteChooser::is_below_load_bound(const Search& search, UpstreamId id) const {
  const double bound = std::max(kLoadBoundFactor * search.group.mean_utilization(), kMinLoadBound);
  return table_.utilization(table_.upstream(id), search.group, search.now) < bound;
}

std::optional<SelectedRoute> RouteChooser::choose_home(const Search& search) const {
  std::optional<UpstreamId> home;
  std::optional<SelectedRoute> choice;
  int steps = 0;
  search.group.ring.walk(*search.query.root_key, [&](UpstreamId id) {
    if (id == home || !is_eligible(search, id, false)) {
      return ++steps < kRingSteps;
    }
    if (is_below_load_bound(search, id)) {
      choice = SelectedRoute{id, home ? RouteReason::kSecondHome : RouteReason::kHome};
    }
    const bool was_second = home.has_value();
    home = id;
    return !choice && !was_second && ++steps < kRingSteps;
  });
  return choice;
}

bool RouteChooser::is_preferred(const Search& search, UpstreamId a, UpstreamId b) const {
  const auto& first = table_.upstream(a);
  const auto& second = table_.upstream(b);
  const double difference = table_.utilization(first, search.group, search.now) -
                            table_.utilization(second, search.group, search.now);
  // Less than one request apart is equal terms.
  const double one_request = 1.0 / std::max({first.hint.limit, second.hint.limit, 1U});
  const bool first_is_near = first.zone == search.query.zone;
  if (std::abs(difference) < one_request && first_is_near != (second.zone == search.query.zone)) {
    return first_is_near;
  }
  return difference < 0;
}

std::optional<UpstreamId> RouteChooser::random_eligible_member(const Search& search,
                                                               Random& random,
                                                               bool silent) const {
  const auto& members = search.group.members;
  if (members.empty()) {
    return std::nullopt;
  }
  for (int draw = 0; draw < kRandomDraws; ++draw) {
    const UpstreamId id = members[random.below(members.size())];
    if (is_eligible(search, id, silent)) {
      return id;
    }
  }
  const std::size_t start = random.below(members.size());
  for (std::size_t i = 0; i < members.size(); ++i) {
    const UpstreamId id = members[(start + i) % members.size()];
    if (is_eligible(search, id, silent)) {
      return id;
    }
  }
  return std::nullopt;
}

std::optional<UpstreamId> RouteChooser::choose_least_load(const Search& search,
                                                          Random& random) const {
  const auto first = random_eligible_member(search, random, false);
  if (!first) {
    return std::nullopt;
  }
  const UpstreamId second = *random_eligible_member(search, random, false);
  return is_preferred(search, second, *first) ? second : *first;
}

Route RouteChooser::choose_with(Random& random,
                                const RouteQuery& query,
                                std::span<const UpstreamId> excluded,
                                Instant now) const {
  if (query.owner) {
    // Only the owner knows whether the order ran, also when it is leaving or its zone is out.
    if (std::ranges::find(excluded, *query.owner) == excluded.end()) {
      return SelectedRoute{*query.owner, RouteReason::kOwner};
    }
    return NoRoute{Verdict::not_run(Reason::kUpstreamUnreachable,
                                    "the owner of the order's key cannot be reached", kRetryAfter)};
  }
  const auto* group = table_.group(query.target);
  if (group == nullptr) {
    const bool is_model = std::holds_alternative<ModelId>(query.target);
    return NoRoute{Verdict::not_run(is_model ? Reason::kUnknownModel : Reason::kUnknownService,
                                    "no upstream serves this target")};
  }
  // A multiplicative step, since ring positions use the same bits of the key.
  const std::uint64_t position =
      query.root_key ? *query.root_key * 0x9e3779b97f4a7c15 : random.next();
  Search search{query, excluded, now, *group, static_cast<double>(position >> 11) * 0x1.0p-53};
  if (query.root_key) {
    if (const auto home = choose_home(search)) {
      return *home;
    }
  }
  if (const auto least = choose_least_load(search, random)) {
    return SelectedRoute{*least, RouteReason::kLeastLoad};
  }
  // A zone that is coming back takes everything if no other has a usable upstream.
  search.ramp_position = kIgnoreRamp;
  if (const auto returning = choose_least_load(search, random)) {
    return SelectedRoute{*returning, RouteReason::kLeastLoad};
  }
  if (const auto silent = random_eligible_member(search, random, true)) {
    return SelectedRoute{*silent, RouteReason::kUnresponsive};
  }
  return NoRoute{
      Verdict::not_run(Reason::kNoUpstream,
                       "every upstream is excluded, leaving, in a zone that is out or on "
                       "another weight version",
                       kRetryAfter)};
}

Route RouteChooser::choose(const RouteQuery& query,
                           std::span<const UpstreamId> excluded,
                           Instant now) {
  return choose_with(random_, query, excluded, now);
}

std::string RouteChooser::describe(const Search& search, UpstreamId id) const {
  const auto& upstream = table_.upstream(id);
  std::ostringstream text;
  text << upstream.name << " zone_share=" << table_.zone_traffic_share(upstream.zone, search.now)
       << " load=" << upstream.hint.load + upstream.requests_since_hint
       << " limit=" << upstream.hint.limit
       << " utilization=" << table_.utilization(upstream, search.group, search.now)
       << " leaving=" << upstream.hint.leaving << " cold=" << upstream.hint.cold << " hint_age_ms="
       << (upstream.last_hint_at ? std::to_string((search.now - *upstream.last_hint_at).ms)
                                 : "never")
       << " below_bound=" << is_below_load_bound(search, id);
  return text.str();
}

std::string RouteChooser::explain(const RouteQuery& query, Instant now) const {
  Random random = random_;
  const Route route = choose_with(random, query, {}, now);
  std::ostringstream text;
  std::visit(Overloaded{[&](const SelectedRoute& to) {
                          text << "route=" << table_.upstream(to.upstream).name
                               << " why=" << to_string(to.route_reason) << '\n';
                        },
                        [&](const NoRoute& none) {
                          text << "route=none reason=" << to_string(none.verdict.reason()) << " ("
                               << none.verdict.detail() << ")\n";
                        }},
             route);
  const auto* group = table_.group(query.target);
  if (group == nullptr) {
    return text.str();
  }
  text << "members=" << group->members.size() << " mean_utilization=" << group->mean_utilization()
       << " bound=" << std::max(kLoadBoundFactor * group->mean_utilization(), kMinLoadBound)
       << '\n';
  Search search{query, {}, now, *group, kIgnoreRamp};
  if (query.root_key) {
    std::optional<UpstreamId> last;
    group->ring.walk(*query.root_key, [&](UpstreamId id) {
      if (id == last) {
        return true;
      }
      text << (last ? "second on the ring: " : "first on the ring: ") << describe(search, id)
           << '\n';
      return !std::exchange(last, id).has_value();
    });
  }
  if (const auto* to = std::get_if<SelectedRoute>(&route)) {
    text << "chosen: " << describe(search, to->upstream) << '\n';
  }
  return text.str();
}

}  // namespace bluebellstep
