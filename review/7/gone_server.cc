// Case 7: a server that is gone comes back into use after a cut from the store.
// Usage: case-7 GATEWAY FOLDER RECORD

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../common-2/gateways.h"
#include "../common-2/net.h"
#include "../common-2/store.h"

namespace review {
namespace {

constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kContactMs = 3000;
// The gateway is cut off from the store for this time; the site's longest `core_cut` has 5.5 s.
// After 2 s the keep-alive probes of the gateway would end its connections, which a proxy cannot
// show.
constexpr std::int64_t kCutMs = 1900;
// The server goes on for this time after its entry was removed: `drain_ms` and many seconds.
constexpr std::int64_t kLingerMs = 10'000;
constexpr std::int64_t kWorkMs = 60;
constexpr int kCallers = 6;
// The cut may end before the gateway has heard of the removal; then it is tried once more.
constexpr int kMaxRounds = 3;

/** A server of the service `desk`. */
class Desk {
 public:
  Desk(std::string id, Record& record) : id_(std::move(id)), record_(record) {
    listening_fd_ = listen_on(port_);
    accept_on_thread(listening_fd_, [this](int fd) { serve(fd); });
  }

  int port() const { return port_; }
  int runs() const { return runs_; }
  int broken_off() const { return broken_off_; }
  std::int64_t last_arrival() const { return last_arrival_; }

  /** Ends the process: nothing more is accepted, and what is in progress is broken off. */
  void exit() {
    exited_ = true;
    ::shutdown(listening_fd_, SHUT_RDWR);
    const std::lock_guard lock(mutex_);
    for (const auto& connection : connections_) {
      connection->reset();
      connection->shut_down();
    }
  }

