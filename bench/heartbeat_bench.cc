// Bytes on the wire and CPU time of one heartbeat and its answer, by number of zone notices, served
// costs and entry peers in each of the two; and heap bytes of an RPC connection. Both ends run on
// one thread without TLS, so times and heap bytes are those of both ends together.

#include <benchmark/benchmark.h>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstdint>
#include <string>
#include <vector>

#include "bench/heap_count.h"
#include "rpc/peer.capnp.h"

namespace bluebellstep {
namespace {

// Number of elements in the lists of a peer state.
struct StateSize {
  std::int64_t notices = 0;
  std::int64_t costs = 0;
  std::int64_t entries = 0;
};

void fill_state(wire::PeerState::Builder state, const StateSize& size) {
  state.setName("process-0001");
  state.setIncarnation(1);
  state.setZone("zone-1");
  state.setGeneration(7);
  auto notices = state.initZoneNotices(static_cast<unsigned>(size.notices));
  const std::string signature(88, 's');  // Ed25519 in base64.
  for (unsigned i = 0; i < notices.size(); ++i) {
    notices[i].setZone("zone-" + std::to_string(i));
    notices[i].setSerial(i + 1);
    notices[i].setSigner("ana");
    notices[i].setSignature(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(signature.data()), signature.size()));
  }
  auto costs = state.initServedCosts(static_cast<unsigned>(size.costs));
  for (unsigned i = 0; i < costs.size(); ++i) {
    costs[i].setAccount("account-" + std::to_string(i));
    costs[i].setCost(1000 + i);
  }
  auto entries = state.initEntryPeers(static_cast<unsigned>(size.entries));
  for (unsigned i = 0; i < entries.size(); ++i) {
    entries.set(i, "entry-" + std::to_string(i));
  }
}

// Answers each heartbeat with a state of the given size.
class AnsweringPeer final : public wire::Peer::Server {
 public:
  explicit AnsweringPeer(const StateSize& size) : size_(size) {}

  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    auto state = context.getResults().initState();
    fill_state(state, size_);
    state.initHint().initWeightVersions(1).set(0, "model-1=v1");
    return kj::READY_NOW;
  }

 private:
  StateSize size_;
};

// Forwards all calls to another stream and counts the bytes written.
class CountingStream final : public kj::AsyncIoStream {
 public:
  CountingStream(kj::Own<kj::AsyncIoStream> inner, std::uint64_t& written)
      : inner_(kj::mv(inner)), written_(written) {}

  kj::Promise<std::size_t> tryRead(void* buffer,
                                   std::size_t min_bytes,
                                   std::size_t max_bytes) override {
    return inner_->tryRead(buffer, min_bytes, max_bytes);
  }
  kj::Promise<void> write(const void* buffer, std::size_t size) override {
    written_ += size;
    return inner_->write(buffer, size);
  }
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    for (const auto& piece : pieces) {
      written_ += piece.size();
    }
    return inner_->write(pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override { return inner_->whenWriteDisconnected(); }
  void shutdownWrite() override { inner_->shutdownWrite(); }

 private:
  kj::Own<kj::AsyncIoStream> inner_;
  std::uint64_t& written_;
};

// An RPC connection with both of its ends.
struct Connection {
  Connection(kj::AsyncIoContext& io, const StateSize& size)
      : pipe(io.provider->newTwoWayPipe()),
        client_stream(kj::mv(pipe.ends[0]), sent),
        server_stream(kj::mv(pipe.ends[1]), answered),
        client_network(client_stream, capnp::rpc::twoparty::Side::CLIENT),
        server_network(server_stream, capnp::rpc::twoparty::Side::SERVER),
        client(capnp::makeRpcClient(client_network)),
        server(capnp::makeRpcServer(server_network, kj::heap<AnsweringPeer>(size))),
        server_peer(client.bootstrap(server_id()).castAs<wire::Peer>()),
        client_peer(kj::heap<AnsweringPeer>(size)) {}

  capnp::rpc::twoparty::VatId::Reader server_id() {
    auto id = id_message.initRoot<capnp::rpc::twoparty::VatId>();
    id.setSide(capnp::rpc::twoparty::Side::SERVER);
    return id;
  }

  void exchange(kj::WaitScope& scope, const StateSize& size) {
    auto request = server_peer.heartbeatRequest();
    fill_state(request.initState(), size);
    request.setFrom(client_peer);
    request.send().wait(scope);
  }

  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  capnp::MallocMessageBuilder id_message;
  kj::TwoWayPipe pipe;
  CountingStream client_stream;
  CountingStream server_stream;
  capnp::TwoPartyVatNetwork client_network;
  capnp::TwoPartyVatNetwork server_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> client;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> server;
  wire::Peer::Client server_peer;
  wire::Peer::Client client_peer;
};

void exchange_heartbeats(benchmark::State& state, const StateSize& size) {
  auto io = kj::setupAsyncIo();
  Connection connection(io, size);
  connection.exchange(io.waitScope, size);  // Also transfers the capabilities.
  const std::uint64_t sent = connection.sent;
  const std::uint64_t answered = connection.answered;
  for (auto _ : state) {
    connection.exchange(io.waitScope, size);
  }
  const auto per_heartbeat = [&](std::uint64_t bytes) {
    return static_cast<double>(bytes) / static_cast<double>(state.iterations());
  };
  state.counters["sent_bytes"] = per_heartbeat(connection.sent - sent);
  state.counters["answer_bytes"] = per_heartbeat(connection.answered - answered);
  state.counters["wire_bytes"] =
      per_heartbeat(connection.sent - sent + connection.answered - answered);
}

void heartbeat_by_notices(benchmark::State& state) {
  exchange_heartbeats(state, {.notices = state.range(0)});
}
BENCHMARK(heartbeat_by_notices)->Arg(0)->Arg(1)->Arg(2)->Arg(5);

// A sidecar reports the costs of at most 16 accounts in one answer.
void heartbeat_by_costs(benchmark::State& state) {
  exchange_heartbeats(state, {.costs = state.range(0)});
}
BENCHMARK(heartbeat_by_costs)->Arg(0)->Arg(4)->Arg(8)->Arg(16);

void heartbeat_by_entries(benchmark::State& state) {
  exchange_heartbeats(state, {.entries = state.range(0)});
}
BENCHMARK(heartbeat_by_entries)->Arg(0)->Arg(40)->Arg(120)->Arg(360);

void memory_rpc_connections(benchmark::State& state) {
  auto io = kj::setupAsyncIo();
  for (auto _ : state) {
    const HeapCount before = heap_count();
    std::vector<kj::Own<Connection>> connections;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      connections.push_back(kj::heap<Connection>(io, StateSize{}));
      connections.back()->exchange(io.waitScope, {});
    }
    const HeapCount after = heap_count();
    state.counters["heap_bytes"] = static_cast<double>(after.live_bytes - before.live_bytes);
    state.counters["allocations"] = static_cast<double>(after.allocations - before.allocations);
  }
}
BENCHMARK(memory_rpc_connections)->Arg(25)->Arg(50)->Arg(100)->Arg(200)->Iterations(3);

}  // namespace
}  // namespace bluebellstep
