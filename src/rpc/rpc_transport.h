// TCP or mutual TLS connections that carry Cap'n Proto RPC.

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

/** Keys of a process, as PEM texts. */
struct TlsKeys {
  std::string
      certificate;  // Chain, own certificate first; valid for the name `kPeerCertificateName`.
  std::string private_key;
  std::string authority;  // Certificates of both sides must be signed by it.
};

/** Name that the certificate of each process carries. Processes are addressed by IP numbers, so
 * there is no host name. */
inline constexpr const char* kPeerCertificateName = "peer.bluebellstep";

/** Opens and accepts connections, with TLS if it has keys. Lives on the control thread. */
class RpcTransport {
 public:
  /** Throws `kj::Exception` if the keys are not valid PEM. */
  RpcTransport(RpcLoop& loop, const std::optional<TlsKeys>& keys);

  /** Connects to `endpoint`; the promise fails if that takes longer than `timeout`. */
  kj::Promise<kj::Own<kj::AsyncIoStream>> connect(const Endpoint& endpoint, Duration timeout);

  /** Binds to `endpoint` and listens. Throws `kj::Exception` if the port is taken. */
  kj::Own<kj::ConnectionReceiver> listen(const Endpoint& endpoint);

  /** Does the server side of the TLS handshake on an accepted connection. */
  kj::Promise<kj::Own<kj::AsyncIoStream>> accept_handshake(kj::Own<kj::AsyncIoStream> stream);

 private:
  RpcLoop& loop_;
  std::optional<kj::TlsContext> tls_;
};

/**
 * Accepts RPC connections and serves one bootstrap capability on each. A connection without any
 * call for `idle_timeout` is closed, so that dead callers are noticed. Lives on the control
 * thread.
 */
class RpcServer : private kj::TaskSet::ErrorHandler {
 public:
  /** Called for each new connection; returns the capability to serve. `connection` identifies the
   * connection. */
  using MakeBootstrap = std::function<capnp::Capability::Client(std::uint64_t connection)>;

  /** Listens at once. Throws `kj::Exception` if the port is taken. */
  RpcServer(RpcLoop& loop,
            RpcTransport& transport,
            const Endpoint& listen,
            Duration idle_timeout,
            MakeBootstrap make_bootstrap);

  std::uint16_t port() const { return port_; }

  /** Notes that `connection` is alive. Call it on each heartbeat received. */
  void record_heartbeat(std::uint64_t connection);

  /** Number of open connections. */
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyVatNetwork> network;
    kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpc_system;
    Instant last_heartbeat;
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
  // Last, so that the tasks are cancelled before the rest is destroyed.
  kj::TaskSet tasks_;
};

/** Client side of one RPC connection. Destroying it closes the connection. Lives on the control
 * thread. */
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
