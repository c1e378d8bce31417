// Handles calls from entry instances.

#include "sidecar/sidecar_server.h"

#include "rpc/wire_service.h"
#include "rpc/wire_verdict.h"

namespace bluebellstep {

kj::Promise<void> SidecarServer::heartbeat(HeartbeatContext context) {
  on_heartbeat_();
  const auto peer_state = context.getParams().getState();
  state_.apply_state(peer_state, context.getParams().getFrom());
  for (const AccountServiceReport& report : read_served_costs(peer_state)) {
    core_.apply_pool_report(peer_state.getName().cStr(), report);
  }
  auto state = context.getResults().initState();
  state_.fill_state(state);
  core_.fill_hint(state.initHint());
  write_served_costs(
      state, next_reports(core_.served_accounts(), kMaxAccountsPerHeartbeat, last_reported_));
  return kj::READY_NOW;
}

kj::Promise<void> SidecarServer::fetchBundle(FetchBundleContext context) {
  state_.fill_bundle(context.getResults());
  return kj::READY_NOW;
}

kj::Promise<void> SidecarServer::submit(SubmitContext context) {
  const auto params = context.getParams();
  const auto refused = core_.submit(params.getRequest(), params.getSink());
  auto results = context.getResults();
  results.setAccepted(!refused.has_value());
  if (refused.has_value()) {
    write_verdict(results.initVerdict(), *refused);
  }
  core_.fill_hint(results.initHint());
  return kj::READY_NOW;
}

kj::Promise<void> SidecarServer::resume(ResumeContext context) {
  const auto params = context.getParams();
  const AttemptKey key{params.getEntryIncarnation(), params.getRequestId(), params.getAttempt()};
  context.getResults().setKnown(core_.resume(key, params.getNextIndex(), params.getSink()));
  return kj::READY_NOW;
}

kj::Promise<void> SidecarServer::cancel(CancelContext context) {
  const auto params = context.getParams();
  core_.cancel(params.getEntryIncarnation(), params.getRequestId());
  return kj::READY_NOW;
}

}  // namespace bluebellstep
