// Tests of what callers receive if an upstream repeats an answer, breaks a stream off, stops in the
// middle of an answer's head, sends a head that HTTP does not allow, or resets the connection while
// a request is being written.

#include <sys/socket.h>

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "http1/byte_stream.h"
#include "tests/support/raw_socket.h"
#include "tests/support/socket_gateway.h"
#include "tests/support/upstream_response.h"

namespace bluebellstep {
namespace {

constexpr std::string_view kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
// Body of a request that the kernel's buffers cannot hold, so that the gateway is still writing it
// while the upstream reads nothing.
constexpr std::size_t kUploadBytes = 16u << 20;

std::shared_ptr<const ServingConfig> make_config() {
  const auto route = [](std::string name, RequestKind kind, std::uint32_t max_attempts) {
    return RouteRule{.name = name,
                     .host = "h",
                     .path_prefix = "/" + name + "/",
                     .kind = kind,
                     .timeout = Duration{3000},
                     .latency_goal = Duration{1000},
                     .targets = {{.service = "s"}},
                     .max_attempts = max_attempts,
                     .resumable = kind == RequestKind::kStream && max_attempts > 1};
  };
  ServingConfig config{.version = 1};
  config.routes = {
      route("order", RequestKind::kNonIdempotent, 1), route("lookup", RequestKind::kIdempotent, 2),
      route("stream", RequestKind::kStream, 1), route("resumable", RequestKind::kStream, 2)};
  config.services.emplace("s", ServiceInfo{.name = "s", .max_connections = 100});
  config.limits.max_body_bytes = kUploadBytes;
  return std::make_shared<const ServingConfig>(std::move(config));
}

std::string request(std::string_view route,
                    std::string_view id,
                    std::string_view version = "1.1",
                    std::size_t body_bytes = 0) {
  return "POST /" + std::string(route) + "/1 HTTP/" + std::string(version) +
         "\r\nHost: h\r\nRequest-Id: " + std::string(id) +
         "\r\nDeadline-Ms: 3000\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
         std::string(body_bytes, 'u');
}

std::string upload(std::string_view route, std::string_view id) {
  return request(route, id, "1.1", kUploadBytes);
}

// Whether the caller receives a successful answer that ends with `end`.
bool receives_answer(RawSocket& caller, std::string_view end) {
  const std::string received = caller.receive_until(end);
  return received.starts_with("HTTP/1.1 200") && received.ends_with(end);
}

// Most bytes that the kernel keeps for a connection that its peer does not read, except those that
// the peer's kernel keeps.
std::size_t max_send_buffer() {
  std::ifstream file("/proc/sys/net/ipv4/tcp_wmem");
  std::size_t smallest = 0;
  std::size_t initial = 0;
  std::size_t largest = 0;
  file >> smallest >> initial >> largest;
  return largest;
}

std::string answer(std::string_view id,
                   std::string_view status,
                   std::string_view fields,
                   std::string_view body) {
  return "HTTP/1.1 " + std::string(status) + "\r\nRequest-Id: " + std::string(id) +
         "\r\nKeep-Alive: timeout=5\r\n" + std::string(fields) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

std::string refused(std::string_view id) {
  return answer(id, "503 Service Unavailable", "Not-Executed: 1\r\n", "full");
}

/** A gateway with upstreams whose connections the test accepts and answers. */
class Fixture : public SocketGateway {
 public:
  explicit Fixture(int upstreams) : SocketGateway({.ratio = 1, .fixed_retries = 10}) {
    set_config(make_config());
    for (int i = 1; i <= upstreams; ++i) {
      add_upstream("u" + std::to_string(i), upstream.port());
    }
  }

  RawSocket accept_request() { return upstream.accept_request(); }

  /** Resets the connection once the gateway has read what the upstream has sent. */
  static void reset_later(RawSocket& connection) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    connection.reset();
  }

  RawListener upstream;
};

}  // namespace

// Guards against a caller that is told "not run" while its request runs: a faulty server writes its
// refusal of an earlier request once more on a kept connection.
TEST_CASE("a repeated refusal of an earlier request refuses no later one", "[gateway][faults]") {
  Fixture gateway(1);
  RawSocket caller = gateway.connect();
  caller.send(request("order", "r1"));
  RawSocket upstream = gateway.accept_request();
  upstream.send(complete_response("r1", "one"));
  REQUIRE(caller.receive_until("one").ends_with("one"));
  caller.send(request("order", "r2"));
  upstream.receive_until("\r\n\r\n");
  upstream.send(refused("r2"));
  REQUIRE(caller.receive_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
  // The gateway sends nothing to an upstream for a moment after a refusal.
  std::string sent;
  for (int i = 0; i < 50 && sent.empty(); ++i) {
    caller.send(request("order", "r3"));
    sent = upstream.receive_some(100);
    if (sent.empty()) {
      caller.receive_until("\r\n\r\n");
    }
  }
  REQUIRE(sent.find("r3") != std::string::npos);
  upstream.send(refused("r2"));

  SECTION("the answer follows") {
    upstream.send(complete_response("r3", "three"));
    const std::string received = caller.receive_until("three");
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(received.ends_with("three"));
  }
  SECTION("the connection ends") {
    upstream.close();
    CHECK(caller.receive_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
  }
  SECTION("another refusal without an id follows") {
    upstream.send(
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    upstream.close();
    CHECK(caller.receive_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
  }
}

// Guards against an error's text, or its head, within a stream that has begun, and against a stream
// that ends as if it were complete.
TEST_CASE("the error of a second upstream is no part of a stream that has begun",
          "[gateway][faults]") {
  const std::string error =
      GENERATE(answer("r1", "500 Internal Server Error", "Server-Seal: s\r\n", "data: broken\n\n"),
               answer("r1", "503 Service Unavailable", "Not-Executed: 1\r\n", "data: broken\n\n"),
               answer("r1", "404 Not Found", "Server-Seal: s\r\n", "data: broken\n\n"),
               answer("r1", "302 Found", "Server-Seal: s\r\n", "data: broken\n\n"),
               answer("r1", "200 OK", "", "id: 3\ndata: broken\n\n"),  // Not signed.
               std::string("HTTP/1.1 500 Internal broken"), std::string("data: broken\n\n"));
  CAPTURE(error);
  Fixture gateway(2);
  RawSocket caller = gateway.connect();
  caller.send(request("resumable", "r1"));
  {
    RawSocket first = gateway.accept_request();
    first.send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n\r\n");
    first.send(kEvents);
    REQUIRE(caller.receive_until("data: b\n\n").find("data: b") != std::string::npos);
    first.send("id: 3\ndata: br");
  }
  {
    RawSocket second = gateway.accept_request();
    second.send(error);
  }
  const std::string rest = caller.receive_all();
  CHECK(rest.find("br") == std::string::npos);
  CHECK(rest.find("HTTP/") == std::string::npos);
  CHECK(rest.find("0\r\n\r\n") == std::string::npos);  // The last chunk would end the stream.
}

// Guards against an empty or short answer that is framed as whole.
TEST_CASE("an answer that ends within its head is no answer", "[gateway][faults]") {
  const std::string route = GENERATE("order", "stream");
  const std::string complete = complete_response("r1", "id: 1\ndata: a\n\n");
  const std::size_t head_size = complete.find("\r\n\r\n") + 4;
  for (std::size_t size = 0; size < head_size; size += 5) {
    CAPTURE(route, size);
    Fixture gateway(1);
    RawSocket caller = gateway.connect();
    caller.send(request(route, "r1"));
    {
      RawSocket upstream = gateway.accept_request();
      upstream.send(std::string_view(complete).substr(0, size));
    }
    CHECK(caller.receive_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
  }
}

// Guards against a broken stream that looks complete to a caller of HTTP/1.0, whose answers end
// with the connection: only a reset tells the difference.
TEST_CASE("a broken stream to a caller without chunks is reset", "[gateway][faults]") {
  Fixture gateway(1);
  RawSocket caller = gateway.connect();
  caller.send(request("stream", "r1", "1.0"));
  {
    RawSocket upstream = gateway.accept_request();
    upstream.send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n\r\n");
    upstream.send(kEvents);
    REQUIRE(caller.receive_until("data: b\n\n").find("data: b") != std::string::npos);
    upstream.send("id: 3\ndata: br");
  }
  std::array<char, 64> buffer;
  const ssize_t count = ::recv(caller.fd(), buffer.data(), buffer.size(), 0);
  CHECK(count < 0);
  CHECK(errno == ECONNRESET);
}

// Guards against a status that callers cannot interpret.
TEST_CASE("an answer with an undefined status is no answer", "[gateway][faults]") {
  const std::string route = GENERATE("order", "lookup", "stream");
  const std::string status = GENERATE("000 X", "099 X", "101 X", "600 X", "999 X");
  CAPTURE(route, status);
  Fixture gateway(1);
  RawSocket caller = gateway.connect();
  caller.send(request(route, "r1"));
  {
    RawSocket upstream = gateway.accept_request();
    upstream.send(answer("r1", status, "Server-Seal: s\r\n", "id: 1\ndata: a\n\n"));
  }
  CHECK(caller.receive_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
}

// Guards against a line that is passed on although another HTTP implementation may read it as
// another field, and against a body that ends elsewhere than the upstream ended it.
TEST_CASE("an answer with an invalid field name is no answer", "[gateway][faults]") {
  const std::string route = GENERATE("order", "lookup", "stream");
  const std::string field = GENERATE("X Y: 1", "X : 1", "X\t: 1", "X\x01Y: 1", "X\x7fY: 1",
                                     "Content-Length : 4", "Transfer-Encoding : chunked");
  const bool has_length = GENERATE(true, false);
  CAPTURE(route, field, has_length);
  const std::string fields = "Server-Seal: s\r\n" + field + "\r\n";
  Fixture gateway(1);
  RawSocket caller = gateway.connect();
  caller.send(request(route, "r1"));
  {
    RawSocket upstream = gateway.accept_request();
    upstream.send(has_length ? answer("r1", "200 OK", fields, "id: 1\ndata: a\n\n")
                             : "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + fields +
                                   "\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
  }
  CHECK(caller.receive_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
}

// Guards against a request that fails although another upstream answers it.
TEST_CASE("a lookup is retried after an invalid head", "[gateway][faults]") {
  const std::string broken = GENERATE(answer("r1", "000 X", "Server-Seal: s\r\n", "broken"),
                                      complete_response("r1", "broken").insert(17, "X Y: 1\r\n"));
  CAPTURE(broken);
  Fixture gateway(2);
  RawSocket caller = gateway.connect();
  caller.send(request("lookup", "r1"));
  RawSocket first = gateway.accept_request();
  first.send(broken);
  RawSocket second = gateway.accept_request();
  second.send(complete_response("r1", "whole"));
  CHECK(receives_answer(caller, "whole"));
}

// Guards against a part of an answer that is taken for all of it. The gateway notices a reset first
// in a write if it is still writing the request; reading then reports an orderly end.
TEST_CASE("an answer without a length that ends with a reset during an upload is incomplete",
          "[gateway][faults]") {
  REQUIRE(max_send_buffer() < kUploadBytes / 2);
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n\r\n";
  Fixture gateway(2);
  RawSocket caller = gateway.connect();

  SECTION("of a request that may run only once") {
    caller.send(upload("order", "r1"));
    RawSocket upstream = gateway.accept_request();
    upstream.send(head + "part");
    gateway.reset_later(upstream);
    CHECK(caller.receive_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
  }
  SECTION("of a request that may run again") {
    caller.send(upload("lookup", "r1"));
    RawSocket first = gateway.accept_request();
    first.send(head + "part");
    gateway.reset_later(first);
    RawSocket second = gateway.accept_request();
    second.send(complete_response("r1", "whole"));
    CHECK(receives_answer(caller, "whole"));
  }
  SECTION("of a stream") {
    caller.send(upload("stream", "r1"));
    RawSocket upstream = gateway.accept_request();
    upstream.send(head + std::string(kEvents));
    const std::string received = caller.receive_until("data: b\n\n");
    gateway.reset_later(upstream);
    const std::string rest = caller.receive_all();
    CHECK((received + rest).find("0\r\n\r\n") == std::string::npos);
  }
}

// Guards against whole answers that are lost: an upstream may answer before it has read the request
// and then close the connection in an orderly way.
TEST_CASE("an answer without a length that ends with a close during an upload is complete",
          "[gateway][faults]") {
  REQUIRE(max_send_buffer() < kUploadBytes / 2);
  Fixture gateway(1);
  RawSocket caller = gateway.connect();
  caller.send(upload("order", "r1"));
  RawSocket upstream = gateway.accept_request();
  upstream.send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n\r\nwhole");
  ::shutdown(upstream.fd(), SHUT_WR);
  CHECK(receives_answer(caller, "whole"));
}

// Guards against a whole answer that is lost, if the gateway notices a reset in a write before it
// has read all of the answer.
TEST_CASE("a whole answer before a reset during an upload is delivered", "[gateway][faults]") {
  REQUIRE(max_send_buffer() < kUploadBytes / 2);
  // More than the gateway reads at once.
  const std::string body(2 * ByteStream::kMaxReadBytes, 'w');
  Fixture gateway(1);
  RawSocket caller = gateway.connect();
  caller.send(request("order", "r1"));
  RawSocket upstream = gateway.accept_request();
  // A large answer makes the kernel accept as much at once later.
  upstream.send(complete_response("r1", std::string(3u << 20, 'w') + "end"));
  REQUIRE(caller.receive_until("end").ends_with("end"));
  caller.send(upload("order", "r2"));
  upstream.receive_until("\r\n\r\n");
  bool arrived = false;
  gateway.run_on_loop([&] {
    upstream.send(complete_response("r2", body + "whole"));
    arrived = upstream.wait_until_acknowledged();
    upstream.reset();
  });
  REQUIRE(arrived);
  CHECK(receives_answer(caller, "whole"));
  caller.send(request("order", "r3"));
  CHECK(gateway.upstream.has_connection(RawSocket::kReadTimeoutMs));
}

}  // namespace bluebellstep
