// Tests of the platform client against the platform stand-in with and without injected faults.

#include "standins/platform_standin.h"

#include <catch2/catch.hpp>
#include <future>

#include "http/http_client.h"
#include "platform/platform_client.h"

namespace bluebellstep {
namespace {

struct Fixture {
  HttpLoop loop;
  PlatformStandin standin{loop, {}};
  HttpClient http{loop};
  PlatformClient platform{http, {"127.0.0.1", standin.port()}, 300_ms};

  HttpClient::Response call(std::string method, std::string path, std::string body = "") {
    return http.send_and_wait({.endpoint = {"127.0.0.1", standin.port()},
                               .method = std::move(method),
                               .path = std::move(path),
                               .body = std::move(body)});
  }
  void set_faults(const std::string& faults) {
    CHECK(call("POST", "/faults", faults).status == 200);
  }

  template <typename Result, typename Start>
  Result wait(Start start) {
    const auto done = std::make_shared<std::promise<Result>>();
    start([done](Result result) { done->set_value(std::move(result)); });
    return done->get_future().get();
  }
  PlatformClient::ReadResult read(const std::string& key) {
    return wait<PlatformClient::ReadResult>([&](auto done) { platform.read(key, done); });
  }
  PlatformClient::WriteResult write(const std::string& key, StoreRevision at, std::string value) {
    return wait<PlatformClient::WriteResult>(
        [&](auto done) { platform.write(key, at, std::move(value), done); });
  }
  PlatformClient::WriteResult remove(const std::string& key, StoreRevision at) {
    return wait<PlatformClient::WriteResult>([&](auto done) { platform.remove(key, at, done); });
  }
  std::future<PlatformClient::ReadResult> watch(const std::string& key,
                                                StoreRevision after,
                                                Duration limit) {
    const auto done = std::make_shared<std::promise<PlatformClient::ReadResult>>();
    platform.watch(key, after, limit, [done](PlatformClient::ReadResult result) {
      done->set_value(std::move(result));
    });
    return done->get_future();
  }
  std::int64_t counter(const std::string& name) {
    return nlohmann::json::parse(call("GET", "/counters").body).value(name, std::int64_t{0});
  }
  void wait_for_counter(const std::string& name, std::int64_t value) {
    for (int i = 0; i < 5000 && counter(name) < value; ++i) {
    }
    CHECK(counter(name) == value);
  }
};

std::string value_of(const PlatformClient::ReadResult& result) {
  return std::get<std::optional<PlatformObject>>(result).value().value;
}

bool is_unavailable(const auto& result) {
  return std::holds_alternative<PlatformUnavailable>(result);
}

}  // namespace

TEST_CASE("objects are created, read, listed and deleted", "[platform]") {
  Fixture fixture;
  const std::string key = "bundle/a b%&?/\xc3\xa9";
  const std::string value = "line\n\"quoted\" " + std::string(900'000, 'v');
  const auto version = std::get<StoreRevision>(fixture.write(key, {0}, value));
  fixture.write("other", {0}, "x");
  CHECK(value_of(fixture.read(key)) == value);
  const auto listed = fixture.wait<PlatformClient::ListResult>(
      [&](auto done) { fixture.platform.list("bundle/", done); });
  const auto& objects = std::get<std::vector<PlatformObject>>(listed);
  REQUIRE(objects.size() == 1);
  CHECK(objects[0].key == key);
  CHECK(objects[0].version == version);
  CHECK(std::holds_alternative<StoreRevision>(fixture.remove(key, version)));
  CHECK_FALSE(std::get<std::optional<PlatformObject>>(fixture.read(key)));
}

// Guards against lost updates when two operators write the same object concurrently.
TEST_CASE("a write at an outdated version returns a conflict with the current object",
          "[platform]") {
  Fixture fixture;
  const auto first = std::get<StoreRevision>(fixture.write("k", {0}, "one"));
  const auto second = std::get<StoreRevision>(fixture.write("k", first, "two"));
  CHECK(second > first);
  for (const auto& result : {fixture.write("k", first, "three"), fixture.write("k", {0}, "three"),
                             fixture.remove("k", first)}) {
    const auto& conflict = std::get<VersionConflict>(result);
    CHECK(conflict.current.version == second);
    CHECK(conflict.current.value == "two");
  }
  CHECK(value_of(fixture.read("k")) == "two");
}

// Guards against a write that is reported as failed because only its response was lost.
TEST_CASE("a lost response is reported as unavailable although the write took effect",
          "[platform]") {
  Fixture fixture;
  fixture.set_faults(R"({"lose_answers":1})");
  CHECK(is_unavailable(fixture.write("k", {0}, "one")));
  CHECK(value_of(fixture.read("k")) == "one");
  CHECK(fixture.counter("lost_answers") == 1);
  CHECK(std::holds_alternative<StoreRevision>(fixture.write("other", {0}, "x")));
}

// Guards against calls that hang during an outage, and against watches that stay open when it
// starts.
TEST_CASE("an outage makes every call unavailable until it ends", "[platform]") {
  Fixture fixture;
  fixture.write("k", {0}, "one");
  auto open_watch = fixture.watch("k", {1}, 20_s);
  fixture.wait_for_counter("watches", 1);
  fixture.set_faults(R"({"down":true})");
  CHECK(is_unavailable(open_watch.get()));
  CHECK(is_unavailable(fixture.read("k")));
  CHECK(is_unavailable(fixture.write("k", {1}, "two")));
  fixture.set_faults(R"({"delay_ms":5000})");
  CHECK(is_unavailable(fixture.read("k")));
  fixture.set_faults("{}");
  CHECK(value_of(fixture.read("k")) == "one");
}

// Guards against watches that miss a change or do not end after their wait time.
TEST_CASE("a watch ends when the object changes or the wait time is over", "[platform]") {
  Fixture fixture;
  auto woken = fixture.watch("k", {0}, 20_s);
  fixture.wait_for_counter("watches", 1);
  CHECK(woken.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
  const auto version = std::get<StoreRevision>(fixture.write("k", {0}, "one"));
  CHECK(value_of(woken.get()) == "one");
  CHECK(value_of(fixture.watch("k", {0}, 20_s).get()) == "one");       // Changed already.
  CHECK(value_of(fixture.watch("k", version, 50_ms).get()) == "one");  // Unchanged.
}

// Guards against a watch without a response that has no timeout.
TEST_CASE("a watch without a response ends as unavailable", "[platform]") {
  Fixture fixture;
  fixture.set_faults(R"({"silent_watches":true})");
  auto unanswered_watch = fixture.watch("k", {0}, 50_ms);
  CHECK(is_unavailable(unanswered_watch.get()));
}

TEST_CASE("instances are listed, and changes appear after the list lag", "[platform]") {
  Fixture fixture;
  const auto instances = [&] {
    return std::get<std::vector<PlatformInstance>>(fixture.wait<PlatformClient::InstancesResult>(
        [&](auto done) { fixture.platform.list_instances(done); }));
  };
  fixture.call("PUT", "/instances/a",
               R"({"role":"engine","zone":"z1","ip":"10.0.0.1","port":80,"state":"leaving"})");
  REQUIRE(instances().size() == 1);
  CHECK(instances()[0].name == "a");
  CHECK(instances()[0].endpoint == Endpoint{"10.0.0.1", 80});
  CHECK(instances()[0].leaving);
  fixture.set_faults(R"({"instance_list_lag_ms":600000})");
  fixture.call("DELETE", "/instances/a");
  CHECK(instances().size() == 1);
}

// Guards against responses in an unexpected format that crash the client.
TEST_CASE("a response in an unexpected format is reported as unavailable", "[platform]") {
  HttpLoop loop;
  StandinServer server(loop);
  const std::string body = GENERATE(as<std::string>{}, "", "[]", "{}", "{\"key\":1,\"version\":-1}",
                                    R"({"key":"k","version":"1","value":"v"})", "{\"items\":7}");
  server.route("*", "/{*}", [&](const StandinRequest& request) {
    server.http().respond(request.exchange, 200, {}, body);
  });
  server.start({.listen = {"127.0.0.1", 0}});
  HttpClient http(loop);
  PlatformClient platform(http, {"127.0.0.1", server.port()}, 1_s);
  std::promise<bool> read;
  platform.read("k", [&](const auto& result) { read.set_value(is_unavailable(result)); });
  CHECK(read.get_future().get());
  std::promise<bool> written;
  platform.write("k", {1}, "", [&](const auto& r) { written.set_value(is_unavailable(r)); });
  CHECK(written.get_future().get());
}

}  // namespace bluebellstep
