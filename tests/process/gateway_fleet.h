// Gateways as real processes in front of the stand-in for the users' platform.

#ifndef BLUEBELLSTEP_TESTS_PROCESS_GATEWAY_FLEET_H_
#define BLUEBELLSTEP_TESTS_PROCESS_GATEWAY_FLEET_H_

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "tests/process/child_process.h"

namespace bluebellstep::testing {

/** The stand-in `fleet` and gateways `g1`, `g2`. */
class GatewayFleet {
 public:
  using Json = nlohmann::json;
  using Response = HttpClient::Response;

  /** Starts everything and waits until the gateways are ready. Throws on a failure. */
  explicit GatewayFleet(int gateways = 2);
  GatewayFleet(const GatewayFleet&) = delete;
  GatewayFleet& operator=(const GatewayFleet&) = delete;
  ~GatewayFleet();

  ChildProcess& process(const std::string& name) { return *processes_.at(name); }

  /** Starts a gateway, again if it was there before, at the same ports. */
  void start_gateway(const std::string& name);

  std::string settings_file(const std::string& gateway) const;

  /** What the process has written to standard output. */
  std::string output(const std::string& process) const;

  /** Whether the gateway says that it is ready within `limit`. */
  bool wait_until_ready(const std::string& name, Duration timeout);

  /** Sends a request with the id `id` and the caller's key, and waits for the answer. */
  Response request(const std::string& gateway,
                   const std::string& route,
                   const std::string& id,
                   const std::string& key = "key-1");

  /** Starts a request; `on_response` runs on the HTTP thread. */
  void send(const std::string& gateway,
            const std::string& route,
            const std::string& id,
            std::function<void(Response)> on_response);

  void set_faults(const Json& faults);

  /** How often the servers ran each request. */
  std::map<std::string, int> run_counts();

  /** A call to the stand-in's store. */
  Response call_store(const std::string& method, const std::string& path, const Json& body);

  /** The whole body of a stream for the request `id`. */
  static std::string complete_stream(const std::string& id);

  std::uint16_t caller_port(const std::string& gateway) const { return ports_.at(gateway)[0]; }

 private:
  HttpCall make_call(const std::string& gateway,
                     const std::string& route,
                     const std::string& id,
                     const std::string& key);

  std::filesystem::path folder_;
  std::map<std::string, std::vector<std::uint16_t>> ports_;  // Callers, ready, peers, metrics.
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
  HttpLoop loop_;
  HttpClient client_{loop_};
};

}  // namespace bluebellstep::testing

#endif  // BLUEBELLSTEP_TESTS_PROCESS_GATEWAY_FLEET_H_
