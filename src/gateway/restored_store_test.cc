// Tests of gateways whose store is restored from an older copy, against a stand-in of the store on
// sockets.

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gateway/state_synchronizer.h"
#include "http/http_server.h"

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

/** A store whose objects are set as a whole. No watch tells of a change. */
class RestorableStore {
 public:
  using Objects = std::map<std::string, std::string>;  // The items of a list, by kind.

  explicit RestorableStore(HttpLoop& loop)
      : loop_(loop),
        server_(loop,
                {.listen = {"127.0.0.1", 0}},
                {.on_request = [this](ExchangeId exchange, const HttpRequest& request) {
                  on_request(exchange, request);
                }}) {}

  RestorableStore(const RestorableStore&) = delete;
  RestorableStore& operator=(const RestorableStore&) = delete;
  ~RestorableStore() {
    loop_.run_and_wait([&] { alive_.reset(); });
  }

  Endpoint endpoint() const { return {"127.0.0.1", server_.port()}; }

  /** Replaces all objects. A later era ends the watches of the earlier one, and so does a change
   * that is heard. */
  void set(std::uint64_t era, std::uint64_t revision, Objects objects, bool heard = false) {
    loop_.run_and_wait([&] {
      const bool ends_watches = era != std::exchange(era_, era) || heard;
      revision_ = revision;
      objects_ = std::move(objects);
      if (ends_watches) {
        for (const ExchangeId watch : std::exchange(watches_, {})) {
          server_.respond(watch, 410, headers(), "");
        }
      }
    });
  }

  int registrations() const { return registrations_; }

 private:
  // Shorter than the silence by which the gateway would expect an outage.
  static constexpr Duration kWatchTime{300};

  std::vector<HttpHeader> headers() const { return {{"Store-Era", std::to_string(era_)}}; }

  void on_request(ExchangeId exchange, const HttpRequest& request) {
    if (request.path.find("watch=") != std::string::npos) {
      watches_.push_back(exchange);
      loop_.post_after(kWatchTime, [this, exchange, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired() && std::erase(watches_, exchange) > 0) {
          server_.respond(exchange, 200, headers(),
                          R"({"events":[],"current_rev":)" + std::to_string(revision_) + "}");
        }
      });
      return;
    }
    if (request.method == "POST") {
      ++registrations_;
      server_.respond(exchange, 201, headers(),
                      R"({"metadata":{"name":"g","revision":)" + std::to_string(revision_) +
                          R"(},"spec":null})");
      return;
    }
    std::string items;
    for (const auto& [kind, listed] : objects_) {
      if (request.path.starts_with("/objects/" + kind)) {
        items = listed;
      }
    }
    server_.respond(exchange, 200, headers(),
                    R"({"items":[)" + items + R"(],"has_more":false,"current_rev":)" +
                        std::to_string(revision_) + "}");
  }

  HttpLoop& loop_;
  std::uint64_t era_ = 0;
  std::uint64_t revision_ = 1;
  Objects objects_;
  std::vector<ExchangeId> watches_;
  std::atomic<int> registrations_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  HttpServer server_;
};

