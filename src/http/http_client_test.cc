// Tests of the HTTP client with faulty servers on raw sockets.

#include "http/http_client.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "http/http_loop.h"
#include "tests/support/raw_socket.h"

namespace bluebellstep {
namespace {

HttpCall call_to(std::uint16_t port, std::string path = "/") {
  HttpCall call;
  call.endpoint = {"127.0.0.1", port};
  call.path = std::move(path);
  return call;
}

bool is_complete(const HttpClient::Response& response) {
  return std::holds_alternative<HttpClient::Complete>(response.outcome);
}

bool may_have_been_sent(const HttpClient::Response& response) {
  return std::get<HttpClient::Failed>(response.outcome).may_have_been_sent;
}

/** Starts a call and returns a future for its response. */
std::future<HttpClient::Response> send_async(HttpClient& client, HttpCall call) {
  const auto done = std::make_shared<std::promise<HttpClient::Response>>();
  client.send(std::move(call), [done](HttpClient::Response r) { done->set_value(std::move(r)); });
  return done->get_future();
}

struct Fixture {
  HttpLoop loop;
  HttpClient client{loop};
  RawListener listener;

  /** Sends a call; the server responds with `answer` and closes the connection. */
  HttpClient::Response exchange(std::string_view answer, HttpCall call) {
    auto response = send_async(client, std::move(call));
    RawSocket server = listener.accept();
    server.receive_until("\r\n\r\n");
    server.send(answer);
    server.close();
    return response.get();
  }
  HttpClient::Response exchange(std::string_view answer) {
    return exchange(answer, call_to(listener.port()));
  }
};

}  // namespace

// Guards against calls reported as possibly sent although no connection was made.
TEST_CASE("a refused connection is reported as not sent", "[http][client]") {
  HttpLoop loop;
  HttpClient client(loop);
  std::uint16_t port = 0;
  {
    const RawListener listener;
    port = listener.port();
  }
  const auto response = client.send_and_wait(call_to(port));
  CHECK(response.status == 0);
  CHECK_FALSE(may_have_been_sent(response));
}

// Guards against header injection through values that a caller has set.
TEST_CASE("a call with control characters is rejected and not sent", "[http][client]") {
  HttpLoop loop;
  HttpClient client(loop);
  HttpCall call = call_to(1);
  call.headers = {{"x", "a\r\ny: b"}};
  CHECK_FALSE(may_have_been_sent(client.send_and_wait(call)));
  CHECK_FALSE(may_have_been_sent(client.send_and_wait(call_to(1, "/a b"))));
  HttpCall named = call_to(1);
  named.endpoint.ip = "localhost";
  CHECK_FALSE(may_have_been_sent(client.send_and_wait(named)));
}

// Guards against a call that is blocked forever by a connection that hangs in the TCP handshake.
TEST_CASE("a connection that is not established times out as not sent", "[http][client]") {
  HttpLoop loop;
  HttpClient client(loop);
  RawListener listener(/*backlog=*/0);
  // Fills the accept queue, so that further handshakes get no answer.
  std::vector<RawSocket> fillers;
  fillers.push_back(RawSocket::connect(listener.port()));
  HttpCall call = call_to(listener.port());
  call.connect_timeout = 100_ms;
  call.idle_timeout = 300_ms;
  bool timed_out = false;
  for (int i = 0; i < 3 && !timed_out; ++i) {
    const auto response = client.send_and_wait(call);
    timed_out = !may_have_been_sent(response);
  }
  CHECK(timed_out);
}

// Guards against a request that the server has read and the client reports as not sent.
TEST_CASE("a close after the request was sent is reported as possibly sent", "[http][client]") {
  Fixture fixture;
  const auto response = fixture.exchange("");
  CHECK(response.status == 0);
  CHECK(may_have_been_sent(response));
}

// Guards against truncated responses that are reported as complete. h2o's client reports a response
// that is truncated between chunks like a complete one.
TEST_CASE("a truncated response is not complete", "[http][client]") {
  const auto [name, answer] = GENERATE(table<std::string, std::string>({
      {"in the head", "HTTP/1.1 200 OK\r\nconte"},
      {"in a body with length", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345"},
      {"before a body with length", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n"},
      {"in a chunk", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\n12345"},
      {"between chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n"},
      {"before the chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"},
      {"without a length", "HTTP/1.1 200 OK\r\n\r\n12345"},
      {"not HTTP", "no such protocol\r\n\r\n"},
  }));
  INFO(name);
  Fixture fixture;
  const auto response = fixture.exchange(answer);
  CHECK_FALSE(is_complete(response));
  CHECK(may_have_been_sent(response));
}

// Guards against heads that h2o's client accepts although HTTP does not allow them: an undefined
// status, a folded line, and contradictory lengths.
TEST_CASE("a response with an invalid head fails without a status", "[http][client]") {
  const std::string head = GENERATE(
      "000 X\r\n", "099 X\r\n", "101 X\r\n", "600 X\r\n", "999 X\r\n",
      "200 OK\r\nx: 1\r\n y: 2\r\n", "200 OK\r\nx y: 1\r\n", "200 OK\r\nx : 1\r\n",
      "200 OK\r\nx\x01y: 1\r\n", "200 OK\r\nx\x7fy: 1\r\n", "200 OK\r\ncontent-length : 1\r\n",
      "200 OK\r\ncontent-length: 1\r\n", "200 OK\r\ntransfer-encoding: chunked\r\n");
  CAPTURE(head);
  Fixture fixture;
  const auto response = fixture.exchange("HTTP/1.1 " + head + "content-length: 2\r\n\r\n{}");
  CHECK_FALSE(is_complete(response));
  CHECK(may_have_been_sent(response));
  CHECK(response.status == 0);
  CHECK(response.body.empty());
}

// Guards against a part of a response that is reported as complete.
TEST_CASE("a response without a length that ends with a reset is not complete", "[http][client]") {
  // h2o reports the last bytes and the reset at once if these bytes fill its buffer of 8192 bytes.
  const std::size_t last_read = GENERATE(as<std::size_t>{}, 0, 5, 8192);
  const std::size_t request_bytes = GENERATE(as<std::size_t>{}, 0, 16u << 20);
  CAPTURE(last_read, request_bytes);
  Fixture fixture;
  HttpCall call = call_to(fixture.listener.port());
  call.method = "POST";
  call.body.assign(request_bytes, 'u');
  auto response = send_async(fixture.client, std::move(call));
  RawSocket server = fixture.listener.accept();
  server.receive_until("\r\n\r\n");
  server.send("HTTP/1.1 200 OK\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  fixture.loop.run_and_wait([&] {
    server.send(std::string(last_read, 'x'));
    server.reset();
  });
  CHECK_FALSE(is_complete(response.get()));
}

// Guards against a loop that waits for events, for up to 1 s, while h2o has callbacks to run.
TEST_CASE("calls on a kept connection do not wait", "[http][client]") {
  Fixture fixture;
  const auto start = std::chrono::steady_clock::now();
  std::optional<RawSocket> server;
  for (int i = 0; i < 5; ++i) {
    auto response = send_async(fixture.client, call_to(fixture.listener.port()));
    if (!server) {
      server.emplace(fixture.listener.accept());
    }
    server->receive_until("\r\n\r\n");
    server->send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    CHECK(response.get().body == "ok");
  }
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(900));
}

TEST_CASE("a response received in full is complete", "[http][client]") {
  const auto [answer, body] = GENERATE(table<std::string, std::string>({
      {"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n12345", "12345"},
      {"HTTP/1.1 204 No Content\r\n\r\n", ""},
      {"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", ""},
      {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n", "12345"},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx", "x"},
  }));
  INFO(answer);
  Fixture fixture;
  const auto response = fixture.exchange(answer);
  CHECK(is_complete(response));
  CHECK(response.body == body);
}

// Guards against a call that is blocked forever by an unresponsive server.
TEST_CASE("a response that does not start or stalls times out", "[http][client]") {
  const std::string answer =
      GENERATE(as<std::string>{}, "", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n1");
  Fixture fixture;
  HttpCall call = call_to(fixture.listener.port());
  call.idle_timeout = 100_ms;
  auto response = send_async(fixture.client, call);
  RawSocket server = fixture.listener.accept();
  server.receive_until("\r\n\r\n");
  server.send(answer);
  const HttpClient::Response result = response.get();
  CHECK(may_have_been_sent(result));
  CHECK(server.receive_all().empty());  // The connection was closed.
}

// Guards against memory that grows, and calls that never end, with the bytes of a faulty server.
TEST_CASE("a response without end fails", "[http][client]") {
  Fixture fixture;
  HttpCall call = call_to(fixture.listener.port());
  call.idle_timeout = 100_ms;
  auto response = send_async(fixture.client, call);
  RawSocket server = fixture.listener.accept();
  server.receive_until("\r\n\r\n");
  SECTION("large body") {
    server.send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    const std::string chunk = "8000\r\n" + std::string(32u << 10, 'x') + "\r\n";
    std::size_t sent = 0;
    while (sent < 4 * HttpClient::kMaxBufferedResponseBytes && server.send(chunk)) {
      sent += chunk.size();
    }
    CHECK(sent < 4 * HttpClient::kMaxBufferedResponseBytes);
  }
  SECTION("single bytes") {
    server.send("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n");
    int sent = 0;
    while (sent < 100 && server.send("x")) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      ++sent;
    }
    CHECK(sent < 100);
  }
  CHECK(may_have_been_sent(response.get()));
}

// Guards against memory that grows with the response head of a faulty server.
TEST_CASE("a response head without end fails", "[http][client]") {
  constexpr std::size_t kLimit = 64u << 20;
  Fixture f;
  HttpCall call = call_to(f.listener.port());
  call.idle_timeout = Duration{60'000};
  auto response = send_async(f.client, std::move(call));
  RawSocket server = f.listener.accept();
  server.receive_until("\r\n\r\n");
  server.send("HTTP/1.1 200 OK\r\nX: ");
  const std::string block(32u << 10, 'x');
  std::size_t sent = 0;
  while (sent < kLimit && server.send(block)) {
    sent += block.size();
  }
  CHECK(sent < kLimit);
  REQUIRE(response.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
  const HttpClient::Response result = response.get();
  CHECK_FALSE(is_complete(result));
  CHECK(may_have_been_sent(result));
}

// Guards against a new connection for each call, and against the reuse of a connection on which
// unexpected bytes or a close were received.
TEST_CASE("a connection is reused unless it was closed or unexpected bytes arrived",
          "[http][client]") {
  constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  Fixture fixture;
  auto first = send_async(fixture.client, call_to(fixture.listener.port(), "/1"));
  RawSocket server = fixture.listener.accept();
  server.receive_until("\r\n\r\n");
  server.send(kAnswer);
  CHECK(first.get().body == "ok");

  auto second = send_async(fixture.client, call_to(fixture.listener.port(), "/2"));
  CHECK(server.receive_until("\r\n\r\n").starts_with("GET /2 "));
  SECTION("bytes after the response") {
    server.send(std::string(kAnswer) + "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale");
  }
  SECTION("bytes while idle") {
    server.send(kAnswer);
    CHECK(second.get().body == "ok");
    server.send("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale");
    second = send_async(fixture.client, call_to(fixture.listener.port(), "/3"));
    RawSocket other = fixture.listener.accept();
    other.receive_until("\r\n\r\n");
    other.send(kAnswer);
  }
  SECTION("close while idle") {
    server.send(kAnswer);
    CHECK(second.get().body == "ok");
    server.close();
    second = send_async(fixture.client, call_to(fixture.listener.port(), "/3"));
    RawSocket other = fixture.listener.accept();
    CHECK(other.receive_until("\r\n\r\n").starts_with("GET /3 "));
    other.send(kAnswer);
  }
  const HttpClient::Response last = second.get();
  CHECK(is_complete(last));
  CHECK(last.body == "ok");
}

// Guards against an automatic retry, which would run an order twice.
TEST_CASE("a request that fails on a reused connection is not retried", "[http][client]") {
  Fixture fixture;
  auto first = send_async(fixture.client, call_to(fixture.listener.port()));
  RawSocket server = fixture.listener.accept();
  server.receive_until("\r\n\r\n");
  server.send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
  first.get();
  HttpCall order = call_to(fixture.listener.port());
  order.method = "POST";
  order.body = "order";
  auto second = send_async(fixture.client, order);
  server.receive_until("order");
  server.close();
  CHECK(may_have_been_sent(second.get()));
  CHECK_FALSE(fixture.listener.has_connection(50));
}

// Guards against a server that continues to work on a cancelled call.
TEST_CASE("a cancelled call closes its connection and reports nothing", "[http][client]") {
  Fixture fixture;
  std::atomic<int> calls = 0;
  HttpClient::Listener listener;
  std::promise<void> has_data;
  listener.on_data = [&](std::string_view) {
    ++calls;
    has_data.set_value();
  };
  listener.on_done = [&](const HttpClient::Outcome&) { ++calls; };
  const HttpCallId id = fixture.client.send(call_to(fixture.listener.port()), listener);
  RawSocket server = fixture.listener.accept();
  server.receive_until("\r\n\r\n");
  server.send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n");
  has_data.get_future().wait();
  fixture.client.cancel(id);
  CHECK(server.receive_all().empty());
  fixture.loop.run_and_wait([] {});
  CHECK(calls == 1);
}

// Guards against use after free of a call that its own listener has cancelled.
TEST_CASE("a call may be cancelled from its own listener", "[http][client]") {
  const bool in_head = GENERATE(true, false);
  Fixture fixture;
  std::atomic<int> done = 0;
  std::atomic<std::uint64_t> id = 0;
  HttpClient::Listener listener;
  listener.on_head = [&](int, std::span<const HttpHeader>) {
    if (in_head) {
      fixture.client.cancel({id});
    }
  };
  listener.on_data = [&](std::string_view) { fixture.client.cancel({id}); };
  listener.on_done = [&](const HttpClient::Outcome&) { ++done; };
  id = fixture.client.send(call_to(fixture.listener.port()), listener).value;
  RawSocket server = fixture.listener.accept();
  server.receive_until("\r\n\r\n");
  server.send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok");
  CHECK(server.receive_all().empty());
  CHECK(done == 0);
}

// Guards against a client that waits for its calls when it is destroyed.
TEST_CASE("destroying a client cancels its calls", "[http][client]") {
  HttpLoop loop;
  RawListener listener;
  auto client = std::make_unique<HttpClient>(loop);
  std::atomic<int> done = 0;
  client->send(call_to(listener.port()), [&](HttpClient::Response) { ++done; });
  RawSocket server = listener.accept();
  server.receive_until("\r\n\r\n");
  client.reset();
  CHECK(server.receive_all().empty());
  CHECK(done == 0);
}

}  // namespace bluebellstep
