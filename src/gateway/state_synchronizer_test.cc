// Tests of what a gateway learns from the platform's store and from other gateways, against
// stand-ins of them on sockets.

#include "gateway/state_synchronizer.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "http/http_server.h"
#include "http/socket_address.h"

namespace bluebellstep {
namespace {

constexpr Duration kPatience{5000};

bool wait_until(const std::function<bool()>& condition) {
  const Clock clock;
  const Instant deadline = clock.now() + kPatience;
  while (!condition()) {
    if (clock.now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

/** A store with one gateway, one upstream and no configuration. Watches are not answered. */
class StoreStandin {
 public:
  explicit StoreStandin(HttpLoop& loop)
      : server_(loop,
                {.listen = {"127.0.0.1", 0}},
                {.on_request = [this](ExchangeId exchange, const HttpRequest& request) {
                  on_request(exchange, request);
                }}) {}

  Endpoint endpoint() const { return {"127.0.0.1", server_.port()}; }
  void set_reader(const Endpoint& reader) { reader_ = to_string(reader); }

 private:
  void on_request(ExchangeId exchange, const HttpRequest& request) {
    if (request.path.find("watch=") != std::string::npos) {
      return;
    }
    std::string items;
    if (request.method == "POST") {
      server_.respond(exchange, 201, {}, R"({"metadata":{"name":"g2","revision":1},"spec":null})");
      return;
    }
    if (request.path.find("/servers") != std::string::npos) {
      items = R"({"metadata":{"name":"o1","revision":1},"spec":{"service":"s","zone":"a",)"
              R"("address":"127.0.0.1:9","slots":4,"state":"ready"}})";
    } else if (request.path.find("gateways") != std::string::npos) {
      items = R"({"metadata":{"name":"g1","revision":1},"spec":{"zone":"a","peers":")" + reader_ +
              R"("}})";
    }
    server_.respond(exchange, 200, {},
                    R"({"items":[)" + items + R"(],"has_more":false,"current_rev":1})");
  }

  std::string reader_;
  HttpServer server_;
};

/** The gateway to follow. It always says that it regained the store a moment ago. */
class ReaderStandin {
 public:
  explicit ReaderStandin(HttpLoop& loop)
      : server_(loop,
                {.listen = {"127.0.0.1", 0}},
                {.on_request = [this](ExchangeId exchange, const HttpRequest& request) {
                  const std::lock_guard lock(mutex_);
                  ++polls_;
                  const bool is_poll = request.path.starts_with(kChangesPath);
                  server_.respond(exchange, 200, {},
                                  R"({"current":true,"age_ms":0,"store_regained_ago_ms":200,)"
                                  R"("kinds":[)" +
                                      kinds_ + R"(],"beliefs":)" + (is_poll ? beliefs_ : "[]") +
                                      "}");
                }}) {}

  Endpoint endpoint() const { return {"127.0.0.1", server_.port()}; }

  void set_kinds(std::string kinds) {
    const std::lock_guard lock(mutex_);
    kinds_ = std::move(kinds);
  }

  void set_beliefs(std::string beliefs) {
    const std::lock_guard lock(mutex_);
    beliefs_ = std::move(beliefs);
  }

  int polls() const {
    const std::lock_guard lock(mutex_);
    return polls_;
  }

 private:
  mutable std::mutex mutex_;
  std::string kinds_;           // Guarded by `mutex_`.
  std::string beliefs_ = "[]";  // Guarded by `mutex_`.
  int polls_ = 0;               // Guarded by `mutex_`.
  HttpServer server_;
};

/** A gateway that follows `reader`. */
class FollowerFixture {
 public:
  FollowerFixture() {
    store.set_reader(reader.endpoint());
    quota.set_registered({"g1", "g2"});
    loop.run_and_wait([&] {
      forwarder = std::make_unique<Forwarder>(loop, pool, metrics, "a", RetryLimits{});
      synchronizer = std::make_unique<StateSynchronizer>(loop, client, store_client, settings, pool,
                                                         quota, cache, *forwarder);
    });
  }
  ~FollowerFixture() {
    loop.run_and_wait([&] {
      synchronizer.reset();
      forwarder.reset();
    });
  }

