// Tests of the HTTP interface of the cache store stand-in.

#include "standins/store_standin.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>
#include <string>

#include "http/http_client.h"

namespace bluebellstep::standins {
namespace {

using Json = nlohmann::json;

/** A store stand-in of 1,000 bytes in memory and a client for it. */
struct Fixture {
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

// Guards against values that HTTP transfer changes.
TEST_CASE("values are written, read and deleted over HTTP", "[standins]") {
  Fixture fixture;
  const std::string path = GENERATE("/blocks/k?tier=memory", "/blocks/k?tier=disk");
  const std::string value("a\0b", 3);
  CHECK(fixture.send("GET", path).status == 404);
  CHECK(fixture.send("PUT", path, value).status == 200);
  CHECK(fixture.send("GET", path).body == value);
  CHECK(fixture.send("DELETE", path).status == 200);
  CHECK(fixture.send("DELETE", path).status == 404);
  CHECK(fixture.send("GET", "/blocks/k?tier=tape").status == 400);
}

// Guards against a status that lacks what a fetch planner needs.
TEST_CASE("the status reports usage and limits of each tier", "[standins]") {
  Fixture fixture;
  CHECK(fixture.send("PUT", "/blocks/k?tier=memory", std::string(600, 'x')).status == 200);
  CHECK(fixture.send("PUT", "/blocks/l?tier=memory", std::string(600, 'x')).status == 507);
  const Json status = Json::parse(fixture.send("GET", "/status").body);
  CHECK(
      status.at("memory") ==
      Json(
          {{"used", 600}, {"limit", 1'000}, {"link_bytes_per_s", 1'000'000}, {"queued_bytes", 0}}));
  CHECK(status.at("disk").at("used") == 0);
}

// Guards against fault names that differ from docs/UPSTREAM-PROTOCOLS.md.
TEST_CASE("store faults take effect over HTTP", "[standins]") {
  Fixture fixture;
  const std::string path = "/blocks/k?tier=memory";
  fixture.send("PUT", "/blocks/other?tier=memory", "other");
  fixture.send("PUT", path, "value");
  fixture.send("POST", "/faults", R"({"wrong_block":true})");
  CHECK(fixture.send("GET", path).body == "other");
  fixture.send("POST", "/faults", R"({"corrupt_reads":true})");
  CHECK(fixture.send("GET", path).body == "vamue");
  fixture.send("POST", "/faults", R"({"full":true})");
  CHECK(fixture.send("PUT", path, "value").status == 507);
  fixture.send("POST", "/faults", R"({"partial_writes":true})");
  CHECK(failed(fixture.send("PUT", path, "1234")));
  fixture.send("POST", "/faults", R"({"down":true})");
  CHECK(failed(fixture.send("GET", path)));
  CHECK(failed(fixture.send("GET", "/status")));
  fixture.send("POST", "/faults", "{}");
  CHECK(fixture.send("GET", path).body == "12");
}

}  // namespace bluebellstep::standins
