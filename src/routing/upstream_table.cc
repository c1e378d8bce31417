// Upstream table: group sums, ages of hints and states of zones.

#include "routing/upstream_table.h"

#include <algorithm>

namespace bluebellstep {

UpstreamId UpstreamTable::add(std::string_view name,
                              ZoneId zone,
                              std::vector<RouteTarget> targets) {
  const UpstreamId id = names_.intern(name);
  if (id.value >= upstreams_.size()) {
    upstreams_.resize(id.value + 1);
  }
  Upstream& upstream = upstreams_[id.value];
  if (upstream.present && upstream.zone == zone && upstream.targets == targets) {
    return id;
  }
  remove(id);
  upstream = {.name = std::string(name),
              .zone = zone,
              .targets = std::move(targets),
              .present = true,
              .last_hint_at = std::nullopt,
              .hint = {}};
  for (const RouteTarget& target : upstream.targets) {
    Group& group = groups_[target];
    group.ring.add(id, name);
    group.members.push_back(id);
  }
  return id;
}

void UpstreamTable::remove(UpstreamId id) {
  Upstream& upstream = upstreams_.at(id.value);
  if (!upstream.present) {
    return;
  }
  remove_from_group_sums(upstream);
  for (const RouteTarget& target : upstream.targets) {
    Group& group = groups_[target];
    group.ring.remove(id);
    std::erase(group.members, id);
  }
  upstream.present = false;
}

void UpstreamTable::add_to_group_sums(Upstream& upstream) {
  if (upstream.in_group_sums || !upstream.present || !upstream.last_hint_at ||
      upstream.hint.leaving || is_zone_out_of_service(upstream.zone)) {
    return;
  }
  upstream.in_group_sums = true;
  for (const RouteTarget& target : upstream.targets) {
    Group& group = groups_[target];
    group.load += upstream.hint.load;
    group.limit += upstream.hint.limit;
  }
}

void UpstreamTable::remove_from_group_sums(Upstream& upstream) {
  if (!upstream.in_group_sums) {
    return;
  }
  upstream.in_group_sums = false;
  for (const RouteTarget& target : upstream.targets) {
    Group& group = groups_[target];
    group.load -= upstream.hint.load;
    group.limit -= upstream.hint.limit;
  }
}

void UpstreamTable::apply_hint(UpstreamId id, const UpstreamHint& hint, Instant now) {
  Upstream& upstream = upstreams_.at(id.value);
  if (!upstream.present) {
    return;
  }
  remove_from_group_sums(upstream);
  upstream.hint = hint;
  upstream.last_hint_at = now;
  upstream.requests_since_hint = 0;
  add_to_group_sums(upstream);
}

void UpstreamTable::record_sent_request(UpstreamId id) {
  ++upstreams_.at(id.value).requests_since_hint;
}

void UpstreamTable::set_zone_out_of_service(ZoneId zone, bool out_of_service, Instant now) {
  Zone& zone_state = zones_[zone];
  if (zone_state.out_of_service == out_of_service) {
    return;
  }
  zone_state.out_of_service = out_of_service;
  zone_state.returned_at = out_of_service ? std::nullopt : std::optional(now);
  for (Upstream& upstream : upstreams_) {
    if (upstream.zone == zone) {
      remove_from_group_sums(upstream);
      add_to_group_sums(upstream);
    }
  }
}

bool UpstreamTable::is_zone_out_of_service(ZoneId zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.out_of_service;
}

double UpstreamTable::zone_traffic_share(ZoneId zone, Instant now) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) {
    return 1;
  }
  if (found->second.out_of_service) {
    return 0;
  }
  if (!found->second.returned_at) {
    return 1;
  }
  const Duration elapsed = now - *found->second.returned_at;
  return std::clamp(static_cast<double>(elapsed.ms) / static_cast<double>(kZoneRampTime.ms), 0.0,
                    1.0);
}

HintAge UpstreamTable::age(const Upstream& upstream, Instant now) const {
  if (!upstream.last_hint_at || now - *upstream.last_hint_at > kUnresponsiveAfter) {
    return HintAge::kUnresponsive;
  }
  return now - *upstream.last_hint_at > kAgedAfter ? HintAge::kAged : HintAge::kFresh;
}

double UpstreamTable::utilization(const Upstream& upstream, const Group& group, Instant now) const {
  const double load = upstream.hint.load + upstream.requests_since_hint;
  const double own = load / std::max(upstream.hint.limit, 1U);
  return age(upstream, now) == HintAge::kFresh ? own : (own + group.mean_utilization()) / 2;
}

std::optional<UpstreamId> UpstreamTable::find(std::string_view name) const {
  const auto id = names_.find(name);
  return id && upstreams_[id->value].present ? id : std::nullopt;
}

const UpstreamTable::Group* UpstreamTable::group(RouteTarget target) const {
  const auto found = groups_.find(target);
  return found == groups_.end() ? nullptr : &found->second;
}

}  // namespace bluebellstep
