// Opens and closes links according to the bundle, and exchanges state in heartbeats.

#include "entry/upstream_links.h"

#include <algorithm>
#include <cassert>
#include <set>

#include "base/hash.h"
#include "rpc/wire_service.h"

namespace bluebellstep {

UpstreamLinks::UpstreamLinks(RpcLoop& loop,
                             RpcTransport& transport,
                             ProcessState& state,
                             wire::Peer::Client own_peer,
                             Listener listener)
    : loop_(loop),
      transport_(transport),
      state_(state),
      own_peer_(kj::mv(own_peer)),
      listener_(std::move(listener)),
      chooser_(table_, combine_hashes(hash64(state.settings().name), state.incarnation())),
      random_(state.incarnation()) {}

std::vector<RouteTarget> UpstreamLinks::targets_of(const BundleUpstream& upstream) {
  std::vector<RouteTarget> targets;
  for (const std::string& model : upstream.models) {
    targets.emplace_back(models_.intern(model));
  }
  if (!upstream.service.empty()) {
    targets.emplace_back(services_.intern(upstream.service));
  }
  return targets;
}

void UpstreamLinks::apply_bundle(const Bundle& bundle) {
  std::set<UpstreamId> in_bundle;
  for (const BundleUpstream& upstream : bundle.upstreams) {
    const UpstreamId id =
        table_.add(upstream.name, zones_.intern(upstream.zone), targets_of(upstream));
    in_bundle.insert(id);
    const auto link = links_.find(id);
    if (link == links_.end() || link->second->endpoint() != upstream.rpc) {
      open_link(id, upstream);
    }
  }
  for (auto it = links_.begin(); it != links_.end();) {
    if (in_bundle.contains(it->first)) {
      ++it;
      continue;
    }
    const UpstreamId removed = it->first;
    it = links_.erase(it);
    table_.remove(removed);
    listener_.on_down(removed);
  }
}

void UpstreamLinks::open_link(UpstreamId id, const BundleUpstream& upstream) {
  PeerLinkOptions options;
  options.heartbeat_timeout = state_.settings().silence_limit;
  PeerLink::Listener listener;
  listener.fill_state = [this, id](wire::PeerState::Builder state) { fill_state(id, state); };
  listener.on_state = [this, id](wire::PeerState::Reader state) { handle_state(id, state); };
  listener.on_up = [this, id] { listener_.on_up(id); };
  listener.on_down = [this, id, name = upstream.name](std::string_view) {
    state_.remove_peer(name);
    listener_.on_down(id);
  };
  listener.heartbeat_interval = [this, id] { return heartbeat_interval(id); };
  links_[id] = std::make_unique<PeerLink>(loop_, transport_, upstream.rpc, options, own_peer_,
                                          std::move(listener));
}

void UpstreamLinks::fill_state(UpstreamId id, wire::PeerState::Builder state) {
  state_.fill_state(state);
  write_served_costs(
      state, next_reports(service_totals_.totals(), kMaxAccountsPerHeartbeat, last_reported_[id]));
}

void UpstreamLinks::handle_state(UpstreamId id, wire::PeerState::Reader state) {
  for (const AccountServiceReport& report : read_served_costs(state)) {
    service_totals_.apply(name(id), report);
  }
  apply_hint(id, state.getHint(), clock_.now());
  state_.apply_state(state, links_.at(id)->sidecar());
}

void UpstreamLinks::apply_hint(UpstreamId upstream, wire::UpstreamHint::Reader hint, Instant now) {
  UpstreamHint decoded;
  decoded.load = hint.getLoad();
  decoded.limit = hint.getLimit();
  decoded.leaving = hint.getLeaving();
  decoded.cold = hint.getCold();
  for (const capnp::Text::Reader item : hint.getWeightVersions()) {
    const std::string_view text(item.cStr(), item.size());
    const auto separator = text.find('=');
    if (separator != std::string_view::npos) {
      decoded.weight_versions.emplace_back(models_.intern(text.substr(0, separator)),
                                           std::string(text.substr(separator + 1)));
    }
  }
  table_.apply_hint(upstream, decoded, now);
}

Duration UpstreamLinks::heartbeat_interval(UpstreamId id) const {
  const Duration min_interval = state_.settings().heartbeat_interval;
  const auto open = open_requests_.find(id);
  if (open != open_requests_.end() && open->second > 0) {
    return min_interval;
  }
  // Interval at which heartbeats on all links together use exactly the heartbeat budget.
  const auto budget_interval =
      static_cast<std::int64_t>(links_.size() * kHeartbeatBytes * 1000 / kHeartbeatBytesPerSecond);
  return std::max(min_interval, std::min(Duration{budget_interval}, kMaxHeartbeatInterval));
}

void UpstreamLinks::request_opened(UpstreamId upstream) {
  table_.record_sent_request(upstream);
  ++open_requests_[upstream];
}

void UpstreamLinks::request_closed(UpstreamId upstream) {
  std::size_t& open = open_requests_[upstream];
  assert(open > 0);
  --open;
}

void UpstreamLinks::apply_zones(const ZoneRegistry& zones, Instant now) {
  for (std::uint32_t i = 0; i < zones_.size(); ++i) {
    const ZoneId zone{i};
    table_.set_zone_out_of_service(zone, !zones.in_service(zones_.name(zone)), now);
  }
}

std::optional<RouteTarget> UpstreamLinks::model_target(std::string_view model) const {
  const auto id = models_.find(model);
  return id.has_value() ? std::optional<RouteTarget>(*id) : std::nullopt;
}

std::optional<RouteTarget> UpstreamLinks::service_target(std::string_view service) const {
  const auto id = services_.find(service);
  return id.has_value() ? std::optional<RouteTarget>(*id) : std::nullopt;
}

Route UpstreamLinks::choose(RouteQuery query, std::span<const UpstreamId> excluded, Instant now) {
  query.zone = zones_.intern(state_.settings().zone);
  return chooser_.choose(query, excluded, now);
}

std::string UpstreamLinks::explain(RouteQuery query, Instant now) const {
  query.zone = zones_.find(state_.settings().zone).value_or(ZoneId{});
  return chooser_.explain(query, now);
}

PeerLink* UpstreamLinks::link(UpstreamId upstream) {
  const auto found = links_.find(upstream);
  return found == links_.end() ? nullptr : found->second.get();
}

void UpstreamLinks::notify_peers() {
  std::vector<PeerLink*> links;
  for (const auto& [id, link] : links_) {
    if (link->is_up()) {
      links.push_back(link.get());
    }
  }
  for (std::size_t sent = 0; sent < kNotifyFanOut && !links.empty(); ++sent) {
    const std::size_t chosen = random_.below(links.size());
    links[chosen]->send_heartbeat_now();
    links[chosen] = links.back();
    links.pop_back();
  }
}

}  // namespace bluebellstep
