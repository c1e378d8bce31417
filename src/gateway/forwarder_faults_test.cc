// Tests of the forwarder with upstreams that violate the protocol, on real sockets.

#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "gateway/forwarder.h"
#include "tests/support/raw_socket.h"
#include "tests/support/upstream_response.h"

namespace bluebellstep {
namespace {

constexpr Duration kTimeout{1200};

RouteRule route(std::string name, RequestKind kind, std::uint32_t max_attempts) {
  RouteRule rule{.name = name, .host = "h", .path_prefix = "/" + name + "/", .kind = kind};
  rule.timeout = kTimeout;
  rule.latency_goal = Duration{100};
  rule.stream_patience = Duration{2000};
  rule.targets = {{.service = "s"}};
  rule.max_attempts = max_attempts;
  rule.resumable = kind == RequestKind::kStream && max_attempts > 1;
  return rule;
}

std::shared_ptr<const ServingConfig> make_config() {
  ServingConfig config{.version = 1};
  config.routes = {route("order", RequestKind::kNonIdempotent, 1),
                   route("lookup", RequestKind::kIdempotent, 2),
                   route("stream", RequestKind::kStream, 1)};
  config.services.emplace("s", ServiceInfo{.name = "s", .max_connections = 100});
  return std::make_shared<const ServingConfig>(std::move(config));
}

/** The response to a caller as far as it was sent. */
class CallerView {
 public:
  CallerResponseWriter writer() {
    return {
        .write = [this](std::string_view bytes) { add(bytes); },
        .write_body = [this](const std::string& head,
                             const std::shared_ptr<const std::string>& body) { add(head + *body); },
        .complete = [this](bool) { end(true); },
        .abort = [this](bool) { end(false); },
        .unsent = [] { return std::size_t{0}; },
        .caller_left = [] { return false; }};
  }

  /** Waits until the response ends. Returns false if it does not within `timeout_ms`. */
  bool wait(int timeout_ms = 5000) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::milliseconds(timeout_ms),
                             [this] { return ended_; });
  }

  std::string text() {
    const std::lock_guard lock(mutex_);
    return text_;
  }
  bool complete() {
    const std::lock_guard lock(mutex_);
    return complete_;
  }

 private:
  void add(std::string_view bytes) {
    const std::lock_guard lock(mutex_);
    text_ += bytes;
  }
  void end(bool complete) {
    const std::lock_guard lock(mutex_);
    ended_ = true;
    complete_ = complete;
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::string text_;
  bool ended_ = false;
  bool complete_ = false;
};

/** A forwarder with one upstream, whose connections the test accepts and answers. */
class Fixture {
 public:
  Fixture() {
    loop_.run_and_wait([this] {
      pool_ = std::make_unique<UpstreamPool>(PoolLimits{}, cache_, load_aggregator_, quota_);
      forwarder_ = std::make_unique<Forwarder>(loop_, *pool_, metrics_, "zone-a", RetryLimits{});
      forwarder_->set_config(make_config());
      pool_->put({.id = "u1",
                  .service = "s",
                  .endpoint = {"127.0.0.1", listener_.port()},
                  .zone = "zone-a",
                  .slots = 4},
                 Clock().now());
    });
  }
  ~Fixture() {
    loop_.run_and_wait([this] {
      forwarder_.reset();
      pool_.reset();
    });
  }

  void start(CallerView& caller, std::string_view route, std::string_view id) {
    loop_.run_and_wait([&] {
      CallerRequest request{
          .head = std::make_unique<MessageHead>(), .body = "", .arrived_at = Clock().now()};
      std::size_t consumed = 0;
      const std::string text = "GET /" + std::string(route) +
                               "/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + std::string(id) +
                               "\r\nDeadline-Ms: 1200\r\n\r\n";
      REQUIRE(parse_request_head(text, *request.head, consumed) == HeadStatus::kComplete);
      forwarder_->start(std::move(request), caller.writer());
    });
  }

  RawSocket accept_request() { return listener_.accept_request(); }

  void set_stopping(const StopTimes& times) {
    loop_.run_and_wait([&] { forwarder_->set_stopping(times); });
  }

  void end_requests() {
    loop_.run_and_wait([this] { forwarder_->end_requests(); });
  }

  RawListener& listener() { return listener_; }

 private:
  RawListener listener_;
  HttpLoop loop_;
  Metrics metrics_;
  LoadAggregator load_aggregator_;
  CacheDirectory cache_{load_aggregator_};
  RequestQuota quota_{"g1", Clock().now()};
  std::unique_ptr<UpstreamPool> pool_;
  std::unique_ptr<Forwarder> forwarder_;
};

/** Sends `piece` again and again until the peer closes the connection or `limit_bytes` were sent.
 * Returns the number of bytes sent. */
std::size_t send_without_end(RawSocket& socket, std::string_view piece, std::size_t limit_bytes) {
  std::size_t sent = 0;
  while (sent < limit_bytes && socket.send(piece)) {
    sent += piece.size();
  }
  return sent;
}

constexpr std::size_t kEndless = 64u << 20;

}  // namespace

