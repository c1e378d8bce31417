// Sets up the components of a gateway and runs it until it is stopped.

#include "gateway/gateway_process.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/log_event.h"
#include "gateway/caller_listener.h"
#include "gateway/forwarder.h"
#include "gateway/load_report_exchange.h"
#include "gateway/request_quota.h"
#include "gateway/rollout_driver.h"
#include "gateway/state_synchronizer.h"
#include "gateway/upstream_pool.h"
#include "http/http_client.h"
#include "http/http_loop.h"
#include "http/http_server.h"
#include "metrics/metrics.h"
#include "process/drain_process.h"
#include "process/signal_waiter.h"
#include "service_rollout/service_rollout_driver.h"
#include "stream_versions/stream_version_driver.h"

namespace bluebellstep {
namespace {

// The load balancer removes an instance after two consecutive failed health checks, one per second.
// Connections that it opened before may arrive slightly later.
constexpr Duration kBalancerDelay{2600};
// Time reserved for the exit of the process before the stop limit, at which it is killed. 700 ms
// was too short on a tenth of a CPU core.
constexpr Duration kExitReserve{1200};
// The platform allows that requests sent within 3 s of SIGTERM are cut off in the last sixth of the
// stop limit.
constexpr Duration kLastArrival{2900};
// Interval at which buffered log lines are written and delays of the event loop are recorded.
constexpr Duration kLogFlushInterval{250};
// Interval at which the upstreams of unusual speed are logged, and the number of lines at a time.
constexpr Duration kSpeedLogInterval{5000};
constexpr std::size_t kMaxLoggedSpeeds = 8;
// Shorter delays of the event loop are not logged.
constexpr Duration kMinLoggedDelay{200};
constexpr Duration kLongDelay{500};
constexpr Duration kMinLoggedSuspension{20};

PoolLimits pool_limits(const GatewaySettings& settings) {
  const GatewayBounds& bounds = settings.bounds;
  return {.cold_overage = bounds.cold_overage,
          .cold_slack = bounds.cold_slack,
          .version_limit = bounds.version_limit,
          .registrations = {.registration_interval = bounds.registration_interval},
          .load_shedding = settings.load_shedding};
}

RetryLimits retry_limits(const GatewayBounds& bounds) {
  return {.ratio = bounds.repeat_ratio,
          .fixed_retries = bounds.repeat_extra,
          .window = bounds.repeat_window};
}

CallerListenerOptions caller_options(const GatewaySettings& settings) {
  return {.memory = memory_limits(settings.memory_mb, settings.caller_memory_share),
          .max_connections = settings.caller_connections,
          .min_bytes_per_s = settings.caller_min_bytes_per_s};
}

// Most connections for health checks, and for metrics. A balancer and a scraper need some.
constexpr std::size_t kMaxReadyConnections = 64;
// Most connections of other gateways. Idle ones are closed for others, so that more gateways than
// this can ask.
constexpr std::size_t kMaxPeerConnections = 256;

// Options of a server whose requests have no bodies. With few descriptors, an eighth of those that
// callers cannot use is for each of the three.
HttpServerOptions internal_server_options(const Endpoint& listen, std::size_t max_connections) {
  constexpr std::size_t kMaxBodyBytes = 16u << 10;
  constexpr int kReceiveBufferBytes = 32 << 10;
  constexpr std::size_t kMinConnections = 4;
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    max_connections = std::min(max_connections, static_cast<std::size_t>(limit.rlim_cur) / 32);
  }
  return {.listen = listen,
          .max_body_bytes = kMaxBodyBytes,
          .max_connections = std::max(max_connections, kMinConnections),
          .receive_buffer_bytes = kReceiveBufferBytes};
}

// Everything that runs on the HTTP thread.
struct GatewayComponents {
  GatewayComponents(HttpLoop& loop, HttpClient& client, const GatewaySettings& settings)
      : store_client(loop, client),
        quota(settings.name, clock.now()),
        pool(pool_limits(settings), cache_directory, load_aggregator, quota),
        forwarder(loop, pool, metrics, settings.zone, retry_limits(settings.bounds)),
        synchronizer(loop, client, store_client, settings, pool, quota, cache_directory, forwarder),
        rollout_driver(loop, client, store_client, settings, pool),
        stream_versions(loop,
                        store_client,
                        settings,
                        metrics,
                        {.count_versions = [this] { return count_versions(); },
                         .store_answered_at = [this] { return synchronizer.store_answered_at(); },
                         .rank = [this] { return synchronizer.lease_rank(); },
                         .report_soon = [this] { load_report_exchange.report_soon(); },
                         .ask_peer = [this] { synchronizer.ask_peer(); }}),
        load_report_exchange(
            loop,
            settings.peers,
            settings.name,
            [this] { return own_load_report(); },
            [this](LoadReport report) { on_load_report(std::move(report)); }),
        caller_listener(loop, settings.callers, forwarder, caller_options(settings), &metrics) {
    forwarder.set_stream_versions(stream_versions);
    synchronizer.on_config_changed(
        [this] { stream_versions.add_services(services_with_resumable_streams()); });
    synchronizer.on_gateways_changed([this](const std::set<std::string, std::less<>>& names) {
      stream_versions.set_registered(names);
    });
    synchronizer.on_registration_lost([this] { stream_versions.on_registration_lost(); });
    synchronizer.set_version_table_callbacks(
        [this] { return stream_versions.encoded_table(); },
        [this](std::string_view table) { stream_versions.apply_encoded_table(table); });
    synchronizer.on_weights_changed([this] {
      rollout_driver.refresh();
      stream_versions.refresh();
    });
    pool.on_weights_went_back([this] { rollout_driver.refresh(); });
    synchronizer.on_peers_changed([this](std::vector<Endpoint> peers) {
      load_report_exchange.set_peers(std::move(peers));
      rollout_driver.set_lease_rank(synchronizer.lease_rank());
    });
    synchronizer.on_zone_peers_changed([this](std::vector<Endpoint> peers) {
      load_report_exchange.set_zone_peers(std::move(peers));
    });
    synchronizer.cache_event_poller().on_update(
        [this](const CacheUpdate& update) { load_report_exchange.send_to_zone(update); });
    load_report_exchange.on_cache_update([this](const CacheUpdate& update) {
      synchronizer.cache_event_poller().apply_update(update);
    });
    load_report_exchange.set_quarantine(forwarder.quarantine());
    load_report_exchange.set_quota_callbacks(
        {.make_request = [this] { return pool.cold_limit().make_quota_request(clock.now()); },
         .answer =
             [this](const QuotaRequest& request) {
               return pool.answer_quota_request(request, clock.now());
             },
         .apply =
             [this](const QuotaGrant& grant) {
               pool.cold_limit().apply_quota_grant(grant, clock.now());
             }});
    if (settings.load_shedding) {
      load_report_exchange.set_overload_policy(pool.overload_policy());
    }
    forwarder.on_prompt_crash([this] { load_report_exchange.report_soon(); });
    pool.on_loading([this] { load_report_exchange.report_soon(); });
    pool.on_prompt_sent([this](std::uint32_t tokens) { load_report_exchange.record_sent(tokens); });
    if (settings.bounds.expose_share > 0) {
      service_rollout_driver.emplace(
          loop, store_client, settings,
          ServiceRolloutDriver::Gateway{pool, forwarder, synchronizer, load_report_exchange,
                                        metrics, quota});
    }
    synchronizer.start();
    run_periodic_tasks(loop);
  }

