// Real gateway processes in front of the stand-in for the users' platform.

#ifndef BLUEBELLSTEP_TESTS_PROCESS_GATEWAY_FLEET_H_
#define BLUEBELLSTEP_TESTS_PROCESS_GATEWAY_FLEET_H_

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_client.h"
#include "tests/process/child_process.h"

namespace bluebellstep::testing {

// Default number of events in each stream of the stand-in.
inline constexpr std::uint32_t kStreamEvents = 10;

/** Options of a fleet. */
struct FleetSetup {
  std::uint32_t plain_servers = 2;
  std::uint32_t engines = 2;
  bool check_fences = false;  // Engines refuse load commands with a lower fence.
  std::uint32_t stream_events = kStreamEvents;
  std::uint32_t spare_engines = 4;         // For `POST /versions` of the stand-in.
  std::uint32_t max_body_bytes = 100'000;  // Limit in the stored configuration.
  std::string settings;                    // Lines added to each gateway's settings.
  std::string bounds;                      // Lines added to the section `bounds` of the settings.
};

/** Where a caller takes up a stream that broke off. */
struct Resumption {
  std::string request_id;  // Of the caller's attempt that brought the first event.
  std::uint64_t last_event_id = 0;
};

/** What a caller received of a stream. */
struct StreamPart {
  std::vector<std::uint64_t> event_ids;  // Of the complete events.
  std::set<std::string> versions;        // Software versions of the servers that sent them.
};

/** Runs the stand-in `fleet` and the gateways `g1`, `g2` and so on. */
class GatewayFleet {
 public:
  using Json = nlohmann::json;
  using Response = HttpClient::Response;

  /** Starts all processes and waits until the gateways are ready. Throws if a process cannot be
   * started, or if a gateway is not ready within 10 s. */
  explicit GatewayFleet(int gateways = 2, FleetSetup setup = {});
  GatewayFleet(const GatewayFleet&) = delete;
  GatewayFleet& operator=(const GatewayFleet&) = delete;
  ~GatewayFleet();

  ChildProcess& process(const std::string& name) { return *processes_.at(name); }

  /** Starts a gateway. A running one is killed first; the ports stay the same. */
  void start_gateway(const std::string& name);

  /** Port of the platform's store. */
  std::uint16_t store_port() const { return processes_.at("fleet")->port("port"); }

  /** Restarts a gateway, which uses `port` for the store from now on, also after later restarts. */
  void route_store(const std::string& gateway, std::uint16_t port);

  /** Path of a gateway's settings file. */
  std::string settings_file(const std::string& gateway) const;

  /** Returns what a process has written to its standard output. */
  std::string output(const std::string& process) const;

  /** Whether the gateway reports itself as ready within `timeout`. */
  bool wait_until_ready(const std::string& name, Duration timeout);

  /** Sends a request with the request id `id` and the API key `key`, and waits for the response. */
  Response request(const std::string& gateway,
                   const std::string& route,
                   const std::string& id,
                   const std::string& key = "key-1");

  /** Takes up a stream of the route `prompts`, and waits for the response. */
  Response resume(const std::string& gateway, const std::string& id, const Resumption& resumption);

  /** Sends a request without waiting; `on_response` is called on the HTTP thread. */
  void send(const std::string& gateway,
            const std::string& route,
            const std::string& id,
            std::function<void(Response)> on_response,
            const std::optional<Resumption>& resumption = std::nullopt);

  /** Replaces the injected faults of the stand-in; an empty object ends all of them. */
  void set_faults(const Json& faults);

  /** Returns how often the servers executed each request, by request id. */
  std::map<std::string, int> run_counts();

  /** Registers engines of `version`; those of the version `replaced` leave, and stop if `stop`. */
  void release_engines(const std::string& version,
                       const std::string& replaced = "",
                       bool stop = false,
                       int count = 2);

  /** Returns a counter of the stand-in; 0 if nothing was counted. */
  std::int64_t counter(const std::string& name);

  /** Returns how often the gateways called the store for objects of `kind`. */
  int store_calls(const std::string& kind) { return static_cast<int>(counter("calls_" + kind)); }

  /** Calls the platform's store, or another endpoint of the stand-in. No body is sent if `body` is
   * null. */
  Response call_store(const std::string& method, const std::string& path, const Json& body);

  /** Returns the body of the complete stream for the request `id` by engines of the version `v1`.
   */
  static std::string complete_stream(const std::string& id);

  /** Reads the body of a stream, complete or not. */
  static StreamPart parse_stream(std::string_view body);

  /** Returns the body of the answer to the request `id`, which starts with the name of its route.
   */
  static std::string expected_body(const std::string& id);

  /** Port at which a gateway accepts requests of callers. */
  std::uint16_t caller_port(const std::string& gateway) const { return ports_.at(gateway)[0]; }
  /** Ports for health checks, queries of other gateways and metrics. */
  std::uint16_t ready_port(const std::string& gateway) const { return ports_.at(gateway)[1]; }
  std::uint16_t peer_port(const std::string& gateway) const { return ports_.at(gateway)[2]; }
  std::uint16_t metrics_port(const std::string& gateway) const { return ports_.at(gateway)[3]; }

 private:
  HttpCall make_call(const std::string& gateway,
                     const std::string& route,
                     const std::string& id,
                     const std::string& key,
                     const std::optional<Resumption>& resumption = std::nullopt);

  FleetSetup setup_;
  std::filesystem::path folder_;
  // By gateway: ports of callers, readiness, peers and metrics.
  std::map<std::string, std::vector<std::uint16_t>> ports_;
  std::map<std::string, std::uint16_t> store_ports_;  // By gateway; of those with one of their own.
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
  HttpLoop loop_;
  HttpClient client_{loop_};
};

}  // namespace bluebellstep::testing

#endif  // BLUEBELLSTEP_TESTS_PROCESS_GATEWAY_FLEET_H_
