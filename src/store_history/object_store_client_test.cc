// Tests of the calls to the store across restores, against a store on a socket.

#include "store_history/object_store_client.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tests/process/child_process.h"
#include "tests/support/log_capture.h"
#include "tests/support/restorable_store.h"

namespace bluebellstep {
namespace {

using platform::ObjectKind;

constexpr Duration kTimeout{3000};
constexpr const char* kUpstream = R"({"service":"s"})";

/** A store with one upstream, at revision 1 of era 1, and a client of it. */
class StoreClientFixture {
 public:
  StoreClientFixture() { store.put("servers", "o1", kUpstream); }

  platform::StoreCall list() const {
    return platform::list_call(store.endpoint(), ObjectKind::kUpstreams, {}, kTimeout);
  }
  platform::StoreCall watch(const StoreRevision& revision) const {
    return platform::watch_call(store.endpoint(), ObjectKind::kUpstreams, revision, Duration{0},
                                kTimeout);
  }
  platform::StoreCall write(const StoreRevision& revision) const {
    return platform::write_call(store.endpoint(), ObjectKind::kUpstreams, "o1", revision,
                                R"({"service":"t"})", kTimeout);
  }

  std::future<platform::StoreAnswer> start(platform::StoreCall call) {
    auto answer = std::make_shared<std::promise<platform::StoreAnswer>>();
    loop.run_and_wait([&] {
      store_client.send(std::move(call), [answer](platform::StoreAnswer received) {
        answer->set_value(std::move(received));
      });
    });
    return answer->get_future();
  }
  platform::StoreAnswer send(platform::StoreCall call) { return start(std::move(call)).get(); }

  std::uint64_t era() {
    std::uint64_t number = 0;
    loop.run_and_wait([&] { number = store_client.era().number(); });
    return number;
  }