  void apply_settings(const GatewaySettings& settings) {
    pool.set_limits(pool_limits(settings));
    forwarder.set_retry_limits(retry_limits(settings.bounds));
    synchronizer.set_first_peers(settings.first_peers);
  }

  bool ready() const {
    return synchronizer.ready() && (!service_rollout_driver || service_rollout_driver->ready());
  }

  LoadReport own_load_report() {
    const Instant now = clock.now();
    load_aggregator.remove_unresponsive(now);
    LoadReport report = pool.make_load_report(now);
    report.versions_epoch = stream_versions.epoch();
    return report;
  }

  std::map<std::string, VersionCounts, std::less<>> count_versions() const {
    std::map<std::string, VersionCounts, std::less<>> counts;
    pool.visit_registrations([&](const UpstreamRegistration& upstream) {
      counts[upstream.service][upstream.software_version] += upstream.leaving ? 0 : 1;
    });
    return counts;
  }

  std::set<std::string, std::less<>> services_with_resumable_streams() const {
    std::set<std::string, std::less<>> services;
    for (const RouteRule& route : forwarder.config()->routes) {
      if (route.kind == RequestKind::kStream && route.resumable) {
        for (const WeightedService& target : route.targets) {
          services.insert(target.service);
        }
      }
    }
    return services;
  }

  void on_load_report(LoadReport report) {
    const Instant now = clock.now();
    synchronizer.on_gateway_report(report.gateway);
    quota.on_report(report.gateway);
    stream_versions.on_report(report.gateway, report.versions_epoch);
    cache_directory.record_sent_by_peers(report.sent_segments, now);
    pool.apply_speed_reports(report, now);
    load_aggregator.apply(std::move(report), now);
  }

