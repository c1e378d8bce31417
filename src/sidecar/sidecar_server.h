// The RPC interface of a sidecar.

#ifndef BLUEBELLSTEP_SIDECAR_SIDECAR_SERVER_H_
#define BLUEBELLSTEP_SIDECAR_SIDECAR_SERVER_H_

#include <functional>
#include <string>

#include "process/process_state.h"
#include "rpc/peer.capnp.h"
#include "sidecar/sidecar_core.h"

namespace bluebellstep {

/** Serves one connection from a `ProcessState` and a `SidecarCore`, which must outlive it. */
class SidecarServer final : public wire::Sidecar::Server {
 public:
  /** `on_heartbeat` is called for each heartbeat received. */
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
  std::string
      last_reported_;  // Account of the last report sent; the next heartbeat goes on after it.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_SIDECAR_SERVER_H_
