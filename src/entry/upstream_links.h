// Links of an entry instance to the sidecars of all upstreams, and the choice of an upstream for
// each request.

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
#include "zones/zone_registry.h"

namespace bluebellstep {

/**
 * Maintains one `PeerLink` for each upstream in the bundle, and updates the `UpstreamTable` from
 * their heartbeats. Lives on the control thread.
 */
class UpstreamLinks {
 public:
  /** Callbacks on the control thread. */
  struct Listener {
    /** The link to an upstream was established. */
    std::function<void(UpstreamId)> on_up;

    /** The link to an upstream was lost or removed. */
    std::function<void(UpstreamId)> on_down;
  };

  /** Size of a heartbeat and its answer on the wire in bytes. */
  static constexpr std::size_t kHeartbeatBytes = 600;

  /** Target for the heartbeat traffic of a process: most of the budget of 4 KB/s for the control
   * traffic of a node. */
  static constexpr std::size_t kHeartbeatBytesPerSecond = 3072;

  /** `state`, `loop` and `transport` must outlive this. */
  UpstreamLinks(RpcLoop& loop,
                RpcTransport& transport,
                ProcessState& state,
                wire::Peer::Client own_peer,
                Listener listener);

  /** Opens links to upstreams that are new in the bundle and closes links to removed ones. */
  void apply_bundle(const Bundle& bundle);

  /** Updates which zones are in service. */
  void apply_zones(const ZoneRegistry& zones, Instant now);

  /** Returns the routing target of a model, or nothing if the model is unknown. */
  std::optional<RouteTarget> model_target(std::string_view model) const;

  /** Returns the routing target of a service, or nothing if the service is unknown. */
  std::optional<RouteTarget> service_target(std::string_view service) const;

  /** Chooses an upstream that is not in `excluded`; see `RouteChooser::choose`. Sets the zone of
   * the query to that of this instance. */
  Route choose(RouteQuery query, std::span<const UpstreamId> excluded, Instant now);

  /** Returns a description of the choice for operators; see `RouteChooser::explain`. */
  std::string explain(RouteQuery query, Instant now) const;

  std::optional<UpstreamId> find(std::string_view name) const { return table_.find(name); }
  const std::string& name(UpstreamId upstream) const { return table_.upstream(upstream).name; }

  /** Returns the link to an upstream, or null if the upstream is not in the bundle. */
  PeerLink* link(UpstreamId upstream);

  /** Records that a request is about to be sent to `upstream`. It counts as open until
   * `request_closed` is called. */
  void request_opened(UpstreamId upstream);

  /** Records that a request that was recorded by `request_opened` is no longer open. */
  void request_closed(UpstreamId upstream);

  /** Updates the state of an upstream from a hint. */
  void apply_hint(UpstreamId upstream, wire::UpstreamHint::Reader hint, Instant now);

  /** Sends heartbeats immediately to `kNotifyFanOut` random upstreams, so that a change of the
   * bundle or of a zone reaches all processes within a few hops. */
  void notify_peers();

  /** Returns the number of links. */
  std::size_t size() const { return links_.size(); }

 private:
  static constexpr std::size_t kNotifyFanOut = 8;

  // Upper limit for links without open requests, because hints are considered stale after 2 s.
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
  // Contains a link for each upstream in the latest bundle; table_ contains the same upstreams.
  std::map<UpstreamId, std::unique_ptr<PeerLink>> links_;
  std::map<UpstreamId, std::size_t> open_requests_;
  ServiceTotals service_totals_;                     // Sums over all sidecars.
  std::map<UpstreamId, std::string> last_reported_;  // See `next_reports`.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_UPSTREAM_LINKS_H_
