// Calls from entry instances.

#include "sidecar/sidecar_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "rpc/wire_verdict.h"

namespace bluebellstep {

kj::Promise<void> SidecarServer::heartbeat(HeartbeatContext context) {
  on_heartbeat_();
  state_.apply_state(context.getParams().getState(), context.getParams().getFrom());
  auto state = context.getResults().initState();
  state_.fill_state(state);
  core_.fill_hint(state.initHint());
  fill_costs(state);
  return kj::READY_NOW;
}

void SidecarServer::fill_costs(wire::PeerState::Builder state) {
  const auto& served = core_.served_costs();
  const auto count = std::min(kCostsPerHeartbeat, served.size());
  auto out = state.initServedCosts(static_cast<unsigned>(count));
  auto next = served.upper_bound(last_cost_told_);
  for (unsigned i = 0; i < count; ++i) {
    if (next == served.end()) {
      next = served.begin();
    }
    out[i].setAccount(next->first);
    out[i].setCost(next->second);
    last_cost_told_ = next->first;
    ++next;
  }
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
