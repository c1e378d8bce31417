// Fault tests on real gateways in front of the stand-in for the users' platform.

#include <sys/types.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <string>
#include <string_view>
#include <thread>

#include "tests/process/gateway_fleet.h"
#include "tests/support/raw_socket.h"

namespace bluebellstep::testing {

// Guards against requests that are sent to the wrong service, accepted without a valid API key, or
// executed twice although nothing failed.
TEST_CASE("process: a gateway serves orders, lookups and streams") {
  GatewayFleet fleet(1);
  const auto order = fleet.request("g1", "orders", "o1");
  CHECK(order.status == 200);
  CHECK(order.body == "answer to o1 body of o1");
  CHECK(fleet.request("g1", "lookups", "l1").status == 200);
  CHECK(fleet.request("g1", "prompts", "p1").body == GatewayFleet::complete_stream("p1"));
  CHECK(fleet.request("g1", "chats", "c1").body == GatewayFleet::complete_stream("c1"));
  CHECK(fleet.request("g1", "unknown", "u1").status == 404);
  CHECK(fleet.request("g1", "orders", "k1", "key-2").status == 401);
  CHECK(fleet.run_counts() ==
        std::map<std::string, int>{{"o1", 1}, {"l1", 1}, {"p1", 1}, {"c1", 1}});
}

// Guards against an order that is executed twice because its answer was lost, and against reporting
// it as not run. A lookup is idempotent and must be retried.
TEST_CASE("process: an order whose answer is lost is not retried") {
  GatewayFleet fleet(1);
  fleet.set_faults({{"lose_answers", 1}});
  CHECK(fleet.request("g1", "orders", "o1").status == 502);
  CHECK(fleet.run_counts().at("o1") == 1);
  fleet.set_faults({{"lose_answers", 1}});
  CHECK(fleet.request("g1", "lookups", "l1").status == 200);
  CHECK(fleet.run_counts().at("l1") == 2);
}

// Guards against an order that fails although another server would accept it, and against a refusal
// that is not reported as not run.
TEST_CASE("process: a refused order is sent to another server or reported as not run") {
  GatewayFleet fleet(1);
  fleet.set_faults({{"refuse", 1}});
  CHECK(fleet.request("g1", "orders", "o1").status == 200);
  fleet.set_faults({{"refuse", 100}});
  const auto refused = fleet.request("g1", "orders", "o2");
  CHECK(refused.status == 503);
  CHECK(find_header(refused.headers, "retry-after"));
  CHECK_FALSE(fleet.run_counts().contains("o2"));
}

// Guards against a resumed stream that continues in the middle of an event, and against a cut
// stream that looks complete to the caller.
TEST_CASE("process: a cut stream is resumed if its route allows it, and aborted otherwise") {
  GatewayFleet fleet(1);
  fleet.set_faults({{"cut_streams", 1}});
  const auto resumed = fleet.request("g1", "prompts", "p1");
  CHECK(resumed.status == 200);
  CHECK(resumed.body == GatewayFleet::complete_stream("p1"));
  fleet.set_faults({{"cut_streams", 1}});
  const auto cut = fleet.request("g1", "chats", "c1");
  CHECK(std::holds_alternative<HttpClient::Failed>(cut.outcome));
}

// Guards against requests that wait for the store, and against a gateway that cannot start without
// it.
TEST_CASE("process: gateways serve and start while the store is down") {
  GatewayFleet fleet(2);
  fleet.set_faults({{"store_down", true}});
  CHECK(fleet.request("g1", "orders", "o1").status == 200);
  fleet.process("g2").kill_now();
  fleet.start_gateway("g2");
  // It receives the configuration and the servers from its peer.
  CHECK(fleet.wait_until_ready("g2", Duration{5000}));
  CHECK(fleet.request("g2", "orders", "o2").status == 200);
}

// Guards against a store call that was sent during an outage, is never answered and delays the next
// one. In a simulated day, new configurations took effect only 4 s after the end of the outage.
TEST_CASE("process: a change after a store outage takes effect within seconds") {
  GatewayFleet fleet(1);
  fleet.set_faults({{"store_silent", true}});
  std::this_thread::sleep_for(std::chrono::milliseconds(8000));
  fleet.set_faults(GatewayFleet::Json::object());
  const GatewayFleet::Json evacuation = {{"metadata", {{"name", "a"}}},
                                         {"spec", GatewayFleet::Json::object()}};
  fleet.call_store("POST", "/objects/evacuations", evacuation);
  CHECK(wait_until(Duration{1500},
                   [&] { return fleet.request("g1", "orders", "o1").status == 503; }));
}

// Guards against a new weight version that is not loaded into both engines.
TEST_CASE("process: one gateway loads new weights into every engine") {
  GatewayFleet fleet(2);
  fleet.call_store(
      "POST", "/objects/versions",
      {{"metadata", {{"name", "clerk"}}}, {"spec", {{"model", "clerk"}, {"version", 2}}}});
  const auto loads = [&] {
    return GatewayFleet::Json::parse(fleet.call_store("GET", "/counters", nullptr).body)
        .value("loads", 0);
  };
  CHECK(wait_until(Duration{10'000}, [&] { return loads() == 2; }));
  CHECK(fleet.request("g1", "prompts", "p1").status == 200);
}

// Guards against a graceful shutdown that cuts requests in flight, and against one that waits for
// idle connections.
TEST_CASE("process: a graceful shutdown answers open requests and ends in time") {
  GatewayFleet fleet(1);
  fleet.set_faults({{"delay_ms", 800}});
  std::atomic<int> answered{0};
  for (int i = 0; i < 20; ++i) {
    fleet.send("g1", "orders", "o" + std::to_string(i),
               [&](const GatewayFleet::Response& response) {
                 answered += response.status == 200 ? 1 : 0;
               });
  }
  auto idle = RawSocket::connect(fleet.caller_port("g1"));
  CHECK(wait_until(Duration{3000}, [&] { return fleet.run_counts().size() == 20; }));
  fleet.process("g1").send_signal(SIGTERM);
  CHECK(fleet.process("g1").wait_for_exit(Duration{8000}) == 0);
  CHECK(wait_until(Duration{1000}, [&] { return answered == 20; }));
}

// Guards against requests that are cut off because SIGTERM is sent again.
TEST_CASE("process: a repeated SIGTERM cuts no request off") {
  GatewayFleet fleet(1);
  fleet.set_faults({{"delay_ms", 1500}});
  std::atomic<int> answered{0};
  for (int i = 0; i < 5; ++i) {
    fleet.send("g1", "orders", "o" + std::to_string(i),
               [&](const GatewayFleet::Response& response) {
                 answered += response.status == 200 ? 1 : 0;
               });
  }
  CHECK(wait_until(Duration{3000}, [&] { return fleet.run_counts().size() == 5; }));
  for (int i = 0; i < 3; ++i) {
    fleet.process("g1").send_signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(fleet.process("g1").wait_for_exit(Duration{8000}) == 0);
  CHECK(wait_until(Duration{1000}, [&] { return answered == 5; }));
}

// Guards against orders that are passed on late in a shutdown and cut off at its end: they may have
// run, so nobody may send them again.
TEST_CASE("process: an upload that ends late in a shutdown is refused and not run") {
  constexpr int kPieces = 20;
  GatewayFleet fleet(1);
  fleet.set_faults({{"delay_ms", 3800}});
  fleet.process("g1").send_signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  auto caller = RawSocket::connect(fleet.caller_port("g1"));
  caller.send(
      "POST /orders/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: u1\r\nCredential: key-1\r\n"
      "Deadline-Ms: 8000\r\nContent-Length: " +
      std::to_string(kPieces * 100) + "\r\n\r\n");
  for (int i = 0; i < kPieces; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    caller.send(std::string(100, 'x'));
  }
  CHECK(caller.receive_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
  CHECK(fleet.run_counts().empty());
}

// Guards against request smuggling: contradictory framing that hides a second request in the body
// of the first.
TEST_CASE("process: a request with contradictory framing is refused and its connection closed") {
  GatewayFleet fleet(1);
  auto socket = RawSocket::connect(fleet.caller_port("g1"));
  socket.send(
      "POST /orders/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: s1\r\nCredential: key-1\r\n"
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
      "POST /orders/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: s2\r\nCredential: key-1\r\n\r\n");
  CHECK(socket.receive_all().starts_with("HTTP/1.1 400"));
  CHECK(fleet.run_counts().empty());
}

// Guards against SIGHUP terminating the process, against changed settings that are not logged, and
// against invalid ones that are applied.
TEST_CASE("process: changed settings are applied and invalid ones rejected") {
  GatewayFleet fleet(1);
  const std::string file = fleet.settings_file("g1");
  std::ofstream(file, std::ios::app) << "  repeat_extra: 3\n";
  fleet.process("g1").send_signal(SIGHUP);
  const auto is_logged = [&fleet](std::string_view event) {
    return wait_until(5_s, [&] { return fleet.output("g1").find(event) != std::string::npos; });
  };
  CHECK(is_logged("event=settings_reloaded"));
  CHECK(fleet.output("g1").find("needs_restart=false") != std::string::npos);
  // The change of the file is detected without a signal.
  std::ofstream(file, std::ios::app) << "unknown: 1\n";
  CHECK(is_logged("event=settings_rejected"));
  CHECK(fleet.request("g1", "orders", "o1").status == 200);
}

}  // namespace bluebellstep::testing