  void run_periodic_tasks(HttpLoop& loop) {
    record_loop_delay(loop.take_longest_delay());
    record_speeds();
    flush_stdout_log();
    loop.post_after(kLogFlushInterval, [this, &loop, alive = std::weak_ptr<bool>(alive)] {
      if (!alive.expired()) {
        run_periodic_tasks(loop);
      }
    });
  }

  void record_speeds() {
    const Instant now = clock.now();
    if (now < speeds_recorded_at + kSpeedLogInterval) {
      return;
    }
    speeds_recorded_at = now;
    const auto speeds = pool.unusual_speeds(now);
    const auto is_slow = [](const auto& speed) { return speed.factor > 1; };
    const auto slow = std::count_if(speeds.begin(), speeds.end(), is_slow);
    metrics.set("bluebellstep_gateway_slow_upstreams", static_cast<double>(slow));
    metrics.set("bluebellstep_gateway_fast_upstreams",
                static_cast<double>(speeds.size()) - static_cast<double>(slow));
    for (std::size_t i = 0; i < std::min(speeds.size(), kMaxLoggedSpeeds); ++i) {
      LogEvent event("upstream_speed");
      event.field("upstream", speeds[i].upstream_id)
          .field("time_percent", std::lround(100 * speeds[i].factor))
          .field("answers", std::lround(speeds[i].answers));
      if (speeds[i].work_time_percent) {
        event.field("reported_percent", std::lround(*speeds[i].work_time_percent));
      }
    }
  }

  // A delay is due to a pause of the process, a lack of processor time or work that takes long.
  void record_loop_delay(Duration delay) {
    const Duration suspended_time = clock.suspended() - last_suspended_time;
    if (delay < kMinLoggedDelay && suspended_time < kMinLoggedSuspension) {
      return;
    }
    last_suspended_time = last_suspended_time + suspended_time;
    metrics.count("bluebellstep_gateway_loop_delays_total",
                  delay < kLongDelay ? "below_500ms" : "from_500ms");
    LogEvent("loop_delayed", LogEvent::Severity::kWarning)
        .field("delay_ms", delay.ms)
        .field("suspended_ms", suspended_time.ms)
        .field("open_requests", static_cast<std::uint64_t>(forwarder.open_requests()));
  }

  Clock clock;
  Metrics metrics;
  LoadAggregator load_aggregator;
  CacheDirectory cache_directory{load_aggregator};
  ObjectStoreClient store_client;
  RequestQuota quota;
  UpstreamPool pool;
  Forwarder forwarder;
  StateSynchronizer synchronizer;
  RolloutDriver rollout_driver;
  StreamVersionDriver stream_versions;
  LoadReportExchange load_report_exchange;
  CallerListener caller_listener;
  std::optional<ServiceRolloutDriver> service_rollout_driver;
  Duration last_suspended_time = clock.suspended();
  Instant speeds_recorded_at;
  bool stopping = false;
  // Expires with this object; timers check it before they use the object.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

DrainTimes drain_times(const GatewaySettings& settings) {
  const Duration stop_limit = settings.bounds.stop_limit;
  DrainTimes times;
  times.balancer_delay = kBalancerDelay;
  times.abort_timeout = Duration{100};
  // At most 15% are reserved, so that requests are not cut off before the last sixth.
  const Duration reserve = std::min(kExitReserve, stop_limit * 3 / 20);
  times.stop_limit = std::max(stop_limit - reserve, kBalancerDelay + Duration{100});
  // The platform kills the process after the stop limit, and may repeat SIGTERM until then.
  times.second_stop_is_forced = false;
  return times;
}

StopTimes stop_times(const GatewaySettings& settings, Instant now) {
  const Duration end = drain_times(settings).stop_limit;
  return {.last_arrival = now + std::min(kLastArrival, end), .end = now + end};
}

// Reads the settings file if it has changed, and applies it. Invalid settings are logged and
// ignored.
void check_settings(SettingsFileWatch& settings_file,
                    const GatewaySettings& initial_settings,
                    const std::function<void(const GatewaySettings&)>& apply) {
  const auto text = settings_file.read_if_changed();
  if (!text) {
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(new_settings, parse_gateway_settings(settings_file.path(), *text));
        LogEvent("settings_reloaded")
            .field("file", settings_file.path())
            .field("needs_restart", needs_restart(initial_settings, new_settings));
        apply(new_settings);
        return {};
      },
      [](const SettingsErrors& errors) {
        LogEvent("settings_rejected", LogEvent::Severity::kError).field("why", errors.to_string());
      },
      [] {
        LogEvent("settings_rejected", LogEvent::Severity::kError)
            .field("why", "settings file cannot be read");
      });
}

// Lets freed memory return to the system. By default the C library raises the size from which a
// block is mapped on its own to that of the largest block freed so far, up to 32 MB: bodies of some
// MB then fragment the heap, which grows beyond what the account of memory counts.
void configure_allocator() {
  constexpr int kMinMappedBytes = 128 << 10;
  constexpr int kMaxFreeTopBytes = 512 << 10;
  ::mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  ::mallopt(M_TRIM_THRESHOLD, kMaxFreeTopBytes);
}

}  // namespace

