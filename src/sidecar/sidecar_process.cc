// Sets up the components of a sidecar and runs it until it is stopped.

#include "sidecar/sidecar_process.h"

#include <cstdio>
#include <memory>

#include "base/log_event.h"
#include "http/http_server.h"
#include "metrics/metrics.h"
#include "process/drain_process.h"
#include "process/operator_routes.h"
#include "process/process_runtime.h"
#include "process/process_state.h"
#include "process/signal_waiter.h"
#include "rpc/rpc_transport.h"
#include "sidecar/sidecar_core.h"
#include "sidecar/sidecar_server.h"

namespace bluebellstep {
namespace {

constexpr Duration kTickInterval = {10};

// Connections are closed after this multiple of `silence_limit`, because entry instances send
// fewer heartbeats on connections without open requests.
constexpr int kConnectionTimeoutFactor = 4;

// Number of random peers that are notified of a change immediately.
constexpr std::size_t kNotifyFanOut = 8;

/** Everything that runs on the control thread of a sidecar. */
class SidecarComponents {
 public:
  SidecarComponents(ProcessRuntime& runtime, HttpServer& server, const SidecarSettings& settings);

  void start();
  void handle(ExchangeId exchange, const HttpRequest& request);
  void set_leaving();
  void abort_all() { core_.abort_all(); }
  std::size_t open_runs() const { return core_.open_runs(); }
  std::uint16_t rpc_port() const { return rpc_server_.port(); }

 private:
  ProcessState::Listener state_listener();
  wire::Sidecar::Client make_server(std::uint64_t connection);
  void notify_peers();

  RpcLoop& loop_;
  HttpServer& server_;
  SidecarSettings settings_;
  std::uint64_t incarnation_;
  Metrics metrics_;
  RpcTransport transport_;
  // Declared before core_, whose order ledger must not start before the port is bound: a bound port
  // proves that no earlier incarnation of this slot is still running.
  RpcServer rpc_server_;
  ProcessState state_;
  SidecarCore core_;
  OperatorRoutes operator_routes_;
  bool leaving_ = false;
  kj::Promise<void> tick_task_ = nullptr;
};

SidecarComponents::SidecarComponents(ProcessRuntime& runtime,
                                     HttpServer& server,
                                     const SidecarSettings& settings)
    : loop_(runtime.control_loop),
      server_(server),
      settings_(settings),
      incarnation_(make_incarnation()),
      transport_(loop_, load_tls_keys(settings)),
      rpc_server_(loop_,
                  transport_,
                  settings.rpc_listen,
                  settings.silence_limit * kConnectionTimeoutFactor,
                  [this](std::uint64_t connection) { return make_server(connection); }),
      state_(loop_,
             runtime.platform,
             settings,
             settings.kind == UpstreamKind::kEngine ? ProcessRole::kEngineSidecar
                                                    : ProcessRole::kServiceSidecar,
             incarnation_,
             state_listener()),
      core_(loop_, runtime.client, runtime.platform, settings, incarnation_, metrics_),
      operator_routes_(server,
                       state_,
                       metrics_,
                       {.is_ready = [this] { return !leaving_; },
                        .update_metrics =
                            [this](Metrics& out) {
                              out.set("bluebellstep_open_runs",
                                      static_cast<double>(core_.open_runs()));
                            },
                        .role_status = [this] { return core_.status_document(); }}) {}

ProcessState::Listener SidecarComponents::state_listener() {
  return {.on_bundle_changed = [this](const Bundle& bundle) { core_.apply_bundle(bundle); },
          .on_zones_changed =
              [this] { core_.set_zone_in_service(state_.zones().in_service(settings_.zone)); },
          .on_peer_update_needed = [this] { notify_peers(); }};
}

wire::Sidecar::Client SidecarComponents::make_server(std::uint64_t connection) {
  return kj::heap<SidecarServer>(state_, core_,
                                 [this, connection] { rpc_server_.record_heartbeat(connection); });
}

void SidecarComponents::start() {
  state_.start();
  tick_task_ = loop_.repeat_every(kTickInterval, [this] { core_.tick(); });
}

void SidecarComponents::handle(ExchangeId exchange, const HttpRequest& request) {
  if (!operator_routes_.handle(exchange, request)) {
    respond_json(server_, exchange, 404, "{\"error\":\"no such route\"}\n");
  }
}

void SidecarComponents::set_leaving() {
  leaving_ = true;
  core_.set_leaving();
  notify_peers();
}

void SidecarComponents::notify_peers() {
  for (wire::Peer::Client& peer : state_.random_peers(kNotifyFanOut)) {
    auto call = peer.heartbeatRequest();
    auto state = call.initState();
    state_.fill_state(state);
    core_.fill_hint(state.initHint());
    call.setFrom(make_server(/*connection=*/0));
    loop_.add_background(call.send().ignoreResult());
  }
}

}  // namespace

int run_sidecar(const SidecarSettings& settings) {
  SignalWaiter signals;
  ProcessRuntime runtime(settings);
  RpcLoop& loop = runtime.control_loop;
  std::unique_ptr<SidecarComponents> components;
  HttpServer server(runtime.http_loop, {.listen = settings.http_listen},
                    {.on_request =
                         [&](ExchangeId exchange, HttpRequest request) {
                           loop.post([&, exchange, request = std::move(request)] {
                             if (components != nullptr) {
                               components->handle(exchange, request);
                             } else {
                               server.respond(exchange, 503, {}, "");
                             }
                           });
                         },
                     .on_closed = [](ExchangeId) {}});
  std::uint16_t rpc_port = 0;
  loop.run_and_wait([&] {
    components = std::make_unique<SidecarComponents>(runtime, server, settings);
    components->start();
    rpc_port = components->rpc_port();
  });
  std::printf("listening http=%u rpc=%u\n", server.port(), rpc_port);
  std::fflush(stdout);
  LogEvent("sidecar_started")
      .field("name", settings.name)
      .field("rpc_port", std::uint32_t{rpc_port});
  DrainTimes times;
  times.stop_limit = settings.stop_limit;
  const int exit_code = drain_process(
      signals, DrainController(DrainRole::kSidecar, times),
      {.announce_leaving = [&] { loop.run_and_wait([&] { components->set_leaving(); }); },
       .count_open_requests =
           [&] {
             std::size_t open = 0;
             loop.run_and_wait([&] { open = components->open_runs(); });
             return open;
           },
       // The listener of a sidecar stays open until the process exits, because entry instances
       // fetch answers over it.
       .close_listener = [] {},
       .abort_requests = [&] { loop.run_and_wait([&] { components->abort_all(); }); }});
  loop.run_and_wait([&] { components.reset(); });
  LogEvent("sidecar_stopped").field("name", settings.name).field("exit_code", exit_code);
  return exit_code;
}

}  // namespace bluebellstep
