// A permanent link to another process of the system. It connects, sends heartbeats, and replaces a
// connection that fails or whose peer is unresponsive.

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
  // Timeout for the response to a heartbeat, after which the connection is closed.
  Duration heartbeat_timeout = {1500};
  Duration min_backoff = {50};
  // After their start, sidecars wait for longer than this before they accept new work.
  Duration max_backoff = {1000};
};

/**
 * Link to the peer at one endpoint. It connects immediately, and reconnects after each failure with
 * exponential backoff. Heartbeats exchange the states of the two processes. Must be used only on
 * the control thread. Destroying it closes the connection.
 */
class PeerLink {
 public:
  /** Callbacks, all on the control thread. */
  struct Listener {
    /** Fills in the state of this process for a heartbeat. */
    std::function<void(wire::PeerState::Builder)> fill_state;

    /** The peer responded to a heartbeat with its state. */
    std::function<void(wire::PeerState::Reader)> on_state;

    /** The peer responded to the first heartbeat of a new connection. */
    std::function<void()> on_up;

    /** A connection that was up was lost. Calls on it have failed or will fail. */
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

  /** Whether there is a connection on which the peer has responded to a heartbeat. */
  bool is_up() const { return up_; }

  /** The peer's capability. Must be called only while the link is up. */
  wire::Sidecar::Client& sidecar();

  const Endpoint& endpoint() const { return endpoint_; }

  /** Sends the next heartbeat immediately, to publish a changed state. Has no effect unless the
   * link waits for the time of the next heartbeat. */
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
  // Set while the link waits until the next heartbeat is due. Ends the wait.
  kj::Own<kj::PromiseFulfiller<void>> wake_fulfiller_;
  // The last member, so that it is cancelled before the others are destroyed.
  kj::Promise<void> running_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_RPC_PEER_LINK_H_
