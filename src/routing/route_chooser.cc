// Implementation of the route choice.

#include "routing/route_chooser.h"

#include <algorithm>
#include <cassert>
#include <sstream>

#include "base/overloaded.h"

namespace bluebellstep {
namespace {

// Random draws before all members are scanned. With a third of the upstreams ineligible (one zone
// of three out of service), all twelve draws fail with a probability of 2 in a million.
constexpr int kRandomDraws = 12;

// Ring points visited before the choice falls back to random members; 64 points belong to about 60
// different members.
constexpr int kRingSteps = 64;

// Time to the next hint, by which an entry instance learns that an upstream or zone is usable
// again.
constexpr Duration kRetryAfter = 500_ms;

// A `ramp_position` below the share of every zone, so that a zone's ramp is not applied.
constexpr double kIgnoreRamp = -1;

}  // namespace

std::string_view to_string(RouteReason reason) {
  switch (reason) {
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

/** Input of one route choice. */
struct RouteChooser::Selection {
  const RouteQuery& query;
  std::span<const UpstreamId> excluded;
  Instant now;
  const UpstreamTable::Group& group;
  // From 0 to 1, or kIgnoreRamp. A zone that is returning to service is eligible only if its
  // traffic share is above this position. The position of a prompt is derived from its key, so that
  // the prompt moves back to its home in the zone once and stays there.
  double ramp_position;
};

bool RouteChooser::is_eligible(const Selection& selection, UpstreamId id, bool unresponsive) const {
  const auto& upstream = table_.upstream(id);
  if (upstream.hint.leaving ||
      std::ranges::find(selection.excluded, id) != selection.excluded.end() ||
      (table_.age(upstream, selection.now) == HintAge::kUnresponsive) != unresponsive ||
      table_.is_zone_out_of_service(upstream.zone) ||
      table_.zone_traffic_share(upstream.zone, selection.now) <= selection.ramp_position) {
    return false;
  }
  const auto* model = std::get_if<ModelId>(&selection.query.target);
  if (model == nullptr || selection.query.weight_version.empty()) {
    return true;
  }
  const auto& versions = upstream.hint.weight_versions;
  const auto version = std::ranges::find(versions, *model, &std::pair<ModelId, std::string>::first);
  return version == versions.end() || version->second == selection.query.weight_version;
}

bool RouteChooser::is_below_load_bound(const Selection& selection, UpstreamId id) const {
  const double bound =
      std::max(kLoadBoundFactor * selection.group.mean_utilization(), kMinLoadBound);
  return table_.utilization(table_.upstream(id), selection.group, selection.now) < bound;
}

std::optional<SelectedRoute> RouteChooser::choose_home(const Selection& selection) const {
  std::optional<UpstreamId> home;
  std::optional<SelectedRoute> choice;
  int steps = 0;
  selection.group.ring.walk(*selection.query.root_key, [&](UpstreamId id) {
    if (id == home || !is_eligible(selection, id, false)) {
      return ++steps < kRingSteps;
    }
    if (is_below_load_bound(selection, id)) {
      choice = SelectedRoute{id, home ? RouteReason::kSecondHome : RouteReason::kHome};
    }
    const bool was_second = home.has_value();
    home = id;
    return !choice && !was_second && ++steps < kRingSteps;
  });
  return choice;
}

bool RouteChooser::is_preferred(const Selection& selection, UpstreamId a, UpstreamId b) const {
  const auto& first = table_.upstream(a);
  const auto& second = table_.upstream(b);
  const double difference = table_.utilization(first, selection.group, selection.now) -
                            table_.utilization(second, selection.group, selection.now);
  // Loads that differ by less than one request count as equal; the local zone is then preferred.
  const double one_request = 1.0 / std::max({first.hint.limit, second.hint.limit, 1U});
  const bool first_is_local = first.zone == selection.query.zone;
  if (std::abs(difference) < one_request &&
      first_is_local != (second.zone == selection.query.zone)) {
    return first_is_local;
  }
  return difference < 0;
}

std::optional<UpstreamId> RouteChooser::random_eligible_member(const Selection& selection,
                                                               Random& random,
                                                               bool unresponsive) const {
  const auto& members = selection.group.members;
  if (members.empty()) {
    return std::nullopt;
  }
  for (int draw = 0; draw < kRandomDraws; ++draw) {
    const UpstreamId id = members[random.below(members.size())];
    if (is_eligible(selection, id, unresponsive)) {
      return id;
    }
  }
  const std::size_t start = random.below(members.size());
  for (std::size_t i = 0; i < members.size(); ++i) {
    const UpstreamId id = members[(start + i) % members.size()];
    if (is_eligible(selection, id, unresponsive)) {
      return id;
    }
  }
  return std::nullopt;
}

std::optional<UpstreamId> RouteChooser::choose_least_load(const Selection& selection,
                                                          Random& random) const {
  const auto first = random_eligible_member(selection, random, false);
  if (!first) {
    return std::nullopt;
  }
  const UpstreamId second = *random_eligible_member(selection, random, false);
  return is_preferred(selection, second, *first) ? second : *first;
}

Route RouteChooser::choose_with(Random& random,
                                const RouteQuery& query,
                                std::span<const UpstreamId> excluded,
                                Instant now) const {
  if (query.owner) {
    // Only the owner knows whether the order ran, even while the owner is leaving or its zone is
    // out of service.
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
  // Multiplicative hash, so that the ramp position is independent of the position on the ring,
  // which uses the same bits of the key.
  const std::uint64_t position =
      query.root_key ? *query.root_key * 0x9e3779b97f4a7c15 : random.next();
  Selection selection{query, excluded, now, *group,
                      static_cast<double>(position >> 11) * 0x1.0p-53};
  if (query.root_key) {
    if (const auto home = choose_home(selection)) {
      return *home;
    }
  }
  if (const auto least_loaded = choose_least_load(selection, random)) {
    return SelectedRoute{*least_loaded, RouteReason::kLeastLoad};
  }
  // A zone that is returning to service takes all requests if no other zone has an eligible
  // upstream.
  selection.ramp_position = kIgnoreRamp;
  if (const auto in_returning_zone = choose_least_load(selection, random)) {
    return SelectedRoute{*in_returning_zone, RouteReason::kLeastLoad};
  }
  if (const auto unresponsive = random_eligible_member(selection, random, true)) {
    return SelectedRoute{*unresponsive, RouteReason::kUnresponsive};
  }
  return NoRoute{
      Verdict::not_run(Reason::kNoUpstream,
                       "every upstream was already tried, is leaving, is in a zone out of service "
                       "or serves another weight version",
                       kRetryAfter)};
}

Route RouteChooser::choose(const RouteQuery& query,
                           std::span<const UpstreamId> excluded,
                           Instant now) {
  return choose_with(random_, query, excluded, now);
}

std::string RouteChooser::describe(const Selection& selection, UpstreamId id) const {
  const auto& upstream = table_.upstream(id);
  std::ostringstream text;
  text << upstream.name << " zone_share=" << table_.zone_traffic_share(upstream.zone, selection.now)
       << " load=" << upstream.hint.load + upstream.requests_since_hint
       << " limit=" << upstream.hint.limit
       << " utilization=" << table_.utilization(upstream, selection.group, selection.now)
       << " leaving=" << upstream.hint.leaving << " cold=" << upstream.hint.cold << " hint_age_ms="
       << (upstream.last_hint_at ? std::to_string((selection.now - *upstream.last_hint_at).ms)
                                 : "never")
       << " below_bound=" << is_below_load_bound(selection, id);
  return text.str();
}

std::string RouteChooser::explain(const RouteQuery& query, Instant now) const {
  Random random = random_;
  const Route route = choose_with(random, query, {}, now);
  std::ostringstream text;
  std::visit(Overloaded{[&](const SelectedRoute& selected) {
                          text << "route=" << table_.upstream(selected.upstream).name
                               << " why=" << to_string(selected.route_reason) << '\n';
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
  Selection selection{query, {}, now, *group, kIgnoreRamp};
  if (query.root_key) {
    std::optional<UpstreamId> last;
    group->ring.walk(*query.root_key, [&](UpstreamId id) {
      if (id == last) {
        return true;
      }
      text << (last ? "second on the ring: " : "first on the ring: ") << describe(selection, id)
           << '\n';
      return !std::exchange(last, id).has_value();
    });
  }
  if (const auto* to = std::get_if<SelectedRoute>(&route)) {
    text << "chosen: " << describe(selection, to->upstream) << '\n';
  }
  return text.str();
}

}  // namespace bluebellstep
