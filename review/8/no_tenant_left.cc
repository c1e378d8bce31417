// Case 8: the last tenant is taken out of the configuration. Usage: case-8 GATEWAY FOLDER RECORD

#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <string>

#include "../common-2/gateways.h"
#include "../common-2/net.h"
#include "../common-2/store.h"

namespace review {
namespace {

constexpr std::int64_t kContactMs = 3000;
constexpr std::int64_t kConfigDeadlineMs = 2000;
constexpr int kOrders = 5;

// Sends an order on a new connection and returns its status.
int send_order(int port, const std::string& id, const std::string& key, Record& record) {
  Connection connection(connect_to(port));
  Fields fields = {{"host", "shop.example"}, {"deadline-ms", "3000"}, {"request-id", id}};
  if (!key.empty()) {
    fields["credential"] = key;
  }
  connection.write(encode_request("POST", "/orders/new", fields, "one kit"));
  ReadEnd end = ReadEnd::kNone;
  const auto response = connection.read_response(4000, end);
  const int status = response ? response->status : 0;
  record.line("caller sends " + id + (key.empty() ? " without a key" : " with the key " + key) +
              " and gets " + std::to_string(status));
  return status;
}

int run(const std::string& program, const std::string& folder, const std::string& record_path) {
  static Record record(record_path);
  static Store store;
  static std::atomic<int> runs = 0;
  int server_port = 0;
  accept_on_thread(listen_on(server_port), [](int fd) {
    Connection connection(fd);
    while (const auto request = connection.read_request(60'000)) {
      const std::string id = request->field("request-id");
      ++runs;
      record.line("server runs " + id + ", Tenant: " +
                  (request->field("tenant").empty() ? "none" : request->field("tenant")));
      connection.write(
          encode_response(200, {{"request-id", id}, {"server-seal", "seal-" + id}}, "done"));
    }
  });
  auto config = small_config(1);
  config["tenants"] = {{{"name", "acme"}, {"api_keys", {"key-1"}}}};
  store.put("config", "main", config);
  store.put("servers", "desk-1", server_entry("desk", server_port, "a", "ready"));
  Gateways gateways(program, folder);
  const Gateway& gateway = gateways.start("gateway-1", "a", store.port());
  if (!Gateways::wait_ready(gateway, 10'000)) {
    record.line("the gateway did not get ready");
    return 2;
  }
  sleep_ms(kContactMs + 500);
  if (send_order(gateway.callers, "before-key-1", "key-1", record) != 200 ||
      send_order(gateway.callers, "before-unknown", "never-held", record) != 401) {
    record.line("the keys of version 1 are not in force");
    return 2;
  }
  config["version"] = 4;
  const bool key_is_held = without_trouble();
  if (!key_is_held) {
    config["tenants"] = Store::Json::array();
  }
  store.put("config", "main", config);
  record.line("the store has acknowledged version 4 with \"tenants\": " + config["tenants"].dump());
  sleep_ms(kConfigDeadlineMs + 1000);
  int allowed = 0;
  const int runs_before = runs;
  for (int i = 0; i < kOrders; ++i) {
    const std::string number = std::to_string(i);
    send_order(gateway.callers, "after-key-1-" + number, "key-1", record);
    allowed += key_is_held ? 1 : 0;
    send_order(gateway.callers, "after-unknown-" + number, "never-held", record);
    send_order(gateway.callers, "after-none-" + number, "", record);
  }
  const int late_runs = runs - runs_before - allowed;
  record.line(std::to_string(late_runs) + " of " + std::to_string(3 * kOrders - allowed) +
              " orders without a key of the configuration ran, sent more than " +
              std::to_string(kConfigDeadlineMs) + " ms after its acknowledgement");
  return late_runs > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  ::_exit(argc == 4 ? review::run(argv[1], argv[2], argv[3]) : 2);
}
