// Connects, accepts connections and performs TLS handshakes.

#include "rpc/rpc_transport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>
#include <vector>

#include "base/log_event.h"

namespace bluebellstep {
namespace {

// Limit for the size of a received message, in 8-byte words: 64 MB, which is above the largest
// request body.
constexpr std::uint64_t kMaxMessageWords = 8u << 20;

capnp::ReaderOptions reader_options() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  return options;
}

// Sends small messages without waiting for the acknowledgement of earlier ones.
void disable_nagle(kj::AsyncIoStream& stream) {
  const int on = 1;
  stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

kj::TlsContext::Options tls_options(kj::TlsKeypair& pair, kj::TlsCertificate& authority) {
  kj::TlsContext::Options options;
  options.useSystemTrustStore = false;
  options.verifyClients = true;
  options.defaultKeypair = pair;
  options.trustedCertificates = kj::arrayPtr(&authority, 1);
  return options;
}

kj::Own<kj::NetworkAddress> network_address(RpcLoop& loop, const Endpoint& endpoint) {
  const bool is_ipv6 = endpoint.ip.find(':') != std::string::npos;
  sockaddr_storage storage = {};
  socklen_t length = 0;
  if (is_ipv6) {
    auto* address = reinterpret_cast<sockaddr_in6*>(&storage);
    address->sin6_family = AF_INET6;
    address->sin6_port = htons(endpoint.port);
    KJ_REQUIRE(::inet_pton(AF_INET6, endpoint.ip.c_str(), &address->sin6_addr) == 1,
               "not an IP address");
    length = sizeof(*address);
  } else {
    auto* address = reinterpret_cast<sockaddr_in*>(&storage);
    address->sin_family = AF_INET;
    address->sin_port = htons(endpoint.port);
    KJ_REQUIRE(::inet_pton(AF_INET, endpoint.ip.c_str(), &address->sin_addr) == 1,
               "not an IP address");
    length = sizeof(*address);
  }
  return loop.network().getSockaddr(&storage, length);
}

}  // namespace

RpcTransport::RpcTransport(RpcLoop& loop, const std::optional<TlsKeys>& keys) : loop_(loop) {
  if (keys.has_value()) {
    kj::TlsKeypair pair{kj::TlsPrivateKey(keys->private_key.c_str()),
                        kj::TlsCertificate(keys->certificate.c_str())};
    kj::TlsCertificate authority(keys->authority.c_str());
    tls_.emplace(tls_options(pair, authority));
  }
}

kj::Promise<kj::Own<kj::AsyncIoStream>> RpcTransport::connect(const Endpoint& endpoint,
                                                              Duration timeout) {
  auto address = network_address(loop_, endpoint);
  auto plain = address->connect();
  auto connecting = plain.attach(kj::mv(address))
                        .then([this](kj::Own<kj::AsyncIoStream>&& stream)
                                  -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
                          disable_nagle(*stream);
                          if (!tls_.has_value()) {
                            return kj::mv(stream);
                          }
                          return tls_->wrapClient(kj::mv(stream), kPeerCertificateName);
                        });
  return loop_.timer().timeoutAfter(timeout.ms * kj::MILLISECONDS, kj::mv(connecting));
}

kj::Own<kj::ConnectionReceiver> RpcTransport::listen(const Endpoint& endpoint) {
  return network_address(loop_, endpoint)->listen();
}

kj::Promise<kj::Own<kj::AsyncIoStream>> RpcTransport::accept_handshake(
    kj::Own<kj::AsyncIoStream> stream) {
  disable_nagle(*stream);
  if (!tls_.has_value()) {
    return kj::mv(stream);
  }
  return tls_->wrapServer(kj::mv(stream));
}

RpcServer::RpcServer(RpcLoop& loop,
                     RpcTransport& transport,
                     const Endpoint& listen,
                     Duration idle_timeout,
                     MakeBootstrap make_bootstrap)
    : loop_(loop),
      transport_(transport),
      idle_timeout_(idle_timeout),
      make_bootstrap_(std::move(make_bootstrap)),
      receiver_(transport.listen(listen)),
      port_(static_cast<std::uint16_t>(receiver_->getPort())),
      tasks_(*this) {
  tasks_.add(accept_loop());
  tasks_.add(idle_check_loop());
}

void RpcServer::taskFailed(kj::Exception&& exception) {
  // Lost connections are expected.
  if (exception.getType() != kj::Exception::Type::DISCONNECTED) {
    LogEvent("rpc_server_task_failed", LogEvent::Severity::kWarning)
        .field("detail", exception.getDescription().cStr());
  }
}

kj::Promise<void> RpcServer::accept_loop() {
  return receiver_->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
    tasks_.add(
        loop_.timer()
            .timeoutAfter(idle_timeout_.ms * kj::MILLISECONDS,
                          transport_.accept_handshake(kj::mv(stream)))
            .then([this](kj::Own<kj::AsyncIoStream>&& ready) { return serve(kj::mv(ready)); },
                  [](kj::Exception&& exception) {
                    LogEvent("rpc_handshake_failed", LogEvent::Severity::kWarning)
                        .field("detail", exception.getDescription().cStr());
                  }));
    return accept_loop();
  });
}

kj::Promise<void> RpcServer::serve(kj::Own<kj::AsyncIoStream> stream) {
  const std::uint64_t id = next_connection_++;
  Connection connection;
  connection.stream = kj::mv(stream);
  connection.network = kj::heap<capnp::TwoPartyVatNetwork>(
      *connection.stream, capnp::rpc::twoparty::Side::SERVER, reader_options());
  connection.rpc_system = kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(
      capnp::makeRpcServer(*connection.network, make_bootstrap_(id)));
  connection.last_heartbeat_at = clock_.now();
  auto disconnected = connection.network->onDisconnect();
  connections_.emplace(id, std::move(connection));
  return disconnected.then([this, id] { connections_.erase(id); });
}

void RpcServer::record_heartbeat(std::uint64_t connection) {
  if (const auto found = connections_.find(connection); found != connections_.end()) {
    found->second.last_heartbeat_at = clock_.now();
  }
}

kj::Promise<void> RpcServer::idle_check_loop() {
  return loop_.timer().afterDelay((idle_timeout_ / 3).ms * kj::MILLISECONDS).then([this] {
    close_idle_connections();
    return idle_check_loop();
  });
}

void RpcServer::close_idle_connections() {
  const Instant now = clock_.now();
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (now - it->second.last_heartbeat_at > idle_timeout_) {
      LogEvent("rpc_connection_silent", LogEvent::Severity::kWarning)
          .field("connection", it->first);
      it = connections_.erase(it);
    } else {
      ++it;
    }
  }
}

RpcConnection::RpcConnection(kj::Own<kj::AsyncIoStream> stream)
    : stream_(kj::mv(stream)),
      network_(kj::heap<capnp::TwoPartyVatNetwork>(*stream_,
                                                   capnp::rpc::twoparty::Side::CLIENT,
                                                   reader_options())),
      rpc_system_(kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(
          capnp::makeRpcClient(*network_))) {
  server_id_message_.initRoot<capnp::rpc::twoparty::VatId>().setSide(
      capnp::rpc::twoparty::Side::SERVER);
}

capnp::rpc::twoparty::VatId::Reader RpcConnection::server_id() {
  return server_id_message_.getRoot<capnp::rpc::twoparty::VatId>().asReader();
}

}  // namespace bluebellstep