// Guards against an answer that reaches the caller of the next request on the connection.
TEST_CASE("a late second copy of a response on a reused connection is not the next response",
          "[gateway][faults]") {
  Fixture fixture;
  CallerView first;
  fixture.start(first, "order", "r1");
  RawSocket upstream = fixture.accept_request();
  upstream.send(complete_response("r1", "one"));
  REQUIRE(first.wait());
  CallerView second;
  fixture.start(second, "order", "r2");
  upstream.receive_until("\r\n\r\n");
  upstream.send(complete_response("r1", "one"));
  upstream.send(complete_response("r2", "two"));
  REQUIRE(second.wait());
  CHECK(second.text().ends_with("two"));
  // The connection is not used again, since further copies may follow.
  CallerView third;
  fixture.start(third, "order", "r3");
  RawSocket other = fixture.accept_request();
  other.send(complete_response("r3", "three"));
  REQUIRE(third.wait());
  CHECK(third.text().ends_with("three"));
}

// Guards against a second copy that arrives between two requests.
TEST_CASE("a connection with unsolicited bytes is not reused", "[gateway][faults]") {
  Fixture fixture;
  CallerView first;
  fixture.start(first, "order", "r1");
  RawSocket upstream = fixture.accept_request();
  upstream.send(complete_response("r1", "one"));
  REQUIRE(first.wait());
  upstream.send(complete_response("r1", "one"));
  CHECK(upstream.receive_all().empty());  // The gateway closes the connection.
  CallerView second;
  fixture.start(second, "order", "r2");
  RawSocket other = fixture.accept_request();
  other.send(complete_response("r2", "two"));
  REQUIRE(second.wait());
  CHECK(second.text().ends_with("two"));
}

// Guards against memory that grows with the bytes of a faulty upstream, and against callers that
// wait for it.
TEST_CASE("bytes without end close the connection and end the request", "[gateway][faults]") {
  struct Fault {
    std::string name;
    std::string route;
    std::string start;
    std::string repeated;
  };
  const std::string block(32u << 10, 'x');
  const auto fault = GENERATE_COPY(values<Fault>({
      {"head", "order", "HTTP/1.1 200 OK\r\nX: ", block},
      {"interim responses", "order", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"response to another request", "order", response_head("r0", "X: y"), block},
      {"body with a length", "order", response_head("r1", "Content-Length: 99999999999"), block},
      {"chunked body", "order", response_head("r1", "Transfer-Encoding: chunked"),
       "8000\r\n" + block + "\r\n"},
      {"chunk size", "order", response_head("r1", "Transfer-Encoding: chunked"),
       std::string(1024, '0')},
      {"body until the end of the connection", "order", response_head("r1", "X: y"), block},
      {"stream without an event boundary", "stream", response_head("r1", "X: y"), block},
  }));
  INFO(fault.name);
  Fixture fixture;
  CallerView caller;
  fixture.start(caller, fault.route, "r1");
  RawSocket upstream = fixture.accept_request();
  upstream.send(fault.start);
  CHECK(send_without_end(upstream, fault.repeated, kEndless) < kEndless);
  REQUIRE(caller.wait());
  CHECK((caller.text().starts_with("HTTP/1.1 502") || !caller.complete()));
}

// Guards against a stalled stream that is taken for a live one because of single bytes.
TEST_CASE("bytes that complete no event are no progress of a stream", "[gateway][faults]") {
  Fixture fixture;
  CallerView caller;
  fixture.start(caller, "stream", "r1");
  RawSocket upstream = fixture.accept_request();
  upstream.send(response_head("r1", "X: y"));
  upstream.send("id: 1\ndata: a\n\n");
  const Instant start = Clock().now();
  while (Clock().now() - start < kTimeout * 2 && upstream.send(":")) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CHECK(Clock().now() - start < kTimeout + Duration{400});
  REQUIRE(caller.wait());
  CHECK_FALSE(caller.complete());
}

// Guards against a broken stream that looks complete since it has neither a length nor chunks.
TEST_CASE("a stream that ends with its connection inside an event is broken off",
          "[gateway][faults]") {
  Fixture fixture;
  CallerView caller;
  fixture.start(caller, "stream", "r1");
  RawSocket upstream = fixture.accept_request();
  upstream.send(response_head("r1", "X: y"));
  upstream.send("id: 1\ndata: a\n\nid: 2\ndata:");
  upstream.close();
  REQUIRE(caller.wait());
  CHECK_FALSE(caller.complete());
  CHECK(caller.text().find("id: 2") == std::string::npos);
}

// Guards against sound streams that are cut because their events come slowly.
TEST_CASE("a slow stream within the patience of its caller is delivered in full",
          "[gateway][faults]") {
  Fixture fixture;
  CallerView caller;
  fixture.start(caller, "stream", "r1");
  RawSocket upstream = fixture.accept_request();
  upstream.send(response_head("r1", "X: y"));
  for (int id = 1; id <= 3; ++id) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    upstream.send("id: " + std::to_string(id) + "\ndata: a\n\n");
  }
  upstream.close();
  REQUIRE(caller.wait());
  CHECK(caller.complete());
  CHECK(caller.text().find("id: 3") != std::string::npos);
}