 private:
  void serve(int fd) {
    const auto connection = std::make_shared<Connection>(fd);
    {
      const std::lock_guard lock(mutex_);
      connections_.insert(connection);
    }
    while (const auto request = connection->read_request(60'000)) {
      const std::string id = request->field("request-id");
      if (request->field("expect-instance") != id_) {
        connection->write(encode_response(421, {{"request-id", id}, {"instance-id", id_}}, ""));
        continue;
      }
      ++runs_;
      last_arrival_ = now_ms();
      record_.line(id_ + " runs " + id);
      sleep_ms(kWorkMs);
      if (exited_) {
        ++broken_off_;
        record_.line(id_ + " ends while it works on " + id);
        break;
      }
      connection->write(
          encode_response(200, {{"request-id", id}, {"server-seal", "seal-" + id}}, "done"));
    }
    const std::lock_guard lock(mutex_);
    connections_.erase(connection);
  }

  std::string id_;
  Record& record_;
  int port_ = 0;
  int listening_fd_ = -1;
  std::atomic<bool> exited_ = false;
  std::atomic<int> runs_ = 0;
  std::atomic<int> broken_off_ = 0;
  std::atomic<std::int64_t> last_arrival_ = 0;
  std::mutex mutex_;
  std::set<std::shared_ptr<Connection>> connections_;
};

/** Sends orders one after the other on a kept connection. */
void send_orders(int port, int caller, const std::atomic<bool>& stop, Record& record) {
  auto connection = std::make_unique<Connection>(connect_to(port));
  for (int i = 0; !stop; ++i) {
    const std::string id = "order-" + std::to_string(caller) + "-" + std::to_string(i);
    connection->write(encode_request("POST", "/orders/new",
                                     {{"host", "shop.example"},
                                      {"credential", "key-1"},
                                      {"deadline-ms", "3000"},
                                      {"request-id", id}},
                                     "one kit"));
    ReadEnd end = ReadEnd::kNone;
    const auto response = connection->read_response(4000, end);
    if (!response || response->status != 200) {
      record.line("caller of " + id + ": " +
                  (response ? std::to_string(response->status) : std::string("no answer")));
    }
    if (!response || response->field("connection") == "close") {
      connection = std::make_unique<Connection>(connect_to(port));
    }
    sleep_ms(20);
  }
}

/** Waits until the cut gateway has sent a watch of the servers; false if it sends none. */
bool wait_for_watch(Proxy& link) {
  static std::atomic<std::int64_t> watch_sent = 0;
  link.on_request_bytes([](const std::string& bytes) {
    if (bytes.find("/objects/servers?watch=") != std::string::npos) {
      watch_sent = now_ms();
    }
  });
  const std::int64_t last_watch = watch_sent;
  const std::int64_t end = now_ms() + 10'000;
  while (watch_sent == last_watch && now_ms() < end) {
    sleep_ms(5);
  }
  return watch_sent != last_watch;
}

/** The server `leaves` goes while the gateway is cut off. Returns how many orders reach it too
 * late; -1 if that could not be played. */
int play_round(Store& store, Proxy& link, const std::string& id, Desk& leaves, Record& record) {
  if (!wait_for_watch(link)) {
    return -1;
  }
  sleep_ms(20);
  const bool trouble = !without_trouble();
  if (trouble) {
    link.hold(true);
    record.line("gateway-1 is cut off from the store");
  }
  sleep_ms(150);
  auto entry = server_entry("desk", leaves.port(), "a", "ready");
  entry["cold_left_ms"] = 2900;
  store.put("servers", id, entry);
  record.line("the entry of " + id + " changes: it is cold again");
  sleep_ms(350);
  store.remove("servers", id);
  const std::int64_t gone_at = now_ms();
  record.line("the entry of " + id + " is removed; the store has acknowledged it");
  sleep_ms(kCutMs - 500);
  if (trouble) {
    link.hold(false);
    record.line("the link heals");
  }
  const std::int64_t judged_from = std::max(now_ms() + kContactMs, gone_at + kDrainMs) + 500;
  sleep_ms(judged_from - now_ms());
  record.line("gateway-1 is in touch again");
  const int runs_before = leaves.runs();
  sleep_ms(gone_at + kLingerMs - now_ms());
  record.line(id + " ends");
  const int late_runs = leaves.runs() - runs_before;
  leaves.exit();
  sleep_ms(1000);
  record.line(id + ": " + std::to_string(late_runs) + " orders reached it from " +
              std::to_string(judged_from - gone_at) +
              " ms after its leaving was acknowledged on, the last one " +
              std::to_string(leaves.last_arrival() - gone_at) + " ms after it; " +
              std::to_string(leaves.broken_off()) + " broken off when it ended");
  return late_runs;
}

int run(const std::string& program, const std::string& folder, const std::string& record_path) {
  static Record record(record_path);
  static Store store;
  static Proxy link(store.port());
  static std::vector<std::unique_ptr<Desk>> desks;
  store.put("config", "main", small_config(1));
  // The first one stays.
  for (int i = 1; i <= kMaxRounds + 1; ++i) {
    const std::string id = "desk-" + std::to_string(i);
    desks.push_back(std::make_unique<Desk>(id, record));
    store.put("servers", id, server_entry("desk", desks.back()->port(), "a", "ready"));
  }
  Gateways gateways(program, folder);
  // The gateway with the faster link reads the store for the other one.
  const Gateway& cut = gateways.start("gateway-1", "a", link.port(), 1000);
  const Gateway& other = gateways.start("gateway-2", "a", store.port(), 900);
  if (!Gateways::wait_ready(cut, 10'000) || !Gateways::wait_ready(other, 10'000)) {
    record.line("a gateway did not get ready");
    return 2;
  }
  static std::atomic<bool> stop = false;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&cut, i] { send_orders(cut.callers, i, stop, record); });
  }
  // The gateways get to know each other, and the traffic is steady.
  sleep_ms(9000);
  int late_runs = 0;
  for (int i = 1; i <= kMaxRounds && late_runs == 0; ++i) {
    late_runs = play_round(store, link, "desk-" + std::to_string(i + 1), *desks[i], record);
  }
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  return late_runs > 0 ? 1 : late_runs == 0 ? 0 : 2;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  ::_exit(argc == 4 ? review::run(argv[1], argv[2], argv[3]) : 2);
}
