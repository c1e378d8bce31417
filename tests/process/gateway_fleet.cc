// Configures and starts the gateways under test, and sends requests to them.

#include "tests/process/gateway_fleet.h"

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <stdexcept>
#include <system_error>
#include <utility>

#include <unistd.h>

#include "http/listening_socket.h"

namespace bluebellstep::testing {
namespace {

constexpr Duration kStartTimeout{10'000};

constexpr std::uint32_t kLowestPort = 10'000;
// Processes that run at the same time begin their search this far apart.
constexpr std::uint32_t kPortsPerProcess = 64;

// Returns the lowest port that the kernel gives to outgoing connections.
std::uint32_t lowest_ephemeral_port() {
  std::uint32_t lowest = 32'768;  // The default of Linux.
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> lowest;
  return std::max(lowest, kLowestPort + kPortsPerProcess);
}

// Returns distinct ports that were free. They are held until all are chosen. An outgoing connection
// cannot take one before it is used, but another process can bind it.
std::vector<std::uint16_t> free_ports(std::size_t count) {
  static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * kPortsPerProcess;
  const std::uint32_t range = lowest_ephemeral_port() - kLowestPort;
  std::vector<ListeningSocket> sockets;
  std::vector<std::uint16_t> ports;
  for (std::uint32_t tries = 0; ports.size() < count; ++tries) {
    const auto port = static_cast<std::uint16_t>(kLowestPort + next++ % range);
    try {
      sockets.push_back(open_listening_socket({"127.0.0.1", port}));
      ports.push_back(port);
    } catch (const std::system_error&) {
      if (tries >= range) {
        throw;
      }
    }
  }
  for (const ListeningSocket& socket : sockets) {
    ::close(socket.fd);
  }
  return ports;
}

}  // namespace

GatewayFleet::GatewayFleet(int gateways, FleetSetup setup) : setup_(std::move(setup)) {
  std::string pattern = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  folder_ = pattern;
  std::vector<std::string> arguments = {STANDINS_BINARY,
                                        "fleet",
                                        "--ip",
                                        "127.0.0.1",
                                        "--port",
                                        "0",
                                        "--events",
                                        std::to_string(setup_.stream_events),
                                        "--max-body-bytes",
                                        std::to_string(setup_.max_body_bytes),
                                        "--plain-servers",
                                        std::to_string(setup_.plain_servers),
                                        "--engines",
                                        std::to_string(setup_.engines),
                                        "--spare-engines",
                                        std::to_string(setup_.spare_engines)};
  if (setup_.check_fences) {
    arguments.emplace_back("--check-fences");
    setup_.bounds += "  engines_check_fences: true\n";
  }
  processes_["fleet"] =
      std::make_unique<ChildProcess>(std::move(arguments), (folder_ / "fleet").string());
  process("fleet").wait_for_listening();
  for (int i = 1; i <= gateways; ++i) {
    ports_["g" + std::to_string(i)] = free_ports(4);
  }
  for (const auto& [name, ports] : ports_) {
    start_gateway(name);
  }
  for (const auto& [name, ports] : ports_) {
    if (!wait_until_ready(name, kStartTimeout)) {
      throw std::runtime_error(name + " did not become ready within the timeout");
    }
  }
}

GatewayFleet::~GatewayFleet() {
  processes_.clear();
  std::error_code ignored;  // A folder left in /tmp does no harm.
  std::filesystem::remove_all(folder_, ignored);
}

void GatewayFleet::start_gateway(const std::string& name) {
  processes_.erase(name);
  const auto& ports = ports_.at(name);
  const auto at = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
  const auto routed = store_ports_.find(name);
  const std::uint16_t store_port =
      routed == store_ports_.end() ? this->store_port() : routed->second;
  const std::string file = (folder_ / (name + ".yaml")).string();
  std::string peers;
  for (const auto& [other, other_ports] : ports_) {
    peers += (peers.empty() ? "" : ",") + at(other_ports[2]);
  }
  std::ofstream(file) << "name: " << name << "\nzone: a\ncallers: " << at(ports[0])
                      << "\nready: " << at(ports[1]) << "\npeers: " << at(ports[2])
                      << "\nmetrics: " << at(ports[3]) << "\nstore: " << at(store_port)
                      << "\nfirst_peers: [" << peers << "]\n"
                      << setup_.settings << "bounds:\n  stop_limit: 8s\n"
                      << setup_.bounds;
  processes_[name] = std::make_unique<ChildProcess>(
      std::vector<std::string>{BLUEBELLSTEP_BINARY, "gateway", "--settings", file},
      (folder_ / name).string());
  process(name).wait_for_listening();
}

void GatewayFleet::route_store(const std::string& gateway, std::uint16_t port) {
  store_ports_[gateway] = port;
  start_gateway(gateway);
}

std::string GatewayFleet::settings_file(const std::string& gateway) const {
  return (folder_ / (gateway + ".yaml")).string();
}

std::string GatewayFleet::output(const std::string& process) const {
  std::ifstream file(folder_ / (process + ".out"));
  return {std::istreambuf_iterator<char>(file), {}};
}

bool GatewayFleet::wait_until_ready(const std::string& name, Duration timeout) {
  return wait_until(timeout, [&] {
    return client_.send_and_wait({.endpoint = {"127.0.0.1", ports_.at(name)[1]}, .path = "/ready"})
               .status == 200;
  });
}

HttpCall GatewayFleet::make_call(const std::string& gateway,
                                 const std::string& route,
                                 const std::string& id,
                                 const std::string& key,
                                 const std::optional<Resumption>& resumption) {
  HttpCall call{.endpoint = {"127.0.0.1", caller_port(gateway)},
                .method = route == "lookups" ? "GET" : "POST",
                .path = "/" + route + "/x"};
  call.headers = {{"request-id", id}, {"credential", key},       {"deadline-ms", "4000"},
                  {"model", "clerk"}, {"token-usage", "100,10"}, {"prompt-prefix", "1:60,2:40"}};
  if (route != "lookups") {
    call.body = "body of " + id;
  }
  if (resumption) {
    call.headers.push_back({"resumes", resumption->request_id});
    call.headers.push_back({"last-event-id", std::to_string(resumption->last_event_id)});
  }
  return call;
}

GatewayFleet::Response GatewayFleet::request(const std::string& gateway,
                                             const std::string& route,
                                             const std::string& id,
                                             const std::string& key) {
  return client_.send_and_wait(make_call(gateway, route, id, key));
}

GatewayFleet::Response GatewayFleet::resume(const std::string& gateway,
                                            const std::string& id,
                                            const Resumption& resumption) {
  return client_.send_and_wait(make_call(gateway, "prompts", id, "key-1", resumption));
}

void GatewayFleet::send(const std::string& gateway,
                        const std::string& route,
                        const std::string& id,
                        std::function<void(Response)> on_response,
                        const std::optional<Resumption>& resumption) {
  client_.send(make_call(gateway, route, id, "key-1", resumption), std::move(on_response));
}

void GatewayFleet::release_engines(const std::string& version,
                                   const std::string& replaced,
                                   bool stop,
                                   int count) {
  call_store("POST", "/versions",
             {{"service", "answers"},
              {"version", version},
              {"count", count},
              {"replaces", replaced},
              {"stop", stop}});
}

std::int64_t GatewayFleet::counter(const std::string& name) {
  return Json::parse(call_store("GET", "/counters", nullptr).body).value(name, std::int64_t{0});
}

GatewayFleet::Response GatewayFleet::call_store(const std::string& method,
                                                const std::string& path,
                                                const Json& body) {
  HttpCall call{.endpoint = {"127.0.0.1", store_port()}, .method = method, .path = path};
  call.headers = {{"content-type", "application/json"}};
  call.body = body.is_null() ? "" : body.dump();
  return client_.send_and_wait(call);
}

void GatewayFleet::set_faults(const Json& faults) {
  call_store("POST", "/faults", faults);
}

std::map<std::string, int> GatewayFleet::run_counts() {
  return Json::parse(call_store("GET", "/runs", nullptr).body).get<std::map<std::string, int>>();
}

std::string GatewayFleet::complete_stream(const std::string& id) {
  std::string body;
  for (std::uint32_t i = 1; i <= kStreamEvents; ++i) {
    body += "id: " + std::to_string(i) + "\ndata: " + id + "-" + std::to_string(i) + " v1\n\n";
  }
  return body;
}

StreamPart GatewayFleet::parse_stream(std::string_view body) {
  constexpr std::string_view kId = "id: ";
  constexpr std::string_view kEnd = "\n\n";
  StreamPart part;
  for (std::size_t at = 0, end = 0; (end = body.find(kEnd, at)) != std::string_view::npos;
       at = end + kEnd.size()) {
    const std::string_view event = body.substr(at, end - at);
    if (event.starts_with(kId)) {
      part.event_ids.push_back(std::stoull(std::string(event.substr(kId.size()))));
      part.versions.emplace(event.substr(event.rfind(' ') + 1));
    }
  }
  return part;
}

std::string GatewayFleet::expected_body(const std::string& id) {
  if (id.starts_with("orders")) {
    return "answer to " + id + " body of " + id;
  }
  return id.starts_with("lookups") ? "answer to " + id + " " : complete_stream(id);
}

}  // namespace bluebellstep::testing
