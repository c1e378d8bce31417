// Tests of a gateway whose event loop runs late: what it reads then has waited, and callers may
// have left. On real sockets; the delay is a task that blocks the loop.

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "tests/support/socket_gateway.h"

namespace bluebellstep {
namespace {

constexpr Duration kTimeout{700};
constexpr Duration kLoweredTimeout{200};
// Within this time after its time-out a request must have been answered.
constexpr Duration kMaxOverrun{500};
// Time in which a request that is sent on would have reached the upstream.
constexpr int kForwardTimeMs = 300;
constexpr std::string_view kNothing;

void sleep_for(Duration time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(time.ms));
}

std::shared_ptr<const ServingConfig> make_config(std::uint64_t version, Duration timeout) {
  ServingConfig config{.version = version};
  RouteRule order{.name = "order",
                  .host = "h",
                  .path_prefix = "/order/",
                  .kind = RequestKind::kNonIdempotent,
                  .timeout = timeout,
                  .latency_goal = Duration{100},
                  .targets = {{.service = "s"}}};
  RouteRule lookup = order;
  lookup.name = "lookup";
  lookup.path_prefix = "/lookup/";
  lookup.kind = RequestKind::kIdempotent;
  lookup.max_attempts = 2;
  config.routes = {order, lookup};
  config.services.emplace("s", ServiceInfo{.name = "s", .max_connections = 100});
  return std::make_shared<const ServingConfig>(std::move(config));
}

std::string request(std::string_view route, std::string_view id) {
  return "GET /" + std::string(route) + "/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + std::string(id) +
         "\r\nDeadline-Ms: 3000\r\n\r\n";
}

std::string response(std::string_view id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(id) +
         "\r\nServer-Seal: s\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody";
}

/** A gateway with upstreams that the test accepts and answers. */
class Fixture : public SocketGateway {
 public:
  Fixture() : SocketGateway({.ratio = 1, .fixed_retries = 10}) {
    set_config(make_config(1, kTimeout));
  }

  /** Has a request answered, so that the gateway keeps a connection to the upstream. Returns the
   * upstream's end of it. */
  RawSocket open_upstream_connection(RawListener& upstream) {
    RawSocket caller = connect();
    caller.send(request("order", "first"));
    RawSocket connection = upstream.accept();
    connection.receive_until("\r\n\r\n");
    connection.send(response("first"));
    REQUIRE(caller.receive_until("body").ends_with("body"));
    return connection;
  }
};

}  // namespace

// Guards against work for callers that have left: the end of a connection lies behind the request
// in the same socket, and the request was sent on before the end was read.
TEST_CASE("a request whose caller left before it was read is not sent on", "[gateway][delay]") {
  RawListener upstream;
  Fixture fixture;
  fixture.add_upstream("u1", upstream.port());
  RawSocket connection = fixture.open_upstream_connection(upstream);
  fixture.run_on_loop([&] {
    RawSocket caller = fixture.connect();
    caller.send(request("order", "left"));
    caller.close();
    sleep_for(Duration{50});
  });
  CHECK(connection.receive_some(kForwardTimeMs) == kNothing);
}

// Guards against work for callers that left while the gateway connected to the upstream: the
// request was sent when the connection was established, before the end of the caller's one was
// read.
TEST_CASE("a request whose caller left during the connect is not sent", "[gateway][delay]") {
  constexpr Duration kPause{50};
  RawListener upstream;
  Fixture fixture;
  fixture.add_upstream("u1", upstream.port());
  RawSocket caller = fixture.connect();
  sleep_for(kPause);  // Until the connection is accepted.
  std::thread second_block;
  fixture.run_on_loop([&] {
    caller.send(request("order", "left"));
    // Runs in the iteration that reads the request and starts to connect.
    second_block = std::thread([&] {
      fixture.run_on_loop([&] {
        caller.close();
        sleep_for(kPause);
      });
    });
    sleep_for(kPause);
  });
  second_block.join();
  RawSocket connection = upstream.accept();
  CHECK(connection.receive_some(kForwardTimeMs) == kNothing);
}

// Guards against a second attempt for a caller that left while the first one was silent: the timer
// of the attempt ran before the end of the caller's connection was read.
TEST_CASE("a request is not sent again after its caller has left", "[gateway][delay]") {
  RawListener first;
  RawListener second;
  Fixture fixture;
  fixture.add_upstream("u1", first.port());
  RawSocket caller = fixture.connect();
  caller.send(request("lookup", "left"));
  RawSocket attempt = first.accept();
  attempt.receive_until("\r\n\r\n");
  fixture.add_upstream("u2", second.port());
  fixture.run_on_loop([&] {
    caller.close();
    sleep_for(Duration{500});  // Longer than the limit on an attempt without response.
  });
  CHECK_FALSE(second.has_connection(kForwardTimeMs));
}

