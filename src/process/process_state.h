// What every process of the system keeps and spreads: its bundle, the zones, and when each was
// confirmed.

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
#include "zones/zone_board.h"

namespace bluebellstep {

/** Role of a process. */
enum class ProcessRole : std::uint8_t { kEntry, kEngineSidecar, kServiceSidecar };

/**
 * Shared part of the control state of entry instances and sidecars. It adopts newer bundles and
 * zone notices from heartbeats, reads and watches `bundle/current`, fetches bundles from peers, and
 * reports its generation in the platform as `status/<name>`. Lives on the control thread.
 */
class ProcessState {
 public:
  /** Callbacks, all on the control thread. */
  struct Listener {
    /** A newer bundle is in force. */
    std::function<void(const Bundle&)> on_bundle_changed;

    /** The state of a zone changed. */
    std::function<void()> on_zones_changed;

    /** There is news that peers should hear at once. */
    std::function<void()> on_peer_update_needed;
  };

  /** `platform` must outlive this. `incarnation` is unique among the restarts of the process. */
  ProcessState(RpcLoop& loop,
               PlatformClient& platform,
               const ProcessSettings& settings,
               ProcessRole role,
               std::uint64_t incarnation,
               Listener listener);
  ~ProcessState();

  /** Starts reading the platform and asking peers. */
  void start();

  /** Writes name, zone, generation and zone notices of this process. */
  void fill_state(wire::PeerState::Builder state) const;

  /** Writes the bundle of this process for a peer. */
  void fill_bundle(wire::Peer::FetchBundleResults::Builder results) const;

  /** Takes in the state of a peer; `peer` may be asked for its bundle later. */
  void apply_state(wire::PeerState::Reader state, wire::Peer::Client peer);

  /** Returns up to `count` peers heard from lately, chosen at random. */
  std::vector<wire::Peer::Client> random_peers(std::size_t count);

  /** Forgets the capability of a peer whose connection is lost. */
  void remove_peer(std::string_view name);

  /** Handles the body of `POST /admin/zone-notice`. */
  ZoneNoticeAnswer apply_zone_notice(std::string_view body);

  const BundleTracker& tracker() const { return tracker_; }
  const ZoneBoard& zones() const { return zones_; }
  const ProcessSettings& settings() const { return settings_; }
  std::uint64_t incarnation() const { return incarnation_; }

  /** JSON document of the status route. `role_status` is the JSON document of the role's part. */
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
  void take_read_result(PlatformClient::ReadResult result, Instant started_at, bool from_watch);
  void fetch_from_peer();
  void handle_offer(BundleOffer offer, std::string_view source);
  void apply_adopted_bundle();
  void report_status();
  void write_status(ObjectVersion expected);

  RpcLoop& loop_;
  PlatformClient& platform_;
  ProcessSettings settings_;
  ProcessRole role_;
  std::uint64_t incarnation_;
  Listener listener_;
  Clock clock_;
  BundleTracker tracker_;
  ZoneBoard zones_;
  WatcherElection election_;
  Random random_;
  std::map<std::string, Peer, std::less<>> peers_;
  ObjectVersion bundle_version_;  // Of `bundle/current`, as last read.
  ObjectVersion status_version_;  // Of our status object, as last known.
  std::uint64_t reported_generation_ = 0;
  bool status_write_in_flight_ = false;
  Instant next_status_write_at_;
  // Callbacks that outlive this object find it expired.
  std::shared_ptr<ProcessState*> self_;
  kj::Promise<void> tick_task_ = nullptr;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PROCESS_PROCESS_STATE_H_
