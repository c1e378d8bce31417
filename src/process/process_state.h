// Control state that every entry instance and sidecar maintains and exchanges with its peers: the
// bundle, the state of the zones, and the time at which the bundle was last confirmed to be the
// newest.

#ifndef BLUEBELLSTEP_PROCESS_PROCESS_STATE_H_
#define BLUEBELLSTEP_PROCESS_PROCESS_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "platform/platform_client.h"
#include "rollout/bundle_tracker.h"
#include "rollout/watcher_election.h"
#include "rpc/peer.capnp.h"
#include "rpc/rpc_loop.h"
#include "settings/common_settings.h"
#include "zones/zone_registry.h"

namespace bluebellstep {

/** Kind of a process that has a `ProcessState`. */
enum class ProcessRole : std::uint8_t { kEntry, kEngineSidecar, kServiceSidecar };

/**
 * Control state of an entry instance or a sidecar. Adopts newer bundles from the platform and from
 * peers, and zone notices from peers and operators. Reads and watches `bundle/current` in the
 * platform, and writes the generation of its own bundle to `status/<name>` in the platform. Lives
 * on the control thread.
 */
class ProcessState {
 public:
  /** Callbacks on the control thread. */
  struct Listener {
    /** A newer bundle was adopted. */
    std::function<void(const Bundle&)> on_bundle_changed;

    /** The bundle or a zone notice may have changed which zones are in service. */
    std::function<void()> on_zones_changed;

    /** The bundle or a zone has changed; the listener must send heartbeats to peers immediately. */
    std::function<void()> on_peer_update_needed;
  };

  /** `loop` and `platform` must outlive this. `incarnation` must differ between restarts of the
   * process. */
  ProcessState(RpcLoop& loop,
               PlatformClient& platform,
               const ProcessSettings& settings,
               ProcessRole role,
               std::uint64_t incarnation,
               Listener listener);
  ~ProcessState();

  /** Starts to read and watch the platform and to fetch bundles from peers. */
  void start();

  /** Writes the state of this process for a heartbeat: name, incarnation, zone, generation of the
   * bundle, age of its confirmation and zone notices. */
  void fill_state(wire::PeerState::Builder state) const;

  /** Writes the bundle of this process for a peer that fetches it. */
  void fill_bundle(wire::Peer::FetchBundleResults::Builder results) const;

  /** Applies the state from the heartbeat of a peer. `peer` is kept, to fetch the bundle from the
   * peer later. */
  void apply_state(wire::PeerState::Reader state, wire::Peer::Client peer);

  /** Returns up to `count` random peers among those from which a heartbeat was received within the
   * last 2 s. */
  std::vector<wire::Peer::Client> random_peers(std::size_t count);

  /** Removes a peer whose connection was lost. */
  void remove_peer(std::string_view name);

  /** Applies the zone notice in the body of `POST /admin/zone-notice` and returns the response. */
  ZoneNoticeAnswer apply_zone_notice(std::string_view body);

  const BundleTracker& tracker() const { return tracker_; }
  const ZoneRegistry& zones() const { return zones_; }
  const ProcessSettings& settings() const { return settings_; }
  std::uint64_t incarnation() const { return incarnation_; }

  /** Returns the JSON document of the status route. `role_status` is a JSON document with the
   * status of the role. */
  std::string status_document(std::string_view role_status) const;

 private:
  struct Peer {
    wire::Peer::Client client;
    Instant last_heartbeat_at;
    bool is_entry = false;
  };

  void fill_entry_peers(wire::PeerState::Builder state, Instant now) const;
  void tick();
  void read_bundle();
  void watch_bundle();
  void handle_read_result(PlatformClient::ReadResult result, Instant started_at, bool from_watch);
  void fetch_from_peer();
  void handle_offer(BundleOfferResult offer, std::string_view source);
  void apply_adopted_bundle();
  void report_status();
  void write_status(StoreRevision expected);

  RpcLoop& loop_;
  PlatformClient& platform_;
  ProcessSettings settings_;
  ProcessRole role_;
  std::uint64_t incarnation_;
  Listener listener_;
  Clock clock_;
  BundleTracker tracker_;
  ZoneRegistry zones_;
  WatcherElection election_;
  Random random_;
  std::map<std::string, Peer, std::less<>> peers_;
  StoreRevision bundle_version_;  // Version of `bundle/current` as last read.
  StoreRevision status_version_;  // Last known version of `status/<name>`.
  std::uint64_t reported_generation_ = 0;
  bool status_write_in_flight_ = false;
  Instant next_status_write_at_;
  // Shared with callbacks, which may outlive this object. Points to null after its destruction.
  std::shared_ptr<ProcessState*> self_;
  kj::Promise<void> tick_task_ = nullptr;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PROCESS_PROCESS_STATE_H_
