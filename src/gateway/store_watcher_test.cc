// Tests of the watches of the store against a server on a loop of its own.

#include "gateway/store_watcher.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/background_worker.h"
#include "http/http_server.h"
#include "tests/process/child_process.h"
#include "tests/support/restorable_store.h"

namespace bluebellstep {
namespace {

constexpr std::size_t kRoutes = 60'000;
// A quarter of the time after which a request counts as held past its time-out.
constexpr Duration kMaxDelay{125};

std::string large_page() {
  std::string routes;
  for (std::size_t i = 0; i < kRoutes; ++i) {
    const std::string name = std::to_string(i);
    routes += (i == 0 ? "" : ",");
    routes += R"({"name":"r)" + name + R"(","host":"h.example","path_prefix":"/)" + name +
              R"(/","kind":"safe","service":"s","timeout_ms":1500,"goal_ms":300,"priority":2,)" +
              R"("max_attempts":2})";
  }
  return R"({"items":[{"metadata":{"name":"main","revision":7},"spec":{"version":1,"routes":[)" +
         routes + R"(],"services":[]}}],"has_more":false,"current_rev":7})";
}

constexpr Duration kPatience{5000};

/** A watcher of the upstreams of a store, which has o1 at revision 1 of era 1. */
class RestoreFixture {
 public:
  using Names = std::set<std::string>;

  RestoreFixture() {
    store.put("servers", "o1", "1");
    loop.run_and_wait([&] {
      worker = std::make_unique<BackgroundWorker>(loop);
      watcher = std::make_unique<StoreWatcher>(
          loop, store_client, *worker, store.endpoint(), platform::ObjectKind::kUpstreams,
          StoreWatcher::Listener{
              .on_changes =
                  [&](const ObjectReplica::Changes&, bool restored) {
                    restores_told += restored ? 1 : 0;
                    eras.insert(watcher->replica().revision().era);
                  },
              .on_call_ended = [&](bool reachable, Instant) { failed_calls += reachable ? 0 : 1; },
              .may_probe = [] { return true; }});
      store_client.on_era_raised([&] { watcher->on_era_raised(list_delay); });
    });
  }
  ~RestoreFixture() {
    loop.run_and_wait([&] {
      watcher.reset();
      worker.reset();
    });
  }

  void start() {
    loop.run_and_wait([&] { watcher->start(); });
  }
  /** Starts, and waits until the first watch is in progress. */
  void start_and_watch() {
    start();
    REQUIRE(eventually([&] { return store.watches() == 1; }));
  }
  static bool eventually(const std::function<bool()>& condition) {
    return testing::wait_until(kPatience, condition);
  }
  template <typename Query>
  auto on_loop(Query query) {
    decltype(query()) result{};
    loop.run_and_wait([&] { result = query(); });
    return result;
  }
  Names names() {
    return on_loop([&] {
      Names names;
      for (const auto& [name, object] : watcher->replica().objects()) {
        names.insert(name);
      }
      return names;
    });
  }
  std::string content(const std::string& name) {
    return on_loop([&] { return watcher->replica().objects().at(name).content; });
  }
  StoreRevision revision() {
    return on_loop([&] { return watcher->replica().revision(); });
  }
  bool reaches(const StoreRevision& expected) {
    return eventually([&] { return revision() == expected; });
  }
  /** Another call of the gateway, whose answer tells of the era. */
  void hear_of_era() {
    auto answered = std::make_shared<std::promise<void>>();
    store_client.send(
        platform::read_call(store.endpoint(), platform::ObjectKind::kLeases, "l", Duration{2000}),
        [answered](const platform::StoreAnswer&) { answered->set_value(); });
    answered->get_future().get();
    loop.run_and_wait([] {});  // The callbacks run after the answer was handled.
  }
  std::size_t lists() const {
    return store.calls("GET /objects/servers") - store.calls("GET /objects/servers?");
  }

