// Tests of the HTTP side of the cache store stand-in.

#include "standins/store_standin.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>
#include <string>

#include "http/http_client.h"

namespace bluebellstep::standins {
namespace {

using Json = nlohmann::json;

/** A store stand-in of 1,000 bytes in memory and a client for it. */
struct Bench {
  HttpClient::Response send(std::string method, std::string path, std::string body = {}) {
    HttpCall call;
    call.endpoint = {"127.0.0.1", store.port()};
    call.method = std::move(method);
    call.path = std::move(path);
    call.body = std::move(body);
    return client.send_and_wait(std::move(call));
  }

  HttpLoop loop;
  StoreStandin store{loop, {.memory = {1'000, 1'000'000}, .disk = {10'000, 100'000}}};
  HttpClient client{loop};
};

bool failed(const HttpClient::Response& response) {
  return std::holds_alternative<HttpClient::Failed>(response.outcome);
}

}  // namespace

// Guards against values changed on their way.
TEST_CASE("values are written, read and deleted over HTTP", "[standins]") {
  Bench bench;
  const std::string path = GENERATE("/blocks/k?tier=memory", "/blocks/k?tier=disk");
  const std::string value("a\0b", 3);
  CHECK(bench.send("GET", path).status == 404);
  CHECK(bench.send("PUT", path, value).status == 200);
  CHECK(bench.send("GET", path).body == value);
  CHECK(bench.send("DELETE", path).status == 200);
  CHECK(bench.send("DELETE", path).status == 404);
  CHECK(bench.send("GET", "/blocks/k?tier=tape").status == 400);
}

// Guards against a status that a fetch planner cannot use.
TEST_CASE("the status shows use and limits", "[standins]") {
  Bench bench;
  CHECK(bench.send("PUT", "/blocks/k?tier=memory", std::string(600, 'x')).status == 200);
  CHECK(bench.send("PUT", "/blocks/l?tier=memory", std::string(600, 'x')).status == 507);
  const Json status = Json::parse(bench.send("GET", "/status").body);
  CHECK(
      status.at("memory") ==
      Json(
          {{"used", 600}, {"limit", 1'000}, {"link_bytes_per_s", 1'000'000}, {"queued_bytes", 0}}));
  CHECK(status.at("disk").at("used") == 0);
}

// Guards against fault names that differ from the protocols page.
TEST_CASE("store faults show over HTTP", "[standins]") {
  Bench bench;
  const std::string path = "/blocks/k?tier=memory";
  bench.send("PUT", "/blocks/other?tier=memory", "other");
  bench.send("PUT", path, "value");
  bench.send("POST", "/faults", R"({"wrong_block":true})");
  CHECK(bench.send("GET", path).body == "other");
  bench.send("POST", "/faults", R"({"corrupt_reads":true})");
  CHECK(bench.send("GET", path).body == "vamue");
  bench.send("POST", "/faults", R"({"full":true})");
  CHECK(bench.send("PUT", path, "value").status == 507);
  bench.send("POST", "/faults", R"({"partial_writes":true})");
  CHECK(failed(bench.send("PUT", path, "1234")));
  bench.send("POST", "/faults", R"({"down":true})");
  CHECK(failed(bench.send("GET", path)));
  CHECK(failed(bench.send("GET", "/status")));
  bench.send("POST", "/faults", "{}");
  CHECK(bench.send("GET", path).body == "12");
}

}  // namespace bluebellstep::standins
