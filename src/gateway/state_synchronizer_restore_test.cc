// Tests of two gateways, of which one follows the other, while the store is restored from an older
// copy. Each has a store of its own, so that each order in which they hear of the restore can be
// played.

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>

#include "gateway/state_synchronizer.h"
#include "http/http_server.h"
#include "http/socket_address.h"
#include "tests/process/child_process.h"
#include "tests/support/log_capture.h"
#include "tests/support/restorable_store.h"

namespace bluebellstep {
namespace {

using platform::ObjectKind;
using Names = std::set<std::string>;

constexpr Duration kPatience{8000};
constexpr const char* kUpstream =
    R"({"service":"s","zone":"a","address":"127.0.0.1:9","slots":4,"state":"ready"})";
constexpr const char* kLeavingUpstream =
    R"({"service":"s","zone":"a","address":"127.0.0.1:9","slots":4,"state":"draining"})";

bool eventually(const std::function<bool()>& condition) {
  return testing::wait_until(kPatience, condition);
}

/** What the store answers to one gateway. */
class GatewayStore : public RestorableStore {
 public:
  using RestorableStore::RestorableStore;

  void put_upstream(const std::string& name) { put("servers", name, kUpstream); }
  void cut() {
    refuse("/");
    drop_watches();
  }
  void reconnect() { refuse(""); }
};

/** A gateway without callers, which answers its peers. */
class GatewayUnderTest {
 public:
  GatewayUnderTest(std::string name, const Endpoint& store)
      : settings{.name = std::move(name),
                 .zone = "a",
                 .peers = {"127.0.0.1", peers_server.port()},
                 .store = store} {
    loop.run_and_wait([&] {
      forwarder = std::make_unique<Forwarder>(loop, pool, metrics, "a", RetryLimits{});
      synchronizer = std::make_unique<StateSynchronizer>(loop, client, store_client, settings, pool,
                                                         quota, cache, *forwarder);
    });
  }
  ~GatewayUnderTest() {
    loop.run_and_wait([&] {
      synchronizer.reset();
      forwarder.reset();
    });
  }

  void start() {
    loop.run_and_wait([&] { synchronizer->start(); });
  }
  std::string registration() const {
    return R"({"link_mbps":0.0,"peers":")" + to_string(settings.peers) + R"(","zone":"a"})";
  }
  template <typename Query>
  auto on_loop(Query query) {
    decltype(query()) result{};
    loop.run_and_wait([&] { result = query(); });
    return result;
  }
  bool following() {
    return on_loop([&] { return synchronizer->following(); });
  }
  std::uint64_t era() {
    return on_loop([&] { return synchronizer->replica(ObjectKind::kUpstreams).revision().era; });
  }
  Names upstreams() {
    return on_loop([&] {
      Names names;
      for (const auto& [name, object] : synchronizer->replica(ObjectKind::kUpstreams).objects()) {
        names.insert(name);
      }
      return names;
    });
  }
  bool has(std::uint64_t expected_era, const Names& names) {
    return era() == expected_era && upstreams() == names;
  }
  /** A call to the store other than a watch, as for a lease, whose answer tells of the era. */
  void hear_of_era() {
    store_client.send(platform::read_call(settings.store, ObjectKind::kLeases, "l", Duration{1000}),
                      [](const platform::StoreAnswer&) {});
  }

