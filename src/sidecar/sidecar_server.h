// RPC interface of a sidecar.

#ifndef BLUEBELLSTEP_SIDECAR_SIDECAR_SERVER_H_
#define BLUEBELLSTEP_SIDECAR_SIDECAR_SERVER_H_

#include <functional>
#include <string>

#include "process/process_state.h"
#include "rpc/peer.capnp.h"
#include "sidecar/sidecar_core.h"

namespace bluebellstep {

/** Serves the calls on one connection. `state` and `core` must outlive it. */
class SidecarServer final : public wire::Sidecar::Server {
 public:
  /** `on_heartbeat` is called for every received heartbeat. */
  SidecarServer(ProcessState& state, SidecarCore& core, std::function<void()> on_heartbeat)
      : state_(state), core_(core), on_heartbeat_(std::move(on_heartbeat)) {}

  kj::Promise<void> heartbeat(HeartbeatContext context) override;
  kj::Promise<void> fetchBundle(FetchBundleContext context) override;
  kj::Promise<void> submit(SubmitContext context) override;
  kj::Promise<void> resume(ResumeContext context) override;
  kj::Promise<void> cancel(CancelContext context) override;

 private:
  ProcessState& state_;
  SidecarCore& core_;
  std::function<void()> on_heartbeat_;
  std::string last_reported_;  // See `next_reports`.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_SIDECAR_SERVER_H_
