// Cap'n Proto RPC over TCP, optionally with mutual TLS.

#ifndef BLUEBELLSTEP_RPC_RPC_TRANSPORT_H_
#define BLUEBELLSTEP_RPC_RPC_TRANSPORT_H_

#include <capnp/rpc-twoparty.h>
#include <kj/compat/tls.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "http/http_types.h"
#include "rpc/peer.capnp.h"
#include "rpc/rpc_loop.h"

namespace bluebellstep {

/** Private key and certificates of a process, in PEM format. */
struct TlsKeys {
  // Certificate chain, own certificate first, valid for the name `kPeerCertificateName`.
  std::string certificate;
  std::string private_key;
  std::string authority;  // Certificate that must have signed the certificates of both sides.
};

/** Name in the certificate of each process. It replaces the host name, since processes are
 * connected by IP address. */
inline constexpr const char* kPeerCertificateName = "peer.bluebellstep";

/** Opens and accepts connections, with TLS if it has keys. Must be used only on the control thread.
 */
class RpcTransport {
 public:
  /** Uses TLS if `keys` is set. Throws `kj::Exception` if the keys are not valid PEM. */
  RpcTransport(RpcLoop& loop, const std::optional<TlsKeys>& keys);

  /** Connects to `endpoint`; the promise fails if that takes longer than `timeout`. */
  kj::Promise<kj::Own<kj::AsyncIoStream>> connect(const Endpoint& endpoint, Duration timeout);

  /** Binds to `endpoint` and listens. Throws `kj::Exception` if the port is in use. */
  kj::Own<kj::ConnectionReceiver> listen(const Endpoint& endpoint);

  /** Performs the server side of the TLS handshake on an accepted connection. */
  kj::Promise<kj::Own<kj::AsyncIoStream>> accept_handshake(kj::Own<kj::AsyncIoStream> stream);

 private:
  RpcLoop& loop_;
  std::optional<kj::TlsContext> tls_;
};

/**
 * Accepts RPC connections and serves one bootstrap capability on each. A connection without a
 * heartbeat for `idle_timeout` is closed, so that unresponsive peers are detected. Must be used
 * only on the control thread.
 */
class RpcServer : private kj::TaskSet::ErrorHandler {
 public:
  /** Called for each new connection. Returns the capability to serve; `connection` is the id of the
   * connection. */
  using MakeBootstrap = std::function<capnp::Capability::Client(std::uint64_t connection)>;

  /** Binds and listens. Throws `kj::Exception` if the port is in use. */
  RpcServer(RpcLoop& loop,
            RpcTransport& transport,
            const Endpoint& listen,
            Duration idle_timeout,
            MakeBootstrap make_bootstrap);

  /** The port on which the server listens. */
  std::uint16_t port() const { return port_; }

  /** Restarts the idle timeout of a connection. Must be called for each heartbeat received. */
  void record_heartbeat(std::uint64_t connection);

  /** Number of open connections. */
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyVatNetwork> network;
    kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpc_system;
    Instant last_heartbeat_at;
  };

  kj::Promise<void> accept_loop();
  kj::Promise<void> serve(kj::Own<kj::AsyncIoStream> stream);
  kj::Promise<void> idle_check_loop();
  void close_idle_connections();
  void taskFailed(kj::Exception&& exception) override;

  RpcLoop& loop_;
  RpcTransport& transport_;
  Duration idle_timeout_;
  MakeBootstrap make_bootstrap_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  std::uint16_t port_;
  Clock clock_;
  std::uint64_t next_connection_ = 1;
  std::map<std::uint64_t, Connection> connections_;
  // The last member, so that the tasks are cancelled before the others are destroyed.
  kj::TaskSet tasks_;
};

/** Client side of one RPC connection. Destroying it closes the connection. Must be used only on the
 * control thread. */
class RpcConnection {
 public:
  explicit RpcConnection(kj::Own<kj::AsyncIoStream> stream);

  /** The peer's bootstrap capability. */
  template <typename Interface>
  typename Interface::Client bootstrap() {
    return rpc_system_->bootstrap(server_id()).template castAs<Interface>();
  }

  /** Resolves when the connection is lost. */
  kj::Promise<void> on_disconnect() { return network_->onDisconnect(); }

 private:
  capnp::rpc::twoparty::VatId::Reader server_id();

  kj::Own<kj::AsyncIoStream> stream_;
  kj::Own<capnp::TwoPartyVatNetwork> network_;
  kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpc_system_;
  capnp::MallocMessageBuilder server_id_message_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_RPC_RPC_TRANSPORT_H_