/** A gateway that answers its peers. */
class GatewayUnderTest {
 public:
  GatewayUnderTest(const std::string& name,
                   HttpLoop& peer_loop,
                   const Endpoint& store,
                   std::vector<Endpoint> first_peers)
      : settings{.name = name, .zone = "a", .store = store, .first_peers = std::move(first_peers)},
        quota{name, Clock().now() - Duration{60'000}},
        peers(peer_loop,
              {.listen = {"127.0.0.1", 0}},
              {.on_request = [this](ExchangeId exchange, const HttpRequest& request) {
                loop.post([this, exchange, path = request.path] {
                  if (synchronizer != nullptr) {
                    synchronizer->on_peer_request(path, [this, exchange](std::string body) {
                      peers.respond(exchange, 200, {}, std::move(body));
                    });
                  }
                });
              }}) {
    loop.run_and_wait([&] {
      forwarder = std::make_unique<Forwarder>(loop, pool, metrics, "a", RetryLimits{});
      synchronizer = std::make_unique<StateSynchronizer>(loop, client, store_client, settings, pool,
                                                         quota, cache, *forwarder);
      synchronizer->start();
    });
  }
  GatewayUnderTest(const GatewayUnderTest&) = delete;
  GatewayUnderTest& operator=(const GatewayUnderTest&) = delete;
  ~GatewayUnderTest() {
    loop.run_and_wait([&] {
      synchronizer.reset();
      forwarder.reset();
    });
  }

  bool on_loop(const std::function<bool()>& query) {
    bool result = false;
    loop.run_and_wait([&] { result = query(); });
    return result;
  }
  bool received(std::uint64_t era) {
    return wait_until([&] {
      return on_loop([&] {
        const auto& zones = synchronizer->replica(platform::ObjectKind::kZonesOutOfService);
        const auto& upstreams = synchronizer->replica(platform::ObjectKind::kUpstreams);
        const auto& gateways = synchronizer->replica(platform::ObjectKind::kGateways);
        return !zones.revision().is_absent() && zones.revision().era == era &&
               !upstreams.revision().is_absent() && upstreams.revision().era == era &&
               !gateways.revision().is_absent() && gateways.revision().era == era;
      });
    });
  }
  // Whether requests are sent to the upstream if there is no other one.
  bool uses(const std::string& upstream) {
    return on_loop([&] {
      std::vector<std::string> others;
      pool.visit_registrations([&](const UpstreamRegistration& registration) {
        if (registration.id != upstream) {
          others.push_back(registration.id);
        }
      });
      const ServiceInfo service{.name = "s", .max_connections = 100};
      const PickResult picked =
          pool.pick({.service = &service, .zone = "a", .excluded_ids = others}, Clock().now());
      return std::holds_alternative<PickedUpstream>(picked);
    });
  }
  bool has_config(std::uint64_t version) {
    return on_loop(
        [&] { return forwarder->config() != nullptr && forwarder->config()->version == version; });
  }
  Endpoint endpoint() const { return {"127.0.0.1", peers.port()}; }

  HttpLoop loop;
  HttpClient client{loop};
  ObjectStoreClient store_client{loop, client};
  GatewaySettings settings;
  Metrics metrics;
  LoadAggregator load_aggregator;
  CacheDirectory cache{load_aggregator};
  RequestQuota quota;
  UpstreamPool pool{PoolLimits{}, cache, load_aggregator, quota};
  std::unique_ptr<Forwarder> forwarder;
  std::unique_ptr<StateSynchronizer> synchronizer;
  HttpServer peers;
};

std::string item(const std::string& name, int revision, const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
         R"(},"spec":)" + spec + "}";
}

std::string server(const std::string& name,
                   int revision,
                   const std::string& state,
                   const std::string& zone = "a") {
  return item(name, revision,
              R"({"service":"s","zone":")" + zone +
                  R"(","address":"127.0.0.1:9","slots":4,"state":")" + state + R"("})");
}

std::string config(int revision, int version) {
  return item("main", revision,
              R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})");
}

struct Fixture {
  // What the store holds before the restore, and in the copy.
  const RestorableStore::Objects before = {
      {"servers", server("draining", 20, "draining") + "," + server("new", 21, "ready") + "," +
                      server("in-b", 4, "ready", "b")},
      {"config", config(23, 8)},
      {"evacuations", item("b", 22, "{}")},
      {"bluebellstep-gateways", item("g", 19, R"({"peers":"127.0.0.1:9","zone":"a"})")}};
  const RestorableStore::Objects copy = {{"servers", server("draining", 5, "ready") + "," +
                                                         server("removed", 6, "ready") + "," +
                                                         server("in-b", 4, "ready", "b")}};

  // The gateway receives the copy, and then what the store holds before the restore.
  void receive_history(GatewayUnderTest& gateway) {
    REQUIRE(gateway.received(3));
    REQUIRE(gateway.uses("removed"));
    store.set(3, 30, before, true);
    REQUIRE(wait_until([&] { return !gateway.uses("removed") && gateway.uses("new"); }));
  }

  HttpLoop stand_in_loop;
  RestorableStore store{stand_in_loop};
};

}  // namespace

