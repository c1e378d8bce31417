// Wiring and life of a gateway.

#include "gateway/gateway_process.h"

#include <boost/leaf/handle_errors.hpp>
#include <cstdio>
#include <functional>
#include <memory>
#include <utility>

#include "base/log_event.h"
#include "gateway/caller_listener.h"
#include "gateway/forwarder.h"
#include "gateway/knowledge.h"
#include "gateway/load_gossip.h"
#include "gateway/rollout_driver.h"
#include "gateway/upstream_pool.h"
#include "http/http_client.h"
#include "http/http_loop.h"
#include "http/http_server.h"
#include "metrics/metrics.h"
#include "process/drain_process.h"
#include "process/signal_waiter.h"

namespace bluebellstep {
namespace {

// The balancer takes an instance out after two questions in a row without a good answer, one each
// second; connections that it opened before may come a little later.
constexpr Duration kBalancerDelay{2600};
// Of the time until the process is killed, the part that is left for its end. With 700 ms, a
// gateway on a machine with a tenth of a core was killed.
constexpr Duration kExitReserve{1200};
// Log lines are written together this often.
constexpr Duration kLogPause{250};

PoolLimits pool_limits(const GatewayBounds& bounds) {
  return {.cold_overage = bounds.cold_overage,
          .cold_slack = bounds.cold_slack,
          .version_limit = bounds.version_limit};
}

RepeatLimits repeat_limits(const GatewayBounds& bounds) {
  return {
      .ratio = bounds.repeat_ratio, .extra = bounds.repeat_extra, .window = bounds.repeat_window};
}

// Everything that lives on the HTTP thread.
struct GatewayParts {
  GatewayParts(HttpLoop& loop, HttpClient& client, const GatewaySettings& settings)
      : pool(pool_limits(settings.bounds), cache, board),
        forwarder(loop, pool, metrics, settings.zone, repeat_limits(settings.bounds)),
        knowledge(loop, client, settings, pool, cache, forwarder),
        rollout(loop, client, settings, pool),
        gossip(
            loop,
            settings.peers,
            settings.name,
            [this] { return report(); },
            [this](LoadReport report) { take_report(std::move(report)); }),
        callers(loop, settings.callers, forwarder) {
    knowledge.on_weights_changed([this] { rollout.update(); });
    knowledge.on_peers_changed(
        [this](std::vector<Endpoint> peers) { gossip.set_peers(std::move(peers)); });
    pool.on_prompt_sent([this](std::uint32_t tokens) { gossip.sent(tokens); });
    knowledge.start();
    flush_log(loop);
  }

  void take_settings(const GatewaySettings& settings) {
    pool.set_limits(pool_limits(settings.bounds));
    forwarder.set_repeat_limits(repeat_limits(settings.bounds));
    knowledge.set_first_peers(settings.first_peers);
  }

  LoadReport report() {
    const Instant now = clock.now();
    board.drop_silent(now);
    return pool.load_report(now);
  }

  void take_report(LoadReport report) {
    const Instant now = clock.now();
    knowledge.heard(report.gateway);
    cache.sent_by_others(report.parts, now);
    board.apply(std::move(report), now);
  }

  static void flush_log(HttpLoop& loop) {
    flush_line_output();
    loop.post_after(kLogPause, [&loop] { flush_log(loop); });
  }