  void start() {
    loop.run_and_wait([&] { synchronizer->start(); });
  }
  bool on_loop(const std::function<bool()>& query) {
    bool result = false;
    loop.run_and_wait([&] { result = query(); });
    return result;
  }
  // Lets the reader tell of changes of one kind, and waits until the gateway has applied them.
  void pass_on(platform::ObjectKind kind, const std::string& changes) {
    const int polls_before = reader.polls();
    reader.set_kinds(R"({"kind":)" + std::to_string(static_cast<int>(kind)) + "," + changes + "}");
    CHECK(wait_until([&] { return reader.polls() >= polls_before + 3; }));
  }

  HttpLoop stand_in_loop;
  ReaderStandin reader{stand_in_loop};
  StoreStandin store{stand_in_loop};
  HttpLoop loop;
  HttpClient client{loop};
  ObjectStoreClient store_client{loop, client};
  GatewaySettings settings{.name = "g2", .zone = "a", .store = store.endpoint()};
  Metrics metrics;
  LoadAggregator load_aggregator;
  CacheDirectory cache{load_aggregator};
  RequestQuota quota{"g2", Clock().now() - Duration{60'000}};
  UpstreamPool pool{PoolLimits{}, cache, load_aggregator, quota};
  std::unique_ptr<Forwarder> forwarder;
  std::unique_ptr<StateSynchronizer> synchronizer;
};

/** A gateway whose store has a configuration and an upstream, and fails to list one kind. */
class IncompleteListsFixture {
 public:
  IncompleteListsFixture() {
    loop.run_and_wait([&] {
      forwarder = std::make_unique<Forwarder>(loop, pool, metrics, "a", RetryLimits{});
      synchronizer = std::make_unique<StateSynchronizer>(loop, client, store_client, settings, pool,
                                                         quota, cache, *forwarder);
    });
  }
  ~IncompleteListsFixture() {
    loop.run_and_wait([&] {
      synchronizer.reset();
      forwarder.reset();
    });
  }

  void start(const std::string& failing) {
    failing_path = "/objects/" + failing;
    loop.run_and_wait([&] { synchronizer->start(); });
  }
  bool on_loop(const std::function<bool()>& query) {
    bool result = false;
    loop.run_and_wait([&] { result = query(); });
    return result;
  }
  bool received(platform::ObjectKind kind) {
    return wait_until([&] {
      return on_loop([&] { return !synchronizer->replica(kind).revision().is_absent(); });
    });
  }
  void on_store_request(ExchangeId exchange, const HttpRequest& request) {
    if (request.path.find("watch=") != std::string::npos) {
      return;
    }
    if (fails && request.path.starts_with(failing_path)) {
      store.respond(exchange, 503, {}, "");
      return;
    }
    std::string items;
    if (request.path.starts_with("/objects/config")) {
      items = R"({"metadata":{"name":"main","revision":1},)"
              R"("spec":{"version":1,"routes":[],"services":[]}})";
    } else if (request.path.starts_with("/objects/servers")) {
      items = R"({"metadata":{"name":"o1","revision":1},"spec":{"service":"s","zone":"a",)"
              R"("address":"127.0.0.1:9","slots":4,"state":"ready"}})";
    }
    store.respond(exchange, 200, {},
                  R"({"items":[)" + items + R"(],"has_more":false,"current_rev":1})");
  }

  std::string failing_path;
  std::atomic<bool> fails = true;
  HttpLoop store_loop;
  HttpServer store{store_loop,
                   {.listen = {"127.0.0.1", 0}},
                   {.on_request = [this](ExchangeId exchange, const HttpRequest& request) {
                     on_store_request(exchange, request);
                   }}};
  HttpLoop loop;
  HttpClient client{loop};
  ObjectStoreClient store_client{loop, client};
  GatewaySettings settings{.name = "g1", .zone = "a", .store = {"127.0.0.1", store.port()}};
  Metrics metrics;
  LoadAggregator load_aggregator;
  CacheDirectory cache{load_aggregator};
  RequestQuota quota{"g1", Clock().now() - Duration{60'000}};
  UpstreamPool pool{PoolLimits{}, cache, load_aggregator, quota};
  std::unique_ptr<Forwarder> forwarder;
  std::unique_ptr<StateSynchronizer> synchronizer;
};

/** Another gateway, which knows nothing newer. */
class PeerStandin {
 public:
  /** @param store_age_ms  Time since the store answered this gateway. */
  PeerStandin(HttpLoop& loop, int store_age_ms)
      : server_(loop,
                {.listen = {"127.0.0.1", 0}},
                {.on_request = [this, store_age_ms](ExchangeId exchange, const HttpRequest&) {
                  ++queries_;
                  server_.respond(exchange, 200, {},
                                  R"({"kinds":[],"returned_zones":[],"store_age_ms":)" +
                                      std::to_string(store_age_ms) + "}");
                }}) {}

  Endpoint endpoint() const { return {"127.0.0.1", server_.port()}; }
  int queries() const { return queries_; }

 private:
  std::atomic<int> queries_ = 0;
  HttpServer server_;
};

/** A gateway that the store does not serve, with three peers of which the store serves one. */
class UnservedFixture {
 public:
  UnservedFixture() {
    loop.run_and_wait([&] {
      forwarder = std::make_unique<Forwarder>(loop, pool, metrics, "a", RetryLimits{});
      synchronizer = std::make_unique<StateSynchronizer>(loop, client, store_client, settings, pool,
                                                         quota, cache, *forwarder);
      synchronizer->start();
    });
  }
  ~UnservedFixture() {
    loop.run_and_wait([&] {
      synchronizer.reset();
      forwarder.reset();
    });
  }

  HttpLoop stand_in_loop;
  HttpServer store{stand_in_loop,
                   {.listen = {"127.0.0.1", 0}},
                   {.on_request = [this](ExchangeId exchange, const HttpRequest&) {
                     store.respond(exchange, 503, {}, "");
                   }}};
  PeerStandin informed{stand_in_loop, 100};
  PeerStandin unserved_1{stand_in_loop, 20'000};
  PeerStandin unserved_2{stand_in_loop, 20'000};
  HttpLoop loop;
  HttpClient client{loop};
  ObjectStoreClient store_client{loop, client};
  GatewaySettings settings{
      .name = "g2",
      .zone = "a",
      .store = {"127.0.0.1", store.port()},
      .first_peers = {unserved_1.endpoint(), informed.endpoint(), unserved_2.endpoint()}};
  Metrics metrics;
  LoadAggregator load_aggregator;
  CacheDirectory cache{load_aggregator};
  RequestQuota quota{"g2", Clock().now() - Duration{60'000}};
  UpstreamPool pool{PoolLimits{}, cache, load_aggregator, quota};
  std::unique_ptr<Forwarder> forwarder;
  std::unique_ptr<StateSynchronizer> synchronizer;
};

}  // namespace

// Guards against configurations and target weights that take effect seconds late at a gateway that
// the store does not serve: it asked peers that the store did not serve either.
TEST_CASE_METHOD(UnservedFixture,
                 "a gateway that the store does not serve keeps to a peer that it serves",
                 "[gateway]") {
  CHECK(wait_until([&] { return informed.queries() >= 6; }));
  CHECK(unserved_1.queries() + unserved_2.queries() < 6);
}

// Guards against a gateway that has just started and sends requests to engines whose weights are
// too old, or to a zone that is out of service, since it has not received these lists yet.
TEST_CASE_METHOD(IncompleteListsFixture,
                 "a gateway serves only once it knows the target weights and the zones",
                 "[gateway]") {
  start(GENERATE(as<std::string>{}, "versions", "evacuations"));
  REQUIRE(received(platform::ObjectKind::kConfiguration));
  REQUIRE(received(platform::ObjectKind::kUpstreams));
  CHECK(on_loop([&] { return forwarder->config() == nullptr && !synchronizer->ready(); }));
  fails = false;
  CHECK(wait_until([&] { return on_loop([&] { return synchronizer->ready(); }); }));
}

// Guards against a server that has left and stays in use because the gateway that reads the store
// was cut off from it a moment ago: that expires no registration.
TEST_CASE_METHOD(
    FollowerFixture,
    "a follower drops a removed upstream at once after an outage that only its reader had",
    "[gateway]") {
  start();
  CHECK(wait_until([&] { return on_loop([&] { return synchronizer->following(); }); }));
  CHECK(on_loop([&] { return pool.contains("o1"); }));
  pass_on(platform::ObjectKind::kUpstreams,
          R"("revision":2,"objects":[],"removed":[["o1",2,"null"]])");
  CHECK_FALSE(on_loop([&] { return pool.contains("o1"); }));
}

// Guards against requests from a follower to an upstream that was removed before a restore, which
// the follower had not heard of.
TEST_CASE_METHOD(FollowerFixture,
                 "a follower retains what the gateway does that it follows",
                 "[gateway][retained]") {
  start();
  CHECK(wait_until([&] { return on_loop([&] { return synchronizer->following(); }); }));
  CHECK(on_loop([&] { return pool.contains("o1"); }));
  reader.set_beliefs(encode_beliefs({{.kind = platform::ObjectKind::kUpstreams,
                                      .beliefs = {{.name = "o1",
                                                   .reason = RetentionReason::kRemoved,
                                                   .contradicted_by = {1},
                                                   .left = Duration{60'000}}}}})
                         .dump());
  CHECK(wait_until([&] { return on_loop([&] { return !pool.contains("o1"); }); }));
}

// Guards against upstreams that count as warm because their zone was taken out of service and back
// between two answers.
TEST_CASE_METHOD(FollowerFixture,
                 "a zone that was out of service and back within one answer is noticed",
                 "[gateway][quota]") {
  start();
  CHECK(wait_until([&] { return on_loop([&] { return synchronizer->following(); }); }));
  pass_on(platform::ObjectKind::kZonesOutOfService,
          R"("revision":3,"objects":[["b",2,"null"]],"removed":[["b",3,"null"]])");
  CHECK(on_loop([&] { return !pool.cold_limit().returned_zones(Clock().now()).empty(); }));
}

// Guards against more requests than a cold upstream bears from a gateway that starts while the
// store is silent, and from one that was late to read an answer of the store: what it tells may be
// out of date.
TEST_CASE_METHOD(FollowerFixture,
                 "the zones are known from the first answer on and as of its call",
                 "[gateway][quota]") {
  const ServiceInfo service{.name = "s", .cold_requests_per_s = 33};
  Instant called_at;
  loop.run_and_wait([&] {
    const Instant now = Clock().now();
    ColdLimit::Upstream upstream;
    std::uint32_t sent = 0;
    while (sent < 100 && pool.cold_limit().allows(upstream, "a", service, 1, now)) {
      pool.cold_limit().record_sent(upstream, now);
      ++sent;
    }
    CHECK(sent == quota.part(upstream.id_hash, upstream.bound));
    synchronizer->start();
    called_at = Clock().now();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));  // The loop is late.
  });
  std::optional<ZoneView> view;
  CHECK(wait_until([&] {
    return on_loop([&] {
      view = pool.cold_limit().valid_view(called_at);
      return view.has_value();
    });
  }));
  CHECK((view && view->as_of <= called_at));
}

}  // namespace bluebellstep