// Guards against requests to an upstream that had reported that it leaves, or was removed, and to a
// zone that is out of service, because the store was restored from a copy from before that.
TEST_CASE_METHOD(Fixture,
                 "a gateway keeps to what it knew until it is written to the restored store",
                 "[gateway][retained]") {
  store.set(3, 10, copy);
  GatewayUnderTest gateway("g", stand_in_loop, store.endpoint(), {});
  receive_history(gateway);
  CHECK(gateway.uses("new"));
  CHECK_FALSE(gateway.uses("draining"));
  const int registrations = store.registrations();

  store.set(4, 10, copy);
  REQUIRE(gateway.received(4));
  CHECK_FALSE(gateway.uses("draining"));
  CHECK_FALSE(gateway.uses("removed"));
  CHECK(gateway.uses("new"));
  CHECK_FALSE(gateway.uses("in-b"));
  CHECK(gateway.has_config(8));
  // Its own registration is missing.
  CHECK(wait_until([&] { return store.registrations() > registrations; }));
  // One that did not register again is gone.
  CHECK(wait_until([&] { return !gateway.uses("new"); }));
  CHECK_FALSE(gateway.uses("draining"));

  // The store is restored once more after the upstream was written to it.
  store.set(5, 12, {{"servers", server("draining", 11, "ready")}});
  REQUIRE(gateway.received(5));
  CHECK(gateway.uses("draining"));
}

// Guards against followers that do not learn which upstreams must not be used, and against answers
// to them that carry whole configurations.
TEST_CASE_METHOD(Fixture,
                 "followers are told of retained upstreams that must not be used",
                 "[gateway][retained]") {
  store.set(3, 10, copy);
  GatewayUnderTest gateway("g", stand_in_loop, store.endpoint(), {});
  receive_history(gateway);
  store.set(4, 10, copy);
  REQUIRE(gateway.received(4));
  std::string body;
  CHECK(wait_until([&] {
    return gateway.on_loop([&] {
      gateway.synchronizer->on_peer_request(
          encode_changes_query({.known = KnownRevisions(5, StoreRevision{10, 4})}),
          [&](std::string answer) { body = std::move(answer); });
      return !body.empty();
    });
  }));
  const auto answer = decode_changes_answer(body);
  REQUIRE(answer);
  REQUIRE(answer->beliefs.size() == 1);
  CHECK(answer->beliefs[0].kind == platform::ObjectKind::kUpstreams);
  std::vector<std::string> names;
  for (const RetainedBelief& belief : answer->beliefs[0].beliefs) {
    names.push_back(belief.name);
  }
  CHECK(names == std::vector<std::string>{"draining", "removed"});
}

// Guards against requests from a gateway that was started just after a restore to an upstream of
// which all others know that it leaves.
TEST_CASE_METHOD(Fixture,
                 "a gateway that starts after a restore learns from another one what was lost",
                 "[gateway][retained]") {
  store.set(3, 10, copy);
  GatewayUnderTest old("g", stand_in_loop, store.endpoint(), {});
  receive_history(old);
  store.set(4, 10, copy);
  REQUIRE(old.received(4));
  GatewayUnderTest started("h", stand_in_loop, store.endpoint(), {old.endpoint()});
  REQUIRE(started.received(4));
  CHECK(wait_until([&] {
    return !started.uses("draining") && !started.uses("removed") && !started.uses("in-b");
  }));
  CHECK(started.uses("new"));
  CHECK(wait_until([&] { return started.has_config(8); }));
}

// Guards against requests from a gateway that heard of none of the lost changes before the restore.
TEST_CASE_METHOD(Fixture,
                 "a gateway that missed the lost changes learns of them from another one",
                 "[gateway][retained]") {
  store.set(3, 10, copy);
  GatewayUnderTest informed("g", stand_in_loop, store.endpoint(), {});
  receive_history(informed);
  store.set(3, 10, copy);
  GatewayUnderTest late("h", stand_in_loop, store.endpoint(), {});
  REQUIRE(late.received(3));
  store.set(3, 30, before);
  late.loop.run_and_wait([&] { late.synchronizer->set_first_peers({informed.endpoint()}); });
  CHECK(late.uses("draining"));
  store.set(4, 10, copy);
  REQUIRE(late.received(4));
  REQUIRE(informed.received(4));
  CHECK(wait_until([&] {
    return !late.uses("draining") && !late.uses("removed") && !late.uses("in-b") &&
           late.has_config(8);
  }));
}

}  // namespace bluebellstep