  HttpLoop store_loop;
  RestorableStore store{store_loop};
  HttpLoop loop;
  HttpClient client{loop};
  ObjectStoreClient store_client{loop, client};
  std::unique_ptr<BackgroundWorker> worker;
  std::unique_ptr<StoreWatcher> watcher;
  Duration list_delay{0};
  int restores_told = 0;
  int failed_calls = 0;
  std::set<std::uint64_t> eras;  // That the replica had after changes.
};

}  // namespace

// Guards against upstreams of a lost history that stay in use, and new ones that are never used,
// since the restored store answers a watch from a revision that it gave out a second time.
TEST_CASE_METHOD(RestoreFixture,
                 "a watch that the restored store answers leads to a list at once",
                 "[gateway][restore]") {
  start_and_watch();
  auto copy = store.copy();
  store.put("servers", "o2", "1");
  REQUIRE(reaches({.number = 2, .era = 1}));
  REQUIRE(eventually([&] { return store.watches() == 1; }));
  const std::size_t watches_before = store.calls("watch=");
  store.restore(std::move(copy));
  const bool connection_lost = GENERATE(true, false);
  if (connection_lost) {
    store.drop_watches();
  }
  const bool has_watched_revision = !connection_lost || GENERATE(true, false);
  if (has_watched_revision) {
    store.put("other", "x", "1");
    store.put("servers", "o3", "1");
  }
  REQUIRE(reaches({.number = store.revision(), .era = 2}));
  CHECK(names() == (has_watched_revision ? Names{"o1", "o3"} : Names{"o1"}));
  CHECK(lists() == 2);
  REQUIRE(eventually([&] { return store.watches() == 1; }));
  CHECK(store.calls("watch=") == watches_before + (connection_lost ? 2 : 1));
  CHECK(on_loop([&] { return failed_calls; }) == (connection_lost ? 1 : 0));
  CHECK(on_loop([&] { return restores_told; }) == 1);
}

// Guards against a replica of two histories.
TEST_CASE_METHOD(RestoreFixture,
                 "a list begins anew if the store is restored between two of its pages",
                 "[gateway][restore]") {
  store.set_page_size(1);
  auto copy = store.copy();
  store.remove("servers", "o1");
  store.put("servers", "o0", "1");
  store.put("servers", "o2", "1");
  store.hold_answers("GET /objects/servers");
  start();
  REQUIRE(eventually([&] { return store.held_answers() == 1; }));
  store.restore(std::move(copy));
  store.put("servers", "o3", "1");
  store.send_held_answers();
  REQUIRE(reaches({.number = 2, .era = 2}));
  CHECK(names() == Names{"o1", "o3"});
  CHECK(lists() == 2);
  CHECK(on_loop([&] { return eras; }) == std::set<std::uint64_t>{2});
}

// Guards against a restore that is noticed only when the store answers the watch, which may take
// seconds, and against two series of calls afterwards.
TEST_CASE_METHOD(RestoreFixture,
                 "a watch that is open when another call tells of a restore is given up",
                 "[gateway][restore]") {
  start_and_watch();
  store.put("servers", "o2", "1");
  REQUIRE(reaches({.number = 2, .era = 1}));
  REQUIRE(eventually([&] { return store.watches() == 1; }));
  auto copy = store.copy();
  copy.objects["servers"].erase("o2");
  store.restore(std::move(copy));
  hear_of_era();
  REQUIRE(reaches({.number = 2, .era = 2}));
  CHECK(names() == Names{"o1"});
  REQUIRE(eventually([&] { return store.watches() == 2; }));
  store.put("servers", "o3", "1");  // Answers the watch that was given up as well.
  REQUIRE(reaches({.number = 3, .era = 2}));
  REQUIRE(eventually([&] { return store.watches() == 1; }));
  CHECK(lists() == 2);
  CHECK(store.calls("watch=") == 4);
  CHECK(on_loop([&] { return restores_told; }) == 1);
}