  HttpLoop loop;
  HttpServer peers_server{loop,
                          {.listen = {"127.0.0.1", 0}},
                          {.on_request = [this](ExchangeId exchange, const HttpRequest& request) {
                            if (!synchronizer) {
                              peers_server.respond(exchange, 503, {}, "");
                              return;
                            }
                            synchronizer->on_peer_request(
                                request.path, [this, exchange](std::string body) {
                                  peers_server.respond(exchange, 200, {}, std::move(body));
                                });
                          }}};
  GatewaySettings settings;
  HttpClient client{loop};
  ObjectStoreClient store_client{loop, client};
  Metrics metrics;
  LoadAggregator load_aggregator;
  CacheDirectory cache{load_aggregator};
  RequestQuota quota{settings.name, Clock().now() - Duration{60'000}};
  UpstreamPool pool{PoolLimits{}, cache, load_aggregator, quota};
  std::unique_ptr<Forwarder> forwarder;
  std::unique_ptr<StateSynchronizer> synchronizer;
};

/** g2 follows g1. The store has the upstream o1, and o2 after the copy. */
class TwoGatewaysFixture {
 public:
  TwoGatewaysFixture() {
    for (GatewayStore* store : {&store_1, &store_2}) {
      store->put("bluebellstep-gateways", "g1", g1.registration());
      store->put("bluebellstep-gateways", "g2", g2.registration());
      store->put_upstream("o1");
    }
    copy = store_1.copy();
    for (GatewayStore* store : {&store_1, &store_2}) {
      store->put_upstream("o2");
    }
  }

  void start_both() {
    g1.start();
    g2.start();
    REQUIRE(eventually([&] { return g2.following(); }));
    REQUIRE(g2.has(1, {"o1", "o2"}));
  }
  StoreRevision revision_of(const std::string& upstream) {
    return g1.on_loop([&] {
      return g1.synchronizer->replica(ObjectKind::kUpstreams).objects().at(upstream).revision;
    });
  }
  /** Restores the store of one gateway; upstream `added` is written in each new era. */
  void restore(GatewayStore& store, int times) {
    for (int i = 0; i < times; ++i) {
      store.restore(copy);
      store.put_upstream("added");
    }
  }

  HttpLoop store_loop;
  GatewayStore store_1{store_loop};
  GatewayStore store_2{store_loop};
  GatewayUnderTest g1{"g1", store_1.endpoint()};
  GatewayUnderTest g2{"g2", store_2.endpoint()};
  RestorableStore::Copy copy;
};

const Names kRestored = {"added", "o1"};

}  // namespace

// Guards against a follower that keeps the objects of a lost history: it can't reach the store, or
// still gets answers from before the restore. It learns the era and the objects from its reader,
// whether it is behind by one era or by two.
TEST_CASE_METHOD(TwoGatewaysFixture,
                 "a follower in an earlier era than its reader takes over the reader's objects",
                 "[gateway][restore]") {
  start_both();
  const int restores = GENERATE(1, 2);
  if (GENERATE(true, false)) {
    store_2.cut();
  }
  restore(store_1, restores);
  store_1.drop_watches();
  const std::uint64_t era = 1 + static_cast<std::uint64_t>(restores);
  REQUIRE(eventually([&] { return g1.has(era, kRestored); }));
  CHECK(eventually([&] { return g2.has(era, kRestored); }));
  CHECK(g1.has(era, kRestored));
}

// Guards against a gateway that reads the store itself for good, after a restore.
TEST_CASE_METHOD(TwoGatewaysFixture,
                 "a follower follows its reader again after a restore",
                 "[gateway][restore]") {
  start_both();
  restore(store_1, 1);
  restore(store_2, 1);
  store_1.drop_watches();
  REQUIRE(eventually([&] { return g1.has(2, kRestored) && g2.has(2, kRestored); }));
  store_2.cut();
  CHECK(eventually([&] { return g2.following(); }));
  store_1.put_upstream("later");
  CHECK(eventually([&] { return g2.has(2, {"added", "later", "o1"}); }));
}

// Guards against a follower that goes back to the objects of a lost history, since its reader
// counts as current for more than a second after its last answer of the store.
TEST_CASE_METHOD(TwoGatewaysFixture,
                 "a reader in an earlier era than its follower takes over the follower's objects",
                 "[gateway][restore]") {
  start_both();
  const int restores = GENERATE(1, 2);
  const bool reader_cut = GENERATE(true, false);
  if (reader_cut) {
    store_1.cut();
  }
  restore(store_2, restores);
  g2.hear_of_era();
  const std::uint64_t era = 1 + static_cast<std::uint64_t>(restores);
  REQUIRE(eventually([&] { return g2.has(era, kRestored); }));
  CHECK(eventually([&] { return g1.has(era, kRestored) || !g2.has(era, kRestored); }));
  CHECK(g1.has(era, kRestored));
  CHECK(g2.has(era, kRestored));
}

// Guards against a follower that takes objects of a lost history for current ones, since its reader
// has heard of the restore but not listed the objects yet.
TEST_CASE_METHOD(TwoGatewaysFixture,
                 "a reader is not current before it has listed the objects of the newest era",
                 "[gateway][restore]") {
  // The answer to a follower that knows all changes of an era.
  const auto answer = [&](std::uint64_t era) {
    const KnownRevisions known(10, {.number = store_1.revision() + 100, .era = era});
    auto text = std::make_shared<std::promise<std::string>>();
    g1.loop.run_and_wait([&] {
      g1.synchronizer->on_peer_request(encode_changes_query({.known = known}),
                                       [text](std::string body) { text->set_value(body); });
    });
    return decode_changes_answer(text->get_future().get()).value();
  };
  g1.start();
  REQUIRE(eventually([&] { return answer(1).current; }));
  CHECK(answer(1).era == 1);
  store_1.hold_answers("GET /objects/servers");
  restore(store_1, 1);
  g1.hear_of_era();
  REQUIRE(eventually([&] { return store_1.held_answers() == 1; }));
  CHECK_FALSE(answer(1).current);
  CHECK_FALSE(answer(2).current);
  CHECK(answer(1).era == 2);
  store_1.send_held_answers();
  CHECK(eventually([&] { return answer(2).current; }));
  CHECK(g1.has(2, kRestored));
}

// Guards against requests to an upstream that has left, after an outage of the store without a
// restore: a peer that heard of the leaving report passes on only that the upstream is gone, which
// looks like a registration that expired in the outage.
TEST_CASE_METHOD(TwoGatewaysFixture,
                 "a gateway that regains the store after its peer drops an upstream that has left",
                 "[gateway][leaving]") {
  constexpr Duration kOutage{2600};  // Registrations may have expired.
  constexpr Duration kLater{700};
  start_both();
  for (GatewayStore* store : {&store_1, &store_2}) {
    store->cut();
    store->put("servers", "o1", kLeavingUpstream);
    store->remove("servers", "o1");
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(kOutage.ms));
  store_1.reconnect();
  std::this_thread::sleep_for(std::chrono::milliseconds(kLater.ms));
  store_2.reconnect();
  REQUIRE(eventually([&] { return g1.has(1, {"o2"}) && g2.has(1, {"o2"}); }));
  CHECK_FALSE(g1.on_loop([&] { return g1.pool.contains("o1"); }));
  CHECK_FALSE(g2.on_loop([&] { return g2.pool.contains("o1"); }));
}

// Guards against logs that don't tell from whom a gateway knows of an upstream.
TEST_CASE_METHOD(TwoGatewaysFixture, "the log tells the source of each change", "[gateway]") {
  const LogCapture log;
  const auto lines = [&](const std::string& name, const std::string& source) {
    return log.count("event=object_changed kind=upstreams name=" + name +
                     " revision=" + to_string(revision_of(name)) +
                     " removed=false restored=false source=" + source);
  };
  start_both();
  CHECK(lines("o1", "list") == 2);
  store_1.put_upstream("o3");
  REQUIRE(eventually([&] { return g2.upstreams().contains("o3"); }));
  CHECK(lines("o3", "watch") == 1);
  CHECK(lines("o3", "peer") == 1);
}

// Guards against a gateway that starts with the objects of a lost history and keeps them.
TEST_CASE_METHOD(TwoGatewaysFixture,
                 "a gateway that starts while the store is away ends in the newest era",
                 "[gateway][restore]") {
  g2.settings.first_peers = {g1.settings.peers};
  g2.loop.run_and_wait([&] { g2.synchronizer->set_first_peers({g1.settings.peers}); });
  g1.start();
  REQUIRE(eventually([&] { return g1.has(1, {"o1", "o2"}); }));
  store_2.cut();
  SECTION("its peer has heard of the restore") {
    restore(store_1, 1);
    store_1.drop_watches();
    REQUIRE(eventually([&] { return g1.has(2, kRestored); }));
    g2.start();
    CHECK(eventually([&] { return g2.has(2, kRestored); }));
  }
  SECTION("its peer has not") {
    store_1.cut();
    g2.start();
    REQUIRE(eventually([&] { return g2.has(1, {"o1", "o2"}); }));
    restore(store_1, 1);
    restore(store_2, 1);
    SECTION("and hears of it first") {
      store_1.reconnect();
    }
    SECTION("and hears of it from the one that starts") {
      store_2.reconnect();
    }
    CHECK(eventually([&] { return g1.has(2, kRestored) && g2.has(2, kRestored); }));
  }
  SECTION("its peer is away, and the store returns") {
    store_1.cut();
    restore(store_2, 1);
    store_2.reconnect();
    g2.start();
    CHECK(eventually([&] { return g1.has(2, kRestored) && g2.has(2, kRestored); }));
  }
}

}  // namespace bluebellstep
