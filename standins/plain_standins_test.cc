// Tests of the plain service and weight store stand-ins and of the HTTP server that all stand-ins
// use.

#include <catch2/catch.hpp>

#include "http/http_client.h"
#include "standins/orders_standin.h"
#include "standins/weights_standin.h"

namespace bluebellstep {
namespace {

/** Sends requests with the idempotency key "key/1" to one stand-in. */
struct TestClient {
  explicit TestClient(HttpLoop& loop, std::uint16_t port)
      : client(loop), endpoint{"127.0.0.1", port} {}

  HttpClient::Response call(std::string method, std::string path, std::string body = "") {
    return client.send_and_wait({.endpoint = endpoint,
                                 .method = std::move(method),
                                 .path = std::move(path),
                                 .headers = {{"idempotency-key", "key/1"}},
                                 .body = std::move(body),
                                 .idle_timeout = 200_ms});
  }
  std::int64_t number(const std::string& path, const std::string& field) {
    return nlohmann::json::parse(call("GET", path).body).at(field).get<std::int64_t>();
  }

  HttpClient client;
  Endpoint endpoint;
};

bool has_failed(const HttpClient::Response& response) {
  return std::holds_alternative<HttpClient::Failed>(response.outcome);
}

}  // namespace

TEST_CASE("each order is executed and counted by its idempotency key", "[standins]") {
  HttpLoop loop;
  const OrdersStandin orders(loop, {});
  TestClient test_client(loop, orders.port());
  CHECK(test_client.call("GET", "/healthz").status == 200);
  for (int i = 1; i <= 2; ++i) {
    const auto answer = nlohmann::json::parse(test_client.call("POST", "/orders/new").body);
    CHECK(answer.at("key") == "key/1");
    CHECK(answer.at("execution") == i);
    CHECK(answer.at("reference").is_string());
  }
  CHECK(test_client.number("/executions/key%2F1", "executions") == 2);
  CHECK(test_client.number("/executions/other", "executions") == 0);
  CHECK(test_client.number("/executions", "keys") == 1);
  CHECK(test_client.number("/executions", "max") == 2);
  CHECK(test_client.number("/executions", "total") == 2);
  CHECK(test_client.number("/counters", "executions") == 2);
}

// Guards against faults that miscount executions, which would hide an order that was executed
// twice.
TEST_CASE("faults of the order service fail a request before or after its execution",
          "[standins]") {
  HttpLoop loop;
  const OrdersStandin orders(loop, {});
  TestClient test_client(loop, orders.port());
  const auto [faults, executions] = GENERATE(table<std::string, int>({
      {R"({"break_before_execution":1})", 0},
      {R"({"break_after_execution":1})", 1},
      {R"({"silent":true})", 1},
      {R"({"refuse":true})", 0},
  }));
  INFO(faults);
  CHECK(test_client.call("POST", "/faults", "no object").status == 400);
  CHECK(test_client.call("POST", "/faults", faults).status == 200);
  const auto response = test_client.call("POST", "/orders");
  CHECK((has_failed(response) || response.status == 503));
  CHECK(test_client.number("/executions/key/1", "executions") == executions);
  test_client.call("POST", "/faults", R"({"delay_ms":20})");
  CHECK(test_client.call("POST", "/orders").status == 200);
  CHECK(test_client.number("/executions/key/1", "executions") == executions + 1);
}

TEST_CASE("the weight store limits the request rate and returns a retry time", "[standins]") {
  HttpLoop loop;
  const WeightsStandin weights(loop, {.requests_per_s = 0.1, .burst = 2, .weight_bytes = 100});
  TestClient test_client(loop, weights.port());
  const std::string first = test_client.call("GET", "/weights/m/1").body;
  CHECK(first.size() == 100);
  CHECK(test_client.call("GET", "/weights/m/2").body != first);
  const auto limited = test_client.call("GET", "/weights/m/1");
  CHECK(limited.status == 429);
  CHECK(find_header(limited.headers, "retry-after") == "10");
  CHECK(test_client.call("GET", "/nothing").status == 404);
}

}  // namespace bluebellstep