// Guards against two series of calls of one watcher: the retry of a call that failed before the
// restore, and the list after it.
TEST_CASE_METHOD(RestoreFixture,
                 "a retry that is due after a restore is not sent",
                 "[gateway][restore]") {
  start_and_watch();
  store.restore(store.copy());
  store.drop_watches();
  REQUIRE(eventually([&] { return on_loop([&] { return failed_calls; }) == 1; }));
  hear_of_era();
  REQUIRE(reaches({.number = 1, .era = 2}));
  std::this_thread::sleep_for(std::chrono::milliseconds(2 * StoreWatcher::kRetryDelay.ms));
  CHECK(store.watches() == 1);
  CHECK(store.calls("watch=") == 2);
}

// Guards against a follower that keeps the objects of a lost history, since it sends no calls.
TEST_CASE_METHOD(RestoreFixture,
                 "a paused watcher lists after a restore and stays paused",
                 "[gateway][restore]") {
  start_and_watch();
  loop.run_and_wait([&] { watcher->pause(); });
  auto copy = store.copy();
  const bool watch_ended = GENERATE(true, false);
  if (watch_ended) {
    store.put("servers", "o2", "1");
    REQUIRE(reaches({.number = 2, .era = 1}));
    std::this_thread::sleep_for(std::chrono::milliseconds(StoreWatcher::kUpstreamsBatchDelay.ms));
  }
  store.restore(std::move(copy));
  hear_of_era();
  REQUIRE(reaches({.number = 1, .era = 2}));
  CHECK(names() == Names{"o1"});
  CHECK(store.calls("watch=") == 1);
  const std::size_t open = store.watches();
  CHECK(open == (watch_ended ? 0 : 1));
  loop.run_and_wait([&] { watcher->resume(); });
  REQUIRE(eventually([&] { return store.calls("watch=") == 2; }));
}

