// Tests of links and their transport on real sockets.

#include "rpc/peer_link.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>

namespace bluebellstep {
namespace {

constexpr Duration kTestTimeout = {10'000};

/** Counts events on the control thread, for which the test thread can wait. */
class Signal {
 public:
  void raise() {
    const std::lock_guard lock(mutex_);
    ++count_;
    changed_.notify_all();
  }

  bool wait_for_count(int count) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::milliseconds(kTestTimeout.ms),
                             [&] { return count_ >= count; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int count_ = 0;
};

class EchoPeer : public wire::Sidecar::Server {
 public:
  /** While `unresponsive` is set, heartbeats get no response. */
  EchoPeer(std::function<void()> on_heartbeat, const bool& unresponsive)
      : on_heartbeat_(std::move(on_heartbeat)), unresponsive_(unresponsive) {}

  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    on_heartbeat_();
    if (unresponsive_) {
      return kj::NEVER_DONE;
    }
    context.getResults().initState().setGeneration(context.getParams().getState().getGeneration());
    return kj::READY_NOW;
  }

 private:
  std::function<void()> on_heartbeat_;
  const bool& unresponsive_;  // Read and written on the control thread.
};

class NullPeer : public wire::Peer::Server {};

PeerLink::Listener make_listener(Signal& up, Signal& down) {
  return {.fill_state = [](wire::PeerState::Builder state) { state.setGeneration(7); },
          .on_state = [](wire::PeerState::Reader) {},
          .on_up = [&up] { up.raise(); },
          .on_down = [&down](std::string_view) { down.raise(); },
          .heartbeat_interval = [] { return 20_ms; }};
}

/** Accepts TCP connections in the kernel's queue and never responds. */
class UnresponsiveListener {
 public:
  UnresponsiveListener() : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    REQUIRE(::bind(descriptor_, reinterpret_cast<sockaddr*>(&address), length) == 0);
    REQUIRE(::listen(descriptor_, 16) == 0);
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
  }
  UnresponsiveListener(const UnresponsiveListener&) = delete;
  UnresponsiveListener& operator=(const UnresponsiveListener&) = delete;
  ~UnresponsiveListener() { ::close(descriptor_); }

  std::uint16_t port() const { return port_; }

 private:
  int descriptor_;
  std::uint16_t port_ = 0;
};

}  // namespace

// Guards against a link that stays down after its peer was restarted.
TEST_CASE("a link comes up and reconnects after its peer restarts", "[rpc]") {
  RpcLoop loop;
  Signal up;
  Signal down;
  std::unique_ptr<RpcTransport> transport;
  std::unique_ptr<RpcServer> server;
  std::unique_ptr<PeerLink> link;
  Endpoint endpoint{"127.0.0.1", 0};
  bool unresponsive = false;
  const auto start_server = [&] {
    server = std::make_unique<RpcServer>(
        loop, *transport, endpoint, 5_s, [&unresponsive](std::uint64_t) {
          return capnp::Capability::Client(kj::heap<EchoPeer>([] {}, unresponsive));
        });
  };
  loop.run_and_wait([&] {
    transport = std::make_unique<RpcTransport>(loop, std::nullopt);
    start_server();
    endpoint.port = server->port();
    link = std::make_unique<PeerLink>(loop, *transport, endpoint, PeerLinkOptions{},
                                      kj::heap<NullPeer>(), make_listener(up, down));
  });
  REQUIRE(up.wait_for_count(1));
  loop.run_and_wait([&] { server.reset(); });
  REQUIRE(down.wait_for_count(1));
  loop.run_and_wait([&] { start_server(); });
  CHECK(up.wait_for_count(2));
  loop.run_and_wait([&] {
    link.reset();
    server.reset();
    transport.reset();
  });
}

// Guards against keeping a connection whose peer has become unresponsive. Calls on it would wait
// forever.
TEST_CASE("the connection to a peer that becomes unresponsive is replaced", "[rpc]") {
  RpcLoop loop;
  Signal up;
  Signal down;
  bool unresponsive = false;
  std::unique_ptr<RpcTransport> transport;
  std::unique_ptr<RpcServer> server;
  std::unique_ptr<PeerLink> link;
  loop.run_and_wait([&] {
    transport = std::make_unique<RpcTransport>(loop, std::nullopt);
    server = std::make_unique<RpcServer>(
        loop, *transport, Endpoint{"127.0.0.1", 0}, 5_s, [&unresponsive](std::uint64_t) {
          return capnp::Capability::Client(kj::heap<EchoPeer>([] {}, unresponsive));
        });
    link = std::make_unique<PeerLink>(loop, *transport, Endpoint{"127.0.0.1", server->port()},
                                      PeerLinkOptions{.heartbeat_timeout = 100_ms},
                                      kj::heap<NullPeer>(), make_listener(up, down));
  });
  REQUIRE(up.wait_for_count(1));
  loop.run_and_wait([&] { unresponsive = true; });
  REQUIRE(down.wait_for_count(1));
  loop.run_and_wait([&] { unresponsive = false; });
  CHECK(up.wait_for_count(2));
  loop.run_and_wait([&] {
    link.reset();
    server.reset();
    transport.reset();
  });
}

// Guards against waiting forever for a peer whose kernel accepts connections that it does not
// serve.
TEST_CASE("a link to an unresponsive peer does not come up and keeps trying", "[rpc]") {
  const UnresponsiveListener unresponsive;
  RpcLoop loop;
  Signal up;
  Signal down;
  std::unique_ptr<RpcTransport> transport;
  std::unique_ptr<PeerLink> link;
  loop.run_and_wait([&] {
    transport = std::make_unique<RpcTransport>(loop, std::nullopt);
    link = std::make_unique<PeerLink>(loop, *transport, Endpoint{"127.0.0.1", unresponsive.port()},
                                      PeerLinkOptions{.heartbeat_timeout = 30_ms},
                                      kj::heap<NullPeer>(), make_listener(up, down));
  });
  Signal waited;
  loop.run_and_wait([&] { loop.post_after(200_ms, [&] { waited.raise(); }); });
  REQUIRE(waited.wait_for_count(1));
  loop.run_and_wait([&] {
    CHECK_FALSE(link->is_up());
    link.reset();
    transport.reset();
  });
}

// Guards against two incarnations of a sidecar that listen on the same port.
TEST_CASE("listening on a port in use fails", "[rpc]") {
  RpcLoop loop;
  loop.run_and_wait([&] {
    RpcTransport transport(loop, std::nullopt);
    auto first = transport.listen({"127.0.0.1", 0});
    const auto port = static_cast<std::uint16_t>(first->getPort());
    CHECK_THROWS(transport.listen({"127.0.0.1", port}));
  });
}

}  // namespace bluebellstep
