// Links of an entry instance to the sidecars of all upstreams, and the route choice over them.

#ifndef BLUEBELLSTEP_ENTRY_UPSTREAM_LINKS_H_
#define BLUEBELLSTEP_ENTRY_UPSTREAM_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "bundle/bundle.h"
#include "fairness/service_totals.h"
#include "process/process_state.h"
#include "routing/route_chooser.h"
#include "routing/upstream_table.h"
#include "rpc/peer_link.h"
#include "zones/zone_board.h"

namespace bluebellstep {

/**
 * Keeps one `PeerLink` for each upstream of the bundle and feeds their heartbeats into the
 * `UpstreamTable`. Lives on the control thread.
 */
class UpstreamLinks {
 public:
  /** Callbacks, all on the control thread. */
  struct Listener {
    std::function<void(UpstreamId)> on_up;
    std::function<void(UpstreamId)> on_down;
  };

  /** Bytes of one heartbeat and its answer on the wire. */
  static constexpr std::size_t kHeartbeatBytes = 600;

  /** Control traffic of a process for heartbeats: the larger part of the node's budget of 4 KB a
   * second. */
  static constexpr std::size_t kHeartbeatBytesPerSecond = 3072;

  /** `state`, `loop` and `transport` must outlive this. */
  UpstreamLinks(RpcLoop& loop,
                RpcTransport& transport,
                ProcessState& state,
                wire::Peer::Client own_peer,
                Listener listener);

  /** Opens links to new upstreams, closes those to removed ones. */
  void apply_bundle(const Bundle& bundle);

  /** Takes in the zones that are in service. */
  void apply_zones(const ZoneBoard& zones, Instant now);

  /** What a request is for; nothing if the bundle has no such model. */
  std::optional<RouteTarget> model_target(std::string_view model) const;

  /** What a request is for; nothing if the bundle has no such service. */
  std::optional<RouteTarget> service_target(std::string_view service) const;

  /** Chooses an upstream; see `RouteChooser::choose`. The zone of the query is filled in. */
  Route choose(RouteQuery query, std::span<const UpstreamId> excluded, Instant now);

  /** Describes the choice for operators; see `RouteChooser::explain`. */
  std::string explain(RouteQuery query, Instant now) const;

  std::optional<UpstreamId> find(std::string_view name) const { return table_.find(name); }
  const std::string& name(UpstreamId upstream) const { return table_.upstream(upstream).name; }

  /** The link to an upstream, or null if it is not in the bundle any more. */
  PeerLink* link(UpstreamId upstream);

  /** Counts a request that is about to be sent to `upstream` and will be open there until
   * `request_closed`. */
  void request_opened(UpstreamId upstream);

  /** Ends what `request_opened` began. */
  void request_closed(UpstreamId upstream);

  /** Takes in a hint that came with the answer to a request. */
  void apply_hint(UpstreamId upstream, wire::UpstreamHint::Reader hint, Instant now);

  /** Sends heartbeats at once on up to `kNotifyFanOut` links, so that news spreads in a few hops.
   */
  void notify_peers();

  /** Number of links. */
  std::size_t size() const { return links_.size(); }

 private:
  static constexpr std::size_t kNotifyFanOut = 8;

  // Hints count as aged after 2 s, so links without open requests are not slower than this.
  static constexpr Duration kMaxHeartbeatInterval = {1500};

  void open_link(UpstreamId id, const BundleUpstream& upstream);
  void fill_state(UpstreamId id, wire::PeerState::Builder state);
  void handle_state(UpstreamId id, wire::PeerState::Reader state);
  Duration heartbeat_interval(UpstreamId id) const;
  std::vector<RouteTarget> targets_of(const BundleUpstream& upstream);

  RpcLoop& loop_;
  RpcTransport& transport_;
  ProcessState& state_;
  wire::Peer::Client own_peer_;
  Listener listener_;
  Clock clock_;
  NameTable<ZoneId> zones_;
  NameTable<ModelId> models_;
  NameTable<ServiceId> services_;
  UpstreamTable table_;
  RouteChooser chooser_;
  Random random_;
  // Links and upstreams in table_ are those of the last bundle.
  std::map<UpstreamId, std::unique_ptr<PeerLink>> links_;
  std::map<UpstreamId, std::size_t> open_requests_;
  ServiceTotals service_totals_;                     // Of all sidecars.
  std::map<UpstreamId, std::string> last_reported_;  // See `next_reports`.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_UPSTREAM_LINKS_H_
