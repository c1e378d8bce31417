// Processes of gateways, and the proxy.

#include "gateways.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <thread>
#include <utility>

namespace review {
namespace {

std::string address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Whether the gateway has printed that all its servers listen.
bool listens(const Gateway& gateway) {
  std::ifstream log(gateway.log);
  std::string line;
  while (std::getline(log, line)) {
    if (line.rfind("listening ", 0) == 0) {
      return true;
    }
  }
  return false;
}

}  // namespace

Gateways::~Gateways() {
  for (const auto& gateway : gateways_) {
    ::kill(gateway->pid, SIGCONT);
    ::kill(gateway->pid, SIGKILL);
    ::waitpid(gateway->pid, nullptr, 0);
  }
}

const Gateway& Gateways::start(const std::string& name,
                               const std::string& zone,
                               int store_port,
                               double link_mbps) {
  auto gateway = std::make_unique<Gateway>();
  const std::vector<int> ports = free_ports(4);
  gateway->name = name;
  gateway->callers = ports[0];
  gateway->ready = ports[1];
  gateway->peers = ports[2];
  const std::string settings = folder_ + "/" + name + ".yaml";
  std::string first_peers;
  for (const auto& other : gateways_) {
    first_peers.append(first_peers.empty() ? "" : ",").append(address(other->peers));
  }
  std::ofstream(settings) << "name: " << name << "\nzone: " << zone
                          << "\ncallers: " << address(ports[0]) << "\nready: " << address(ports[1])
                          << "\npeers: " << address(ports[2]) << "\nmetrics: " << address(ports[3])
                          << "\nstore: " << address(store_port) << "\nfirst_peers: [" << first_peers
                          << "]\nlink_mbps: " << link_mbps
                          << "\nmemory_mb: 110\nbounds:\n  stop_limit: 8s\n"
                             "  registration_interval: 1200ms\n  lease_term: 3000ms\n"
                             "  engines_check_fences: true\n  version_limit: 10000ms\n"
                             "  repeat_ratio: 0.2\n  repeat_extra: 56\n  repeat_window: 10s\n"
                             "  cold_overage: 1.5\n  cold_slack: 5\n";
  gateway->log = folder_ + "/" + name + ".log";
  const std::string& log = gateway->log;
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    ::execl(program_.c_str(), program_.c_str(), "gateway", "--settings", settings.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  gateway->pid = pid;
  gateways_.push_back(std::move(gateway));
  return *gateways_.back();
}

bool Gateways::wait_ready(const Gateway& gateway, std::int64_t timeout_ms) {
  const std::int64_t end = now_ms() + timeout_ms;
  while (now_ms() < end && !listens(gateway)) {
    sleep_ms(20);
  }
  while (now_ms() < end) {
    const int fd = connect_to(gateway.ready);
    if (fd >= 0) {
      Connection connection(fd);
      ReadEnd read_end = ReadEnd::kNone;
      connection.write(encode_request("GET", "/ready", {{"host", "ready"}}, ""));
      const auto response = connection.read_response(1000, read_end);
      if (response && response->status == 200) {
        return true;
      }
    }
    sleep_ms(50);
  }
  return false;
}

bool Gateways::runs(const Gateway& gateway) {
  return ::waitpid(gateway.pid, nullptr, WNOHANG) == 0;
}

Proxy::Proxy(int target_port) : target_port_(target_port) {
  const int fd = listen_on(port_);
  accept_on_thread(fd, [this](int connection) { serve(connection); });
}

void Proxy::serve(int fd) {
  const int target = connect_to(target_port_);
  if (target < 0) {
    ::close(fd);
    return;
  }
  const auto client = std::make_shared<Connection>(fd);
  const auto server = std::make_shared<Connection>(target);
  std::thread([this, client, server] { pass(server, client, false); }).detach();
  pass(client, server, true);
}

void Proxy::pass(const std::shared_ptr<Connection>& from,
                 const std::shared_ptr<Connection>& to,
                 bool is_request) {
  while (true) {
    const ReadEnd end = from->fill(60'000);
    while (held_) {
      sleep_ms(2);
    }
    if (end != ReadEnd::kNone) {
      to->shut_down();
      return;
    }
    const std::string bytes = std::exchange(from->buffer(), {});
    if (is_request) {
      const std::lock_guard lock(mutex_);
      if (on_request_bytes_) {
        on_request_bytes_(bytes);
      }
    }
    if (!to->write(bytes)) {
      from->shut_down();
      return;
    }
  }
}

bool without_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value != nullptr && std::string(value) == "0";
}

}  // namespace review
