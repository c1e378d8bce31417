// A lasting link to one process of the system: connects, sends heartbeats, replaces a connection
// that fails or goes silent.

#ifndef BLUEBELLSTEP_RPC_PEER_LINK_H_
#define BLUEBELLSTEP_RPC_PEER_LINK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/random.h"
#include "rpc/rpc_transport.h"

namespace bluebellstep {

/** Timing of a `PeerLink`. */
struct PeerLinkOptions {
  Duration connect_timeout = {1000};
  Duration silence_limit = {
      1500};  // A heartbeat without an answer for this long ends the connection.
  Duration min_backoff = {50};
  Duration max_backoff = {
      1000};  // Sidecars hold new work back after their start for longer than this.
};

/**
 * Link to the peer at one endpoint. It connects at once and again after each failure, with growing
 * pauses. While it is up, heartbeats exchange the states of the two processes. Lives on the control
 * thread; destroying it closes the connection.
 */
class PeerLink {
 public:
  /** Callbacks, all on the control thread. */
  struct Listener {
    /** Fills in the state of this process for a heartbeat. */
    std::function<void(wire::PeerState::Builder)> fill_state;

    /** The peer answered a heartbeat. */
    std::function<void(wire::PeerState::Reader)> on_state;

    /** The first heartbeat of a new connection was answered. */
    std::function<void()> on_up;

    /** A connection that was up is lost. Calls on it have failed or will fail. */
    std::function<void(std::string_view detail)> on_down;

    /** Returns the time from one heartbeat to the next. */
    std::function<Duration()> heartbeat_interval;
  };

  /** `own_peer` is the capability that the peer may use to call back. */
  PeerLink(RpcLoop& loop,
           RpcTransport& transport,
           Endpoint endpoint,
           PeerLinkOptions options,
           wire::Peer::Client own_peer,
           Listener listener);

  /** Whether the last heartbeat was answered. */
  bool is_up() const { return up_; }

  /** The peer's capability. Call only while the link is up. */
  wire::Sidecar::Client& sidecar();

  const Endpoint& endpoint() const { return endpoint_; }

  /** Sends the next heartbeat at once, to pass on news. */
  void send_heartbeat_now();

 private:
  kj::Promise<void> run();
  kj::Promise<void> run_connection(kj::Own<kj::AsyncIoStream> stream);
  kj::Promise<void> heartbeat_loop();
  kj::Promise<void> wait_for_next_heartbeat();
  kj::Promise<void> back_off();
  void mark_up();
  void mark_down(std::string_view detail);

  RpcLoop& loop_;
  RpcTransport& transport_;
  Endpoint endpoint_;
  PeerLinkOptions options_;
  wire::Peer::Client own_peer_;
  Listener listener_;
  Random random_;
  Duration backoff_;
  bool up_ = false;
  // Set while a connection exists.
  std::optional<RpcConnection> connection_;
  std::optional<wire::Sidecar::Client> client_;
  // Set while the link waits for the time of the next heartbeat.
  kj::Own<kj::PromiseFulfiller<void>> wake_fulfiller_;
  // Last, so that it is cancelled before the rest is destroyed.
  kj::Promise<void> running_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_RPC_PEER_LINK_H_
