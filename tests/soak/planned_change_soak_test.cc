// Randomized soak test of real gateways under planned changes only: stops, restarts, reloads and
// changes of the configuration, which come in series and overlap. Callers keep their connections
// open and use them until the gateway closes them. Run by tools/soak.sh; excluded from default
// runs.

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/random.h"
#include "tests/process/gateway_fleet.h"
#include "tests/support/raw_socket.h"

namespace bluebellstep::testing {
namespace {

using Json = GatewayFleet::Json;

constexpr Duration kRunTime{12'000};
constexpr int kCallers = 12;
// A request that crosses the end of its connection may go unanswered if that end follows within
// this time. It must not have run.
constexpr Duration kCrossingTime{200};
// The gateways' limit on the time for a stop, with some time to exit.
constexpr Duration kMaxStopTime{9000};

void sleep_for(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** What a caller received for a request. */
struct Received {
  int status = 0;  // 0 if the connection ended before the head of a response.
  bool complete = false;
  std::string body;
  Duration time{0};  // From the last byte of the request.
};

/** Reads a response from a connection. */
class ResponseReader {
 public:
  explicit ResponseReader(RawSocket& socket) : socket_(socket) {}

  Received read() {
    Received received;
    const std::size_t head_end = read_until("\r\n\r\n", 0);
    if (head_end == std::string::npos) {
      return received;
    }
    const std::string head = bytes_.substr(0, head_end);
    received.status = std::stoi(head.substr(head.find(' ') + 1));
    must_close_ = head.find("Connection: close") != std::string::npos ||
                  head.find("connection: close") != std::string::npos;
    if (head.find("hunked") != std::string::npos) {
      read_chunks(head_end + 4, received);
      return received;
    }
    const std::size_t length = content_length(head);
    received.complete = read_to(head_end + 4 + length);
    received.body = bytes_.substr(head_end + 4, length);
    return received;
  }

  /** Whether the response announced the end of the connection. */
  bool must_close() const { return must_close_; }

 private:
  static std::size_t content_length(const std::string& head) {
    for (const std::string_view name : {"Content-Length: ", "content-length: "}) {
      if (const std::size_t found = head.find(name); found != std::string::npos) {
        return std::stoul(head.substr(found + name.size()));
      }
    }
    return 0;
  }

  bool read_more() {
    const std::string more = socket_.receive_some();
    bytes_ += more;
    return !more.empty();
  }

  std::size_t read_until(std::string_view text, std::size_t from) {
    std::size_t found = bytes_.find(text, from);
    while (found == std::string::npos && read_more()) {
      found = bytes_.find(text, from);
    }
    return found;
  }

  bool read_to(std::size_t size) {
    while (bytes_.size() < size) {
      if (!read_more()) {
        return false;
      }
    }
    return true;
  }

  void read_chunks(std::size_t at, Received& received) {
    while (true) {
      const std::size_t line_end = read_until("\r\n", at);
      if (line_end == std::string::npos) {
        return;
      }
      const std::size_t size = std::stoul(bytes_.substr(at, line_end - at), nullptr, 16);
      at = line_end + 2;
      if (!read_to(at + size + 2)) {
        return;
      }
      received.body += bytes_.substr(at, size);
      at += size + 2;
      if (size == 0) {
        received.complete = true;
        return;
      }
    }
  }

  RawSocket& socket_;
  std::string bytes_;
  bool must_close_ = false;
};

/** The requests of all callers. */
class Requests {
 public:
  void add(const std::string& id, Received received) {
    const std::lock_guard lock(mutex_);
    by_id_[id] = std::move(received);
  }

  std::map<std::string, Received> all() const {
    const std::lock_guard lock(mutex_);
    return by_id_;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, Received> by_id_;
};

/** Sends requests one after the other on a connection that it keeps. */
class Caller {
 public:
  Caller(const GatewayFleet& fleet, Requests& requests, std::uint64_t seed, int number)
      : fleet_(fleet), requests_(requests), random_(seed), number_(number) {}
  ~Caller() { stop(); }

  void stop() {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  void run() {
    while (!stopping_) {
      if (!socket_ && !connect()) {
        sleep_for(10);
        continue;
      }
      send_request();
      sleep_for(static_cast<std::int64_t>(random_.below(random_.below(10) == 0 ? 400 : 20)));
    }
  }

  bool connect() {
    try {
      socket_.emplace(RawSocket::connect(fleet_.caller_port(random_.below(2) == 0 ? "g1" : "g2")));
      return true;
    } catch (const std::runtime_error&) {
      return false;  // The gateway is restarting.
    }
  }

  void send_request() {
    static const std::vector<std::string> routes = {"orders", "lookups", "prompts", "chats"};
    const std::string& route = routes[random_.below(routes.size())];
    const std::string id =
        route + "-" + std::to_string(number_) + "-" + std::to_string(++request_count_);
    const std::string body = route == "lookups" ? "" : "body of " + id;
    const bool sent = socket_->send(
        std::string(body.empty() ? "GET" : "POST") + " /" + route +
        "/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: " + id +
        "\r\nCredential: key-1\r\nDeadline-Ms: 4000\r\nModel: clerk\r\nToken-Usage: 100,10\r\n"
        "Prompt-Prefix: 1:60,2:40\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    if (!sent) {
      socket_.reset();
      return;
    }
    const Instant sent_at = Clock().now();
    ResponseReader reader(*socket_);
    Received received = reader.read();
    received.time = Clock().now() - sent_at;
    if (!received.complete || reader.must_close()) {
      socket_.reset();
    }
    requests_.add(id, std::move(received));
  }

  const GatewayFleet& fleet_;
  Requests& requests_;
  Random random_;
  int number_;
  int request_count_ = 0;
  std::optional<RawSocket> socket_;
  std::atomic<bool> stopping_{false};
  std::thread thread_{[this] { run(); }};  // Last member, since it uses the others.
};

/** Two gateways and the changes that an operator and the platform make. */
class PlannedChanges {
 public:
  explicit PlannedChanges(std::uint64_t seed) : random_(seed) {
    fleet_.set_faults({{"delay_ms", 60}});
    for (int i = 0; i < kCallers; ++i) {
      callers_.push_back(std::make_unique<Caller>(fleet_, requests_, seed * kCallers + i, i));
    }
  }

  void run() {
    const Instant end = Clock().now() + kRunTime;
    while (Clock().now() < end) {
      make_change();
      sleep_for(static_cast<std::int64_t>(random_.below(250)));
      restart_exited(Duration{0});
    }
    restart_exited(kMaxStopTime);
    for (const auto& caller : callers_) {
      caller->stop();
    }
  }

  /** Returns a description of each violation, one per line. */
  std::string violations() {
    std::string found = found_;
    const auto run_counts = fleet_.run_counts();
    int answered = 0;
    for (const auto& [id, received] : requests_.all()) {
      const auto runs = run_counts.find(id);
      const bool ran = runs != run_counts.end();
      answered += received.complete && received.status == 200 ? 1 : 0;
      if (ran && runs->second > 1) {
        found += id + " ran " + std::to_string(runs->second) + " times\n";
      }
      if (received.status == 0 && (ran || received.time > kCrossingTime)) {
        found += id + " got no answer within " + std::to_string(received.time.ms) + " ms" +
                 (ran ? ", but ran\n" : "\n");
      }
      if (received.status != 0 && !received.complete) {
        found += id + " was cut off\n";
      }
      if (received.status == 503 && ran) {
        found += id + " was answered as not run, but ran\n";
      }
      if (received.complete && received.status != 200 && received.status != 503) {
        found += id + " got " + std::to_string(received.status) + "\n";
      }
      if (received.complete && received.status == 200 &&
          received.body != GatewayFleet::expected_body(id)) {
        found += id + " got another body: " + received.body + "\n";
      }
    }
    return answered > 0 ? found : found + "no request was answered\n";
  }

 private:
  std::string gateway() { return random_.below(2) == 0 ? "g1" : "g2"; }

  void make_change() {
    const std::string name = gateway();
    switch (random_.below(6)) {
      case 0:
      case 1:
        // At times both gateways stop. A second SIGTERM would end the process at once.
        if (!stopping_since_.contains(name) && (stopping_since_.empty() || random_.below(4) == 0)) {
          stopping_since_.emplace(name, Clock().now());
          fleet_.process(name).send_signal(SIGTERM);
        }
        return;
      case 2:
        change_settings(name);
        fleet_.process(name).send_signal(SIGHUP);
        return;
      case 3:
        if (stopping_since_.contains(name)) {
          fleet_.process(name).send_signal(SIGHUP);
        }
        return;
      default:
        change_config();
        return;
    }
  }

  // Changes the limit on the time for a stop, so that the settings are read again.
  void change_settings(const std::string& name) {
    const std::string file = fleet_.settings_file(name);
    std::ifstream in(file);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    const std::size_t limit = text.find("stop_limit: ");
    text.replace(limit, std::string::npos,
                 random_.below(2) == 0 ? "stop_limit: 7s\n" : "stop_limit: 8s\n");
    std::ofstream(file) << text;
  }

  void change_config() {
    Json spec = Json::parse(fleet_.call_store("GET", "/objects/config/main", nullptr).body)["spec"];
    spec["version"] = spec["version"].get<int>() + 1 + static_cast<int>(random_.below(3));
    for (Json& route : spec["routes"]) {
      route["timeout_ms"] = 2000 + random_.below(3000);
    }
    Json added = spec["routes"][random_.below(4)];
    added["name"] = "added-" + spec["version"].dump();
    added["path_prefix"] = "/" + added["name"].get<std::string>() + "/";
    spec["routes"].push_back(std::move(added));
    fleet_.call_store("PUT", "/objects/config/main",
                      {{"metadata", {{"name", "main"}}}, {"spec", std::move(spec)}});
  }

  // Starts the gateways that have exited. Those that are stopping get `timeout` for it.
  void restart_exited(Duration timeout) {
    for (auto entry = stopping_since_.begin(); entry != stopping_since_.end();) {
      const auto& [name, since] = *entry;
      const auto exit_code = fleet_.process(name).wait_for_exit(timeout);
      if (!exit_code) {
        if (Clock().now() > since + kMaxStopTime) {
          found_ += name + " did not stop in time\n";
        }
        ++entry;
        continue;
      }
      if (*exit_code != 0) {
        found_ += name + " exited with code " + std::to_string(*exit_code) + "\n";
      }
      fleet_.start_gateway(name);
      entry = stopping_since_.erase(entry);
    }
  }

  Random random_;
  std::map<std::string, Instant> stopping_since_;  // By gateway.
  std::string found_;
  GatewayFleet fleet_;
  Requests requests_;
  std::vector<std::unique_ptr<Caller>> callers_;
};

}  // namespace

// Guards against planned changes that cost a caller its answer, run a request twice, or answer
// "not run" for one that ran. The environment variable selects the seed.
TEST_CASE("soak: planned changes lose no request on open connections", "[.soak]") {
  const char* text = std::getenv("BLUEBELLSTEP_SOAK_SEED");
  const std::uint64_t seed = text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
  CAPTURE(seed);
  PlannedChanges changes(seed);
  changes.run();
  const std::string violations = changes.violations();
  CAPTURE(violations);
  CHECK(violations.empty());
}

}  // namespace bluebellstep::testing