  HttpLoop store_loop;
  RestorableStore store{store_loop};
  HttpLoop loop;
  HttpClient client{loop};
  ObjectStoreClient store_client{loop, client};
};

}  // namespace

// Guards against a write over another object than the one that was read, since a restored store
// gives revisions out again, and against a watch that begins in another history.
TEST_CASE_METHOD(StoreClientFixture,
                 "a call that names a revision of an earlier era is not sent",
                 "[store_history]") {
  CHECK(send(list()).era == 1);
  loop.run_and_wait([&] { store_client.record_heard(2); });
  const platform::StoreAnswer written = send(write({.number = 1, .era = 1}));
  CHECK(written.response.status == ObjectStoreClient::kHistoryReplaced);
  CHECK(written.era == 2);
  CHECK(std::holds_alternative<PlatformUnavailable>(platform::decode_write(written)));
  CHECK(std::holds_alternative<platform::HistoryExpired>(
      platform::decode_changes(send(watch({.number = 1, .era = 1})))));
  CHECK(store.calls("PUT") + store.calls("watch=") == 0);
  SECTION("nor is it answered before `send` returns") {
    std::vector<std::string> order;
    loop.run_and_wait([&] {
      store_client.send(write({.number = 1, .era = 1}),
                        [&](const platform::StoreAnswer&) { order.push_back("answer"); });
      order.push_back("sent");
    });
    loop.run_and_wait([] {});
    CHECK(order == std::vector<std::string>{"sent", "answer"});
  }
}

// Guards against objects of a lost history that come into use again, since a list of them was
// still on its way when another call told of the restore.
TEST_CASE_METHOD(StoreClientFixture,
                 "an answer of an earlier era than the newest does not count",
                 "[store_history]") {
  store.hold_answers("GET /objects/servers");
  auto late = start(list());
  REQUIRE(testing::wait_until(kTimeout, [&] { return store.held_answers() == 1; }));
  store.restore(store.copy());
  send(platform::read_call(store.endpoint(), ObjectKind::kConfiguration, "main", kTimeout));
  REQUIRE(era() == 2);
  const LogCapture log;
  store.send_held_answers();
  const platform::StoreAnswer answer = late.get();
  CHECK(answer.response.status == ObjectStoreClient::kHistoryReplaced);
  CHECK(answer.response.body.empty());
  CHECK(answer.era == 2);
  CHECK(era() == 2);
  CHECK(log.count("event=store_answer_ignored") == 1);
}

// Guards against a write or a watch that the restored store takes for one of its own history: its
// revision is a valid one there too.
TEST_CASE_METHOD(StoreClientFixture,
                 "the answer to a call that the restored store has read does not count",
                 "[store_history]") {
  REQUIRE(send(list()).era == 1);
  const bool write_sent = GENERATE(true, false);
  store.restore(store.copy());
  std::vector<std::string> order;
  loop.run_and_wait([&] { store_client.on_era_raised([&] { order.push_back("raised"); }); });
  std::promise<platform::StoreAnswer> promise;
  loop.run_and_wait([&] {
    const StoreRevision known{.number = 1, .era = 1};
    store_client.send(write_sent ? write(known) : watch(known), [&](platform::StoreAnswer answer) {
      order.push_back("answer");
      promise.set_value(std::move(answer));
    });
  });
  const platform::StoreAnswer answer = promise.get_future().get();
  CHECK(answer.response.status == ObjectStoreClient::kHistoryReplaced);
  CHECK(answer.era == 2);
  CHECK(store.calls(write_sent ? "PUT" : "watch=") == 1);
  loop.run_and_wait([] {});  // The callback was posted.
  CHECK(order == std::vector<std::string>{"answer", "raised"});
}

// Guards against a call that names no revision and is refused after each restore: its answer is
// the first one of the new history.
TEST_CASE_METHOD(StoreClientFixture,
                 "a list during a restore is of the era that its answer states",
                 "[store_history]") {
  REQUIRE(send(list()).era == 1);
  store.restore(store.copy());
  const platform::StoreAnswer answer = send(list());
  CHECK(answer.response.status == 200);
  CHECK(answer.era == 2);
  const auto page = std::get<platform::ObjectPage>(platform::decode_page(answer));
  CHECK(page.store_revision == StoreRevision{.number = 1, .era = 2});
  CHECK(page.objects.at(0).revision == StoreRevision{.number = 1, .era = 2});
}

// Guards against a restore that is seen in answers without a readable era, and against a log full
// of lines about them.
TEST_CASE_METHOD(StoreClientFixture,
                 "an answer without a readable era is of the era last seen, with one log line",
                 "[store_history]") {
  REQUIRE(send(list()).era == 1);
  const auto header = GENERATE(as<std::optional<std::string>>{}, std::nullopt, "", "two", "-1");
  store.set_era_header(header);
  const LogCapture log;
  for (int i = 0; i < 3; ++i) {
    const platform::StoreAnswer answer = send(list());
    CHECK(answer.era == 1);
    CHECK(answer.response.status == 200);
  }
  CHECK(send(write({.number = 1, .era = 1})).response.status == 200);
  CHECK(log.count("event=store_era_not_stated") == 1);
  SECTION("and with another one once the era was stated in between") {
    store.set_era_header("1");
    send(list());
    store.set_era_header(header);
    send(list());
    CHECK(log.count("event=store_era_not_stated") == 2);
  }
}

// Guards against a callback of the present era for each answer that states it.
TEST_CASE_METHOD(StoreClientFixture, "each era is told of once", "[store_history]") {
  int raised = 0;
  loop.run_and_wait([&] { store_client.on_era_raised([&] { ++raised; }); });
  send(list());
  send(list());
  store.restore(store.copy());
  send(list());
  store.restore(store.copy());
  store.restore(store.copy());
  send(list());
  loop.run_and_wait([&] { store_client.record_heard(3); });
  loop.run_and_wait([] {});
  CHECK(raised == 3);
  CHECK(era() == 4);
}

// Guards against a failed call that ends an era: it says nothing about the store's history.
TEST_CASE_METHOD(StoreClientFixture, "a call that fails keeps its era", "[store_history]") {
  REQUIRE(send(list()).era == 1);
  store.refuse("PUT");
  const platform::StoreAnswer answer = send(write({.number = 1, .era = 1}));
  CHECK(answer.response.status == 0);
  CHECK(answer.era == 1);
}

}  // namespace bluebellstep
