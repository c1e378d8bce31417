// Connects to a peer and sends it heartbeats.

#include "rpc/peer_link.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"

namespace bluebellstep {
namespace {

std::uint64_t backoff_seed(const Endpoint& endpoint) {
  return combine_hashes(hash64(endpoint.ip, endpoint.port),
                        static_cast<std::uint64_t>(Clock().now().ms));
}

}  // namespace

PeerLink::PeerLink(RpcLoop& loop,
                   RpcTransport& transport,
                   Endpoint endpoint,
                   PeerLinkOptions options,
                   wire::Peer::Client own_peer,
                   Listener listener)
    : loop_(loop),
      transport_(transport),
      endpoint_(std::move(endpoint)),
      options_(options),
      own_peer_(kj::mv(own_peer)),
      listener_(std::move(listener)),
      random_(backoff_seed(endpoint_)),
      backoff_(options.min_backoff),
      running_(run().eagerlyEvaluate(nullptr)) {}

wire::Sidecar::Client& PeerLink::sidecar() {
  assert(up_);
  return *client_;
}

void PeerLink::send_heartbeat_now() {
  if (wake_fulfiller_.get() != nullptr) {
    wake_fulfiller_->fulfill();
  }
}

kj::Promise<void> PeerLink::run() {
  return transport_.connect(endpoint_, options_.connect_timeout)
      .then([this](kj::Own<kj::AsyncIoStream>&& stream) { return run_connection(kj::mv(stream)); })
      .catch_([this](kj::Exception&& exception) { mark_down(exception.getDescription().cStr()); })
      .then([this] { return back_off(); })
      .then([this] { return run(); });
}

kj::Promise<void> PeerLink::run_connection(kj::Own<kj::AsyncIoStream> stream) {
  connection_.emplace(kj::mv(stream));
  client_.emplace(connection_->bootstrap<wire::Sidecar>());
  auto lost = connection_->on_disconnect().then([]() -> kj::Promise<void> {
    return KJ_EXCEPTION(DISCONNECTED, "the peer closed the connection");
  });
  return heartbeat_loop().exclusiveJoin(kj::mv(lost));
}

kj::Promise<void> PeerLink::heartbeat_loop() {
  auto request = client_->heartbeatRequest();
  listener_.fill_state(request.initState());
  request.setFrom(own_peer_);
  auto state_received =
      request.send().then([this](capnp::Response<wire::Peer::HeartbeatResults>&& response) {
        mark_up();
        listener_.on_state(response.getState());
      });
  return loop_.timer()
      .timeoutAfter(options_.heartbeat_timeout.ms * kj::MILLISECONDS, kj::mv(state_received))
      .then([this] { return wait_for_next_heartbeat(); })
      .then([this] { return heartbeat_loop(); });
}

kj::Promise<void> PeerLink::wait_for_next_heartbeat() {
  auto woken = kj::newPromiseAndFulfiller<void>();
  wake_fulfiller_ = kj::mv(woken.fulfiller);
  return loop_.timer()
      .afterDelay(listener_.heartbeat_interval().ms * kj::MILLISECONDS)
      .exclusiveJoin(kj::mv(woken.promise))
      .then([this] { wake_fulfiller_ = nullptr; });
}

kj::Promise<void> PeerLink::back_off() {
  // Random delays prevent the links of many processes from reconnecting at the same time.
  const Duration delay{
      1 + static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(backoff_.ms)))};
  backoff_ = std::min(backoff_ * 2, options_.max_backoff);
  return loop_.timer().afterDelay(delay.ms * kj::MILLISECONDS);
}

void PeerLink::mark_up() {
  if (up_) {
    return;
  }
  up_ = true;
  backoff_ = options_.min_backoff;
  LogEvent("link_up").field("ip", endpoint_.ip).field("port", std::uint32_t{endpoint_.port});
  listener_.on_up();
}

void PeerLink::mark_down(std::string_view detail) {
  const bool was_up = std::exchange(up_, false);
  wake_fulfiller_ = nullptr;
  client_.reset();
  connection_.reset();
  if (was_up) {
    LogEvent("link_down", LogEvent::Severity::kWarning)
        .field("ip", endpoint_.ip)
        .field("port", std::uint32_t{endpoint_.port})
        .field("detail", detail);
    listener_.on_down(detail);
  }
}

}  // namespace bluebellstep