// Guards against requests that are held past the time-out of their route: the time in which a
// request waited to be read was not counted.
TEST_CASE("the time in which a request waits unread counts towards its time-out",
          "[gateway][delay]") {
  RawListener upstream;
  Fixture fixture;
  fixture.add_upstream("u1", upstream.port());
  const RawSocket connection = fixture.open_upstream_connection(upstream);
  RawSocket caller = fixture.connect();
  Instant sent_at;
  fixture.run_on_loop([&] {
    caller.send(request("order", "waits"));
    sent_at = Clock().now();
    sleep_for(Duration{420});
  });
  CHECK(caller.receive_until("\r\n\r\n").starts_with("HTTP/1.1 504"));
  CHECK((Clock().now() - sent_at).ms < (kTimeout + kMaxOverrun / 2).ms);
}

// Guards against work that nobody waits for any more, and against a caller that waits for it.
TEST_CASE("a request that waited unread for longer than its time-out is refused as not run",
          "[gateway][delay]") {
  RawListener upstream;
  Fixture fixture;
  fixture.add_upstream("u1", upstream.port());
  RawSocket connection = fixture.open_upstream_connection(upstream);
  RawSocket caller = fixture.connect();
  fixture.run_on_loop([&] {
    caller.send(request("order", "waits"));
    sleep_for(kTimeout + Duration{200});
  });
  CHECK(caller.receive_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
  CHECK(connection.receive_some(kForwardTimeMs) == kNothing);
}

// Guards against a gateway that takes on ever more requests while it answers all of them too late.
// The connection may have been accepted before the delay or after it.
TEST_CASE("a request that waited unread for half a second is refused as not run",
          "[gateway][delay]") {
  const bool accepted_before = GENERATE(true, false);
  CAPTURE(accepted_before);
  RawListener upstream;
  Fixture fixture;
  fixture.set_config(make_config(2, Duration{5000}));
  fixture.add_upstream("u1", upstream.port());
  RawSocket connection = fixture.open_upstream_connection(upstream);
  std::optional<RawSocket> caller;
  if (accepted_before) {
    caller.emplace(fixture.connect());
    sleep_for(Duration{100});
  }
  fixture.run_on_loop([&] {
    if (!accepted_before) {
      caller.emplace(fixture.connect());
    }
    caller->send(request("order", "waits"));
    sleep_for(Duration{700});
  });
  CHECK(caller->receive_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
  CHECK(connection.receive_some(kForwardTimeMs) == kNothing);
  RawSocket next = fixture.connect();
  next.send(request("order", "next"));
  CHECK(connection.receive_until("\r\n\r\n").find("next") != std::string::npos);
}

// Guards against an answer that is discarded although it is ready: timers ran before the sockets
// were read.
TEST_CASE("an answer that arrived while the gateway was delayed is delivered after the time-out",
          "[gateway][delay]") {
  RawListener upstream;
  Fixture fixture;
  fixture.add_upstream("u1", upstream.port());
  RawSocket caller = fixture.connect();
  caller.send(request("order", "answered"));
  RawSocket connection = upstream.accept();
  connection.receive_until("\r\n\r\n");
  fixture.run_on_loop([&] {
    connection.send(response("answered"));
    sleep_for(kTimeout + Duration{200});
  });
  CHECK(caller.receive_until("body").starts_with("HTTP/1.1 200"));
}

// Guards against requests that are held past a time-out that the operator has lowered meanwhile.
TEST_CASE("a lowered time-out applies to requests that wait for their answer", "[gateway][delay]") {
  RawListener upstream;
  Fixture fixture;
  fixture.set_config(make_config(2, Duration{5000}));
  fixture.add_upstream("u1", upstream.port());
  RawSocket caller = fixture.connect();
  caller.send(request("order", "waits"));
  RawSocket connection = upstream.accept();
  connection.receive_until("\r\n\r\n");
  fixture.set_config(make_config(3, kLoweredTimeout));
  const Instant in_force_at = Clock().now();
  CHECK(caller.receive_until("\r\n\r\n").starts_with("HTTP/1.1 504"));
  CHECK(Clock().now() - in_force_at < kLoweredTimeout + kMaxOverrun);
}

}  // namespace bluebellstep
