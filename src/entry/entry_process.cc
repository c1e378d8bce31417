// Sets up the components of an entry instance and runs it until it is stopped.

#include "entry/entry_process.h"

#include <cstdio>
#include <memory>
#include <vector>

#include "base/log_event.h"
#include "entry/caller_routes.h"
#include "entry/request_runner.h"
#include "entry/upstream_links.h"
#include "http/http_server.h"
#include "metrics/metrics.h"
#include "process/drain_process.h"
#include "process/peer_server.h"
#include "process/process_runtime.h"
#include "process/process_state.h"
#include "process/signal_waiter.h"
#include "rpc/peer_link.h"

namespace bluebellstep {
namespace {

constexpr Duration kTickInterval = {10};
constexpr Duration kRestartRetryAfter = {1000};

/** Everything that runs on the control thread of an entry instance. */
class EntryComponents {
 public:
  EntryComponents(RpcLoop& loop,
                  PlatformClient& platform,
                  HttpServer& server,
                  const EntrySettings& settings);

  void start();
  void handle(ExchangeId exchange, HttpRequest request) {
    routes_.handle(exchange, std::move(request));
  }
  void on_caller_disconnected(ExchangeId exchange) { runner_.on_caller_disconnected(exchange); }
  void set_ready(bool ready) { routes_.set_ready(ready); }
  std::size_t open_requests() const { return runner_.open_requests(); }
  void abort_all(const Verdict& verdict) { runner_.abort_all(verdict); }
  std::uint16_t rpc_port() const { return rpc_server_.port(); }

 private:
  ProcessState::Listener state_listener();
  void open_peer_links(const EntrySettings& settings);
  void notify_peers();

  RpcLoop& loop_;
  Metrics metrics_;
  RpcTransport transport_;
  ProcessState state_;
  UpstreamLinks links_;
  RequestRunner runner_;
  CallerRoutes routes_;
  RpcServer rpc_server_;
  std::vector<std::unique_ptr<PeerLink>> peer_links_;  // To other entry instances.
  kj::Promise<void> tick_task_ = nullptr;
};

EntryComponents::EntryComponents(RpcLoop& loop,
                                 PlatformClient& platform,
                                 HttpServer& server,
                                 const EntrySettings& settings)
    : loop_(loop),
      transport_(loop, load_tls_keys(settings)),
      state_(loop, platform, settings, ProcessRole::kEntry, make_incarnation(), state_listener()),
      links_(loop,
             transport_,
             state_,
             kj::heap<PeerServer>(state_),
             {.on_up = [this](UpstreamId upstream) { runner_.on_link_up(upstream); },
              .on_down = [this](UpstreamId upstream) { runner_.on_link_down(upstream); }}),
      runner_(loop, links_, server, metrics_, state_.incarnation(), RequestRunnerOptions{}),
      routes_(server, state_, links_, runner_, metrics_),
      rpc_server_(loop,
                  transport_,
                  settings.rpc_listen,
                  settings.silence_limit * 4,
                  [this](std::uint64_t connection) {
                    return kj::heap<PeerServer>(
                        state_, [this, connection] { rpc_server_.record_heartbeat(connection); });
                  }) {
  open_peer_links(settings);
}

ProcessState::Listener EntryComponents::state_listener() {
  return {.on_bundle_changed =
              [this](const Bundle& bundle) {
                links_.apply_bundle(bundle);
                routes_.apply_bundle(bundle);
              },
          .on_zones_changed = [this] { links_.apply_zones(state_.zones(), Clock().now()); },
          .on_peer_update_needed = [this] { notify_peers(); }};
}

void EntryComponents::open_peer_links(const EntrySettings& settings) {
  for (const Endpoint& endpoint : settings.peers) {
    PeerLinkOptions options;
    options.heartbeat_timeout = settings.silence_limit;
    const std::size_t index = peer_links_.size();
    PeerLink::Listener listener;
    listener.fill_state = [this](wire::PeerState::Builder state) { state_.fill_state(state); };
    listener.on_state = [this, index](wire::PeerState::Reader state) {
      state_.apply_state(state, peer_links_[index]->sidecar());
    };
    listener.on_up = [] {};
    listener.on_down = [](std::string_view) {};
    listener.heartbeat_interval = [interval = settings.heartbeat_interval] { return interval; };
    peer_links_.push_back(std::make_unique<PeerLink>(
        loop_, transport_, endpoint, options, kj::heap<PeerServer>(state_), std::move(listener)));
  }
}

void EntryComponents::start() {
  state_.start();
  tick_task_ = loop_.repeat_every(kTickInterval, [this] { runner_.tick(); });
}

void EntryComponents::notify_peers() {
  links_.notify_peers();
  for (const auto& link : peer_links_) {
    link->send_heartbeat_now();
  }
}

DrainTimes drain_times(const EntrySettings& settings) {
  DrainTimes times;
  times.balancer_delay = settings.balancer_delay;
  times.stop_limit = settings.stop_limit;
  return times;
}

}  // namespace

int run_entry(const EntrySettings& settings) {
  SignalWaiter signals;
  ProcessRuntime runtime(settings);
  RpcLoop& loop = runtime.control_loop;
  std::unique_ptr<EntryComponents> components;
  HttpServer server(runtime.http_loop,
                    {.listen = settings.http_listen, .max_body_bytes = settings.max_body_bytes},
                    {.on_request =
                         [&](ExchangeId exchange, HttpRequest request) {
                           loop.post([&, exchange, request = std::move(request)]() mutable {
                             if (components == nullptr) {
                               respond_verdict(
                                   server, exchange,
                                   Verdict::not_run(Reason::kShuttingDown,
                                                    "the entry instance is starting or stopping",
                                                    kRestartRetryAfter));
                               return;
                             }
                             components->handle(exchange, std::move(request));
                           });
                         },
                     .on_closed =
                         [&](ExchangeId exchange) {
                           loop.post([&components, exchange] {
                             if (components != nullptr) {
                               components->on_caller_disconnected(exchange);
                             }
                           });
                         }});
  std::uint16_t rpc_port = 0;
  loop.run_and_wait([&] {
    components = std::make_unique<EntryComponents>(loop, runtime.platform, server, settings);
    components->start();
    rpc_port = components->rpc_port();
  });
  std::printf("listening http=%u rpc=%u\n", server.port(), rpc_port);
  std::fflush(stdout);
  LogEvent("entry_started")
      .field("name", settings.name)
      .field("http_port", std::uint32_t{server.port()});
  const int exit_code = drain_process(
      signals, DrainController(DrainRole::kEntry, drain_times(settings)),
      {.announce_leaving = [&] { loop.run_and_wait([&] { components->set_ready(false); }); },
       .count_open_requests =
           [&] {
             std::size_t open = 0;
             loop.run_and_wait([&] { open = components->open_requests(); });
             return open + server.open_exchanges();
           },
       .close_listener = [&] { server.stop_accepting(); },
       .abort_requests =
           [&] {
             loop.run_and_wait([&] {
               components->abort_all(Verdict::may_have_run(
                   Reason::kShuttingDown,
                   "the entry instance stopped before the answer was complete"));
             });
           }});
  loop.run_and_wait([&] { components.reset(); });
  LogEvent("entry_stopped").field("name", settings.name).field("exit_code", exit_code);
  return exit_code;
}

}  // namespace bluebellstep
