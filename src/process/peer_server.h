// RPC interface that entry instances serve to their peers. Sidecars extend it, see
// `sidecar/sidecar_server.h`.

#ifndef BLUEBELLSTEP_PROCESS_PEER_SERVER_H_
#define BLUEBELLSTEP_PROCESS_PEER_SERVER_H_

#include <functional>

#include "process/process_state.h"
#include "rpc/peer.capnp.h"

namespace bluebellstep {

/** Answers heartbeats and requests for the bundle. The `ProcessState` must outlive it. */
class PeerServer final : public wire::Peer::Server {
 public:
  /** `on_heartbeat` is called for every received heartbeat. */
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