  Clock clock;
  Metrics metrics;
  LoadBoard board;
  CacheDirectory cache{board};
  UpstreamPool pool;
  Forwarder forwarder;
  Knowledge knowledge;
  RolloutDriver rollout;
  LoadGossip gossip;
  CallerListener callers;
  bool stopping = false;
};

DrainTimes drain_times(const GatewaySettings& settings) {
  DrainTimes times;
  times.balancer_delay = kBalancerDelay;
  times.abort_timeout = Duration{100};
  times.stop_limit =
      std::max(settings.bounds.stop_limit - kExitReserve, kBalancerDelay + Duration{100});
  return times;
}

// Reads the settings file if it has changed. Wrong settings change nothing.
void check_settings(SettingsFileWatch& file,
                    const GatewaySettings& at_start,
                    const std::function<void(const GatewaySettings&)>& apply) {
  const auto text = file.changed();
  if (!text) {
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(next, parse_gateway_settings(file.path(), *text));
        LogEvent("settings_reloaded")
            .field("file", file.path())
            .field("needs_restart", needs_restart(at_start, next));
        apply(next);
        return {};
      },
      [](const SettingsErrors& errors) {
        LogEvent("settings_rejected", LogEvent::Severity::kError).field("why", errors.to_string());
      },
      [] {
        LogEvent("settings_rejected", LogEvent::Severity::kError).field("why", "not readable");
      });
}

}  // namespace

int run_gateway(const GatewaySettings& settings, SettingsFileWatch file) {
  SignalWaiter signals;
  start_line_output();
  HttpLoop loop;
  HttpClient client(loop);
  std::unique_ptr<GatewayParts> parts;
  const auto answer = [&parts](HttpServer* server, ExchangeId exchange, const auto& reply) {
    if (parts == nullptr) {
      server->respond(exchange, 503, {}, "");
    } else {
      reply();
    }
  };
  std::unique_ptr<HttpServer> ready;
  std::unique_ptr<HttpServer> peers;
  std::unique_ptr<HttpServer> metrics;
  loop.run_and_wait([&] { parts = std::make_unique<GatewayParts>(loop, client, settings); });
  ready = std::make_unique<HttpServer>(
      loop, HttpServerOptions{.listen = settings.ready},
      HttpServer::Listener{.on_request = [&](ExchangeId exchange, const HttpRequest&) {
        answer(ready.get(), exchange, [&] {
          const bool good = !parts->stopping && parts->knowledge.ready();
          ready->respond(exchange, good ? 200 : 503, {}, "");
        });
      }});
  peers = std::make_unique<HttpServer>(
      loop, HttpServerOptions{.listen = settings.peers},
      HttpServer::Listener{.on_request = [&](ExchangeId exchange, const HttpRequest& request) {
        answer(peers.get(), exchange, [&] {
          peers->respond(exchange, 200, {{"content-type", "application/json"}},
                         parts->knowledge.answer_peer(request.path));
        });
      }});
  metrics = std::make_unique<HttpServer>(
      loop, HttpServerOptions{.listen = settings.metrics},
      HttpServer::Listener{.on_request = [&](ExchangeId exchange, const HttpRequest&) {
        answer(metrics.get(), exchange, [&] {
          metrics->respond(exchange, 200, {{"content-type", "text/plain"}}, parts->metrics.text());
        });
      }});
  std::printf("listening callers=%u peers=%u metrics=%u\n", unsigned{settings.callers.port},
              unsigned{peers->port()}, unsigned{metrics->port()});
  std::fflush(stdout);
  LogEvent("gateway_started").field("name", settings.name).field("zone", settings.zone);
  const int exit_code = drain_process(
      signals, DrainController(DrainRole::kEntry, drain_times(settings)),
      {.check_settings =
           [&] {
             check_settings(file, settings, [&](const GatewaySettings& next) {
               loop.run_and_wait([&] { parts->take_settings(next); });
             });
           },
       .announce =
           [&] {
             LogEvent("gateway_stopping").field("name", settings.name);
             loop.run_and_wait([&] {
               parts->stopping = true;
               parts->forwarder.set_stopping();
             });
           },
       .open_work =
           [&] {
             std::size_t open = 0;
             loop.run_and_wait([&] { open = parts->callers.open_requests(); });
             return open;
           },
       .close_listener = [&] { loop.run_and_wait([&] { parts->callers.stop_accepting(); }); },
       .cut_streams = [] {}});
  loop.run_and_wait([&] { parts.reset(); });
  ready.reset();
  peers.reset();
  metrics.reset();
  LogEvent("gateway_stopped").field("name", settings.name).field("exit_code", exit_code);
  flush_line_output();
  return exit_code;
}

}  // namespace bluebellstep