int run_gateway(const GatewaySettings& settings, SettingsFileWatch settings_file) {
  configure_allocator();
  SignalWaiter signals;
  start_stdout_logging();
  HttpLoop loop;
  HttpClient client(loop);
  std::unique_ptr<GatewayComponents> components;
  const auto respond_if_running = [&components](HttpServer* server, ExchangeId exchange,
                                                const auto& respond) {
    if (components == nullptr) {
      server->respond(exchange, 503, {}, "");
    } else {
      respond();
    }
  };
  std::unique_ptr<HttpServer> ready_server;
  std::unique_ptr<HttpServer> peers_server;
  std::unique_ptr<HttpServer> metrics_server;
  loop.run_and_wait(
      [&] { components = std::make_unique<GatewayComponents>(loop, client, settings); });
  ready_server = std::make_unique<HttpServer>(
      loop, internal_server_options(settings.ready, kMaxReadyConnections),
      HttpServer::Listener{.on_request = [&](ExchangeId exchange, const HttpRequest&) {
        respond_if_running(ready_server.get(), exchange, [&] {
          const bool is_ready = !components->stopping && components->ready();
          ready_server->respond(exchange, is_ready ? 200 : 503, {}, "");
        });
      }});
  peers_server = std::make_unique<HttpServer>(
      loop, internal_server_options(settings.peers, kMaxPeerConnections),
      HttpServer::Listener{.on_request = [&](ExchangeId exchange, const HttpRequest& request) {
        respond_if_running(peers_server.get(), exchange, [&] {
          components->synchronizer.on_peer_request(request.path, [&, exchange](std::string body) {
            peers_server->respond(exchange, 200, {{"content-type", "application/json"}},
                                  std::move(body));
          });
        });
      }});
  metrics_server = std::make_unique<HttpServer>(
      loop, internal_server_options(settings.metrics, kMaxReadyConnections),
      HttpServer::Listener{.on_request = [&](ExchangeId exchange, const HttpRequest&) {
        respond_if_running(metrics_server.get(), exchange, [&] {
          metrics_server->respond(exchange, 200, {{"content-type", "text/plain"}},
                                  components->metrics.text());
        });
      }});
  std::printf("listening callers=%u peers=%u metrics=%u\n", unsigned{settings.callers.port},
              unsigned{peers_server->port()}, unsigned{metrics_server->port()});
  std::fflush(stdout);
  LogEvent("gateway_started").field("name", settings.name).field("zone", settings.zone);
  const int exit_code = drain_process(
      signals, DrainController(DrainRole::kEntry, drain_times(settings)),
      {.check_settings =
           [&] {
             check_settings(settings_file, settings, [&](const GatewaySettings& new_settings) {
               loop.run_and_wait([&] { components->apply_settings(new_settings); });
             });
           },
       .announce_leaving =
           [&] {
             LogEvent("gateway_stopping").field("name", settings.name);
             loop.run_and_wait([&] {
               components->stopping = true;
               components->forwarder.set_stopping(stop_times(settings, Clock().now()));
             });
           },
       .count_open_requests =
           [&] {
             std::size_t open = 0;
             loop.run_and_wait([&] { open = components->caller_listener.open_requests(); });
             return open;
           },
       .close_listener =
           [&] { loop.run_and_wait([&] { components->caller_listener.stop_accepting(); }); },
       .abort_requests =
           [&] { loop.run_and_wait([&] { components->forwarder.end_requests(); }); }});
  loop.run_and_wait([&] { components.reset(); });
  ready_server.reset();
  peers_server.reset();
  metrics_server.reset();
  LogEvent("gateway_stopped").field("name", settings.name).field("exit_code", exit_code);
  flush_stdout_log();
  return exit_code;
}

}  // namespace bluebellstep