// Guards against requests that are passed on late in a shutdown and cut off at its end.
TEST_CASE("a request that may outlast the shutdown is refused before it is passed on",
          "[gateway][shutdown]") {
  struct Row {
    Duration last_arrival;  // From now on, like the next member.
    Duration end;
    bool passed_on;
  };
  // The request has 1200 ms.
  const auto row = GENERATE(values<Row>({{Duration{-1}, Duration{1000}, false},
                                         {Duration{-1}, Duration{5000}, true},
                                         {Duration{500}, Duration{1000}, true}}));
  CAPTURE(row.last_arrival.ms, row.end.ms);
  Fixture fixture;
  const Instant now = Clock().now();
  fixture.set_stopping({.last_arrival = now + row.last_arrival, .end = now + row.end});
  const std::string route = GENERATE("order", "lookup", "stream");
  CallerView caller;
  fixture.start(caller, route, "r1");
  CHECK(fixture.listener().has_connection(200) == row.passed_on);
  if (!row.passed_on) {
    REQUIRE(caller.wait());
    CHECK(caller.complete());
    CHECK(caller.text().starts_with("HTTP/1.1 503"));
    CHECK(caller.text().find("Connection: close") != std::string::npos);
    CHECK(caller.text().find("Retry-After: ") != std::string::npos);
  }
}

// Guards against connections that end without an answer when the gateway ends, and against an
// answer that says of a request that may have run that it did not.
TEST_CASE("all requests are answered when the gateway ends", "[gateway][shutdown]") {
  struct Row {
    std::string route;
    std::string sent;    // By the upstream.
    std::string status;  // Of the response to the caller.
    bool complete;
  };
  const auto row = GENERATE(values<Row>({
      {"order", "", "HTTP/1.1 502", true},
      {"lookup", "", "HTTP/1.1 502", true},
      {"stream", "", "HTTP/1.1 502", true},
      {"order", response_head("r1", "Content-Length: 100") + "part", "HTTP/1.1 502", true},
      {"stream", response_head("r1", "X: y") + "id: 1\n", "HTTP/1.1 502", true},
      {"stream", response_head("r1", "X: y") + "id: 1\ndata: a\n\n", "HTTP/1.1 200", false},
  }));
  CAPTURE(row.route, row.sent);
  Fixture fixture;
  CallerView caller;
  fixture.start(caller, row.route, "r1");
  RawSocket upstream = fixture.accept_request();
  upstream.send(row.sent);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  fixture.end_requests();
  REQUIRE(caller.wait(100));
  CHECK(caller.complete() == row.complete);
  CHECK(caller.text().starts_with(row.status));
}

// Guards against requests to a server that has said that it leaves: in a whole answer, in the head
// of a stream that goes on, and in a refusal.
TEST_CASE("a server that says in an answer that it leaves gets no further request",
          "[gateway][faults]") {
  struct Row {
    std::string route;
    std::string answer;
    std::string status;
  };
  const auto row = GENERATE(values<Row>({
      {"order", response_head("r1", "Content-Length: 2\r\nServer-Leaving: 1") + "ok", "200"},
      {"stream", response_head("r1", "X: y\r\nServer-Leaving: 1") + "id: 1\ndata: a\n\n", "200"},
      {"order",
       "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\n"
       "Content-Length: 0\r\n\r\n",
       "503"},
  }));
  CAPTURE(row.answer);
  Fixture fixture;
  CallerView first;
  fixture.start(first, row.route, "r1");
  RawSocket upstream = fixture.accept_request();
  upstream.send(row.answer);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CallerView second;
  fixture.start(second, "order", "r2");
  REQUIRE(second.wait(200));
  CHECK(second.text().starts_with("HTTP/1.1 503"));
  CHECK_FALSE(fixture.listener().has_connection(100));
  upstream.close();  // Ends the stream as it should.
  REQUIRE(first.wait());
  CHECK(first.complete());
  CHECK(first.text().starts_with("HTTP/1.1 " + row.status));
}

// Guards against requests to a server that has asked for none for some time, and against a server
// that gets none afterwards.
TEST_CASE("a server that holds off gets no request before the end of its time",
          "[gateway][faults]") {
  Fixture fixture;
  CallerView first;
  fixture.start(first, "order", "r1");
  RawSocket upstream = fixture.accept_request();
  upstream.send(
      "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nRetry-After: 0.6\r\n"
      "Connection: close\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(first.wait());
  CHECK(first.text().starts_with("HTTP/1.1 503"));
  for (int i = 0; i < 3; ++i) {
    CallerView refused;
    fixture.start(refused, "order", "r" + std::to_string(i + 2));
    REQUIRE(refused.wait(100));
    CHECK(refused.text().starts_with("HTTP/1.1 503"));
    CHECK(refused.text().find("Retry-After: ") != std::string::npos);
  }
  CHECK_FALSE(fixture.listener().has_connection(200));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  CallerView later;
  fixture.start(later, "order", "r9");
  CHECK(fixture.listener().has_connection(500));
}

}  // namespace bluebellstep
