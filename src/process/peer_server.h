// The RPC interface that every process serves to its peers.

#ifndef BLUEBELLSTEP_PROCESS_PEER_SERVER_H_
#define BLUEBELLSTEP_PROCESS_PEER_SERVER_H_

#include <functional>

#include "process/process_state.h"
#include "rpc/peer.capnp.h"

namespace bluebellstep {

/** Serves heartbeats and the bundle from a `ProcessState`, which must outlive it. */
class PeerServer final : public wire::Peer::Server {
 public:
  /** `on_heartbeat` is called for each heartbeat received. */
  explicit PeerServer(
      ProcessState& state,
      std::function<void()> on_heartbeat = [] {})
      : state_(state), on_heartbeat_(std::move(on_heartbeat)) {}

  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    on_heartbeat_();
    state_.apply_state(context.getParams().getState(), context.getParams().getFrom());
    state_.fill_state(context.getResults().initState());
    return kj::READY_NOW;
  }

  kj::Promise<void> fetchBundle(FetchBundleContext context) override {
    state_.fill_bundle(context.getResults());
    return kj::READY_NOW;
  }

 private:
  ProcessState& state_;
  std::function<void()> on_heartbeat_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PROCESS_PEER_SERVER_H_
