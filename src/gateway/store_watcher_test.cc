// Tests of the watches of the store against a server on a loop of its own.

#include "gateway/store_watcher.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <future>
#include <memory>
#include <string>

#include "http/background_worker.h"
#include "http/http_server.h"

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

}  // namespace

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
                               .on_call_ended = [](bool) {},
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