// Guards against two series of calls of a gateway that stops to follow another one during a
// restore.
TEST_CASE_METHOD(RestoreFixture,
                 "a watcher that is resumed while it lists waits for the list",
                 "[gateway][restore]") {
  start_and_watch();
  loop.run_and_wait([&] { watcher->pause(); });
  auto copy = store.copy();
  store.put("servers", "o2", "1");
  REQUIRE(reaches({.number = 2, .era = 1}));
  std::this_thread::sleep_for(std::chrono::milliseconds(2 * StoreWatcher::kUpstreamsBatchDelay.ms));
  store.restore(std::move(copy));
  store.hold_answers("GET /objects/servers");
  hear_of_era();
  REQUIRE(eventually([&] { return store.held_answers() == 1; }));
  loop.run_and_wait([&] { watcher->resume(); });
  store.send_held_answers();
  REQUIRE(eventually([&] { return store.watches() == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(StoreWatcher::kRetryDelay.ms));
  CHECK(lists() == 2);
  CHECK(store.calls("watch=") == 2);
}

// Guards against a gateway without upstreams, or with those of a lost history for good, since the
// store was away again when it listed them.
TEST_CASE_METHOD(
    RestoreFixture,
    "a list that fails after a restore is tried again, and the objects stay until then",
    "[gateway][restore]") {
  start_and_watch();
  auto copy = store.copy();
  store.put("servers", "o2", "1");
  REQUIRE(reaches({.number = 2, .era = 1}));
  store.restore(std::move(copy));
  store.refuse("servers");
  hear_of_era();
  REQUIRE(eventually([&] { return on_loop([&] { return failed_calls; }) >= 2; }));
  CHECK(names() == Names{"o1", "o2"});
  CHECK(revision() == StoreRevision{.number = 2, .era = 1});
  SECTION("in the same era") {
    store.refuse("");
    REQUIRE(reaches({.number = 1, .era = 2}));
  }
  SECTION("in one after a further restore") {
    store.restore(store.copy());
    store.refuse("");
    REQUIRE(reaches({.number = 1, .era = 3}));
  }
  CHECK(names() == Names{"o1"});
  CHECK(on_loop([&] { return restores_told; }) == 1);
}

// Guards against a list of a lost history that is taken, since its answer arrives after another
// call told of the restore.
TEST_CASE_METHOD(RestoreFixture,
                 "a list that was answered before a restore is not taken after it",
                 "[gateway][restore]") {
  auto copy = store.copy();
  store.put("servers", "o2", "1");
  store.hold_answers("GET /objects/servers");
  start();
  REQUIRE(eventually([&] { return store.held_answers() == 1; }));
  store.restore(std::move(copy));
  hear_of_era();
  store.send_held_answers();
  REQUIRE(reaches({.number = 1, .era = 2}));
  CHECK(names() == Names{"o1"});
  CHECK(lists() == 2);
}

// Guards against a list for each restore of a series, and against watches of a lost history while
// the list is delayed.
TEST_CASE_METHOD(RestoreFixture,
                 "a list that is delayed after a restore is sent once, in the newest era",
                 "[gateway][restore]") {
  list_delay = Duration{300};
  start_and_watch();
  store.restore(store.copy());
  hear_of_era();
  store.restore(store.copy());
  hear_of_era();
  CHECK(lists() == 1);
  REQUIRE(reaches({.number = 1, .era = 3}));
  CHECK(lists() == 2);
  CHECK(store.calls("watch=") <= 2);
  CHECK(on_loop([&] { return restores_told; }) == 1);
}

// Guards against a peer of the earlier era that wins, and against a list that undoes what a peer of
// the new era told.
TEST_CASE_METHOD(RestoreFixture,
                 "of a list and peers' snapshots of two eras, the later era holds in any order",
                 "[gateway][restore]") {
  const auto snapshot = [&](std::uint64_t number, std::uint64_t era) {
    const std::string name = "p" + std::to_string(era);
    loop.run_and_wait([&] {
      watcher->apply_snapshot({{.name = name, .revision = {number, era}, .content = "1"}},
                              {number, era});
    });
  };
  start_and_watch();
  const auto restore = [&] {
    store.restore(store.copy());
    hear_of_era();
    REQUIRE(reaches({.number = 1, .era = 2}));
  };
  SECTION("the list, then the earlier era") {
    restore();
    snapshot(9, 1);
    CHECK(names() == Names{"o1"});
  }
  SECTION("the earlier era, then the list") {
    snapshot(9, 1);
    CHECK(names() == Names{"p1"});
    restore();
    CHECK(names() == Names{"o1"});
  }
  SECTION("the later era, then a list of the earlier one") {
    store.hold_answers("GET /objects/servers");
    store.put("other", "x", "1");
    store.compact();
    store.drop_watches();  // The next watch is answered with 410.
    REQUIRE(eventually([&] { return store.held_answers() == 1; }));
    loop.run_and_wait([&] { store_client.record_heard(2); });
    snapshot(1, 2);
    store.send_held_answers();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(names() == Names{"p2"});
    CHECK(revision() == StoreRevision{.number = 1, .era = 2});
  }
  SECTION("the later era, then the earlier one") {
    snapshot(1, 2);
    snapshot(9, 1);
    CHECK(names() == Names{"p2"});
  }
}

// Guards against requests to an upstream that has left: its report and its removal were written
// while the store was out of reach, and the store has compacted them away since.
TEST_CASE_METHOD(RestoreFixture,
                 "a leaving report and a removal that no watch can tell of are noticed",
                 "[gateway][leaving]") {
  store.put("servers", "o2", R"("ready")");
  start_and_watch();
  REQUIRE(names() == Names{"o1", "o2"});
  const bool watch_lost = GENERATE(true, false);
  if (watch_lost) {
    store.refuse("servers");
    store.drop_watches();
  }
  store.put("servers", "o2", R"("draining")");
  store.remove("servers", "o1");
  store.compact();
  store.refuse("");
  REQUIRE(reaches({.number = 4, .era = 1}));
  CHECK(names() == Names{"o2"});
  CHECK(content("o2") == R"("draining")");
}

// Guards against requests to an upstream that has left while the list was read page by page.
TEST_CASE_METHOD(RestoreFixture,
                 "upstreams that leave between two pages of a list are noticed",
                 "[gateway][leaving]") {
  for (const char* name : {"o2", "o3", "o4"}) {
    store.put("servers", name, R"("ready")");
  }
  store.set_page_size(1);
  store.hold_answers("GET /objects/servers?after=o1");
  start();
  REQUIRE(eventually([&] { return store.held_answers() == 1; }));
  store.put("servers", "o2", R"("draining")");
  store.put("servers", "o4", R"("draining")");
  store.remove("servers", "o1");
  store.remove("servers", "o3");
  store.send_held_answers();
  REQUIRE(reaches({.number = 8, .era = 1}));
  CHECK(names() == Names{"o2", "o4"});
  CHECK(content("o2") == R"("draining")");
  CHECK(content("o4") == R"("draining")");
}

// Guards against requests to an upstream that has left, started again under its id and left again.
TEST_CASE_METHOD(RestoreFixture,
                 "an upstream that starts again while it leaves is known by its last report",
                 "[gateway][leaving]") {
  start_and_watch();
  const bool watch_lost = GENERATE(true, false);
  if (watch_lost) {
    store.refuse("servers");
    store.drop_watches();
  }
  store.put("servers", "o1", R"("draining")");
  store.remove("servers", "o1");
  store.put("servers", "o1", R"("ready")");
  const bool leaves_again = GENERATE(true, false);
  if (leaves_again) {
    store.put("servers", "o1", R"("draining")");
  }
  if (watch_lost && GENERATE(true, false)) {
    store.compact();
  }
  store.refuse("");
  REQUIRE(reaches({.number = store.revision(), .era = 1}));
  CHECK(content("o1") == (leaves_again ? R"("draining")" : R"("ready")"));
}

// Guards against requests that wait for the event loop while it decodes a large configuration.
TEST_CASE("the event loop is not delayed while a large configuration is decoded",
          "[gateway][delay]") {
  HttpLoop store_loop;
  std::unique_ptr<HttpServer> store;
  store = std::make_unique<HttpServer>(
      store_loop, HttpServerOptions{.listen = {"127.0.0.1", 0}},
      HttpServer::Listener{.on_request = [&](ExchangeId exchange, const HttpRequest& request) {
        const bool is_watch = request.path.find("watch=") != std::string::npos;
        store->respond(exchange, is_watch ? 503 : 200, {{"content-type", "application/json"}},
                       is_watch ? "" : large_page());
      }});
  HttpLoop loop;
  HttpClient client(loop);
  ObjectStoreClient store_client(loop, client);
  std::promise<std::size_t> changed;
  std::unique_ptr<BackgroundWorker> worker;
  std::unique_ptr<StoreWatcher> watcher;
  loop.run_and_wait([&] {
    worker = std::make_unique<BackgroundWorker>(loop);
    watcher = std::make_unique<StoreWatcher>(
        loop, store_client, *worker, Endpoint{"127.0.0.1", store->port()},
        platform::ObjectKind::kConfiguration,
        StoreWatcher::Listener{.on_changes = [&](const ObjectReplica::Changes& changes,
                                                 bool) { changed.set_value(changes.size()); },
                               .on_call_ended = [](bool, Instant) {},
                               .may_probe = [] { return false; }});
    watcher->start();
  });
  auto result = changed.get_future();
  REQUIRE(result.wait_for(std::chrono::seconds(20)) == std::future_status::ready);
  CHECK(result.get() == 1);
  loop.run_and_wait([] {});  // The delay is recorded when the iteration has ended.
  Duration longest_delay;
  loop.run_and_wait([&] {
    longest_delay = loop.take_longest_delay();
    watcher.reset();
    worker.reset();
  });
  INFO("longest delay " << longest_delay.ms << " ms");
  CHECK(longest_delay.ms < kMaxDelay.ms);
}

}  // namespace bluebellstep
