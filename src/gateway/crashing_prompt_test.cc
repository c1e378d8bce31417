// Tests of the forwarder with a prompt segment under which upstreams crash, on real sockets.

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "tests/support/socket_gateway.h"

namespace bluebellstep {
namespace {

constexpr int kUpstreams = 16;
// The users' bound: crashes after which at most three further requests may reach an upstream.
constexpr int kMaxCrashes = 5;
constexpr std::string_view kDeadlySegment = "dead";

std::shared_ptr<const ServingConfig> make_config() {
  ServingConfig config{.version = 1};
  RouteRule prompt{.name = "prompt",
                   .host = "h",
                   .path_prefix = "/prompt/",
                   .kind = RequestKind::kStream,
                   .timeout = Duration{3000},
                   .latency_goal = Duration{300},
                   .targets = {{.service = "s"}},
                   .max_attempts = 2,
                   .resumable = true};
  config.routes = {prompt};
  config.services.emplace("s", ServiceInfo{.name = "s", .max_connections = 100});
  return std::make_shared<const ServingConfig>(std::move(config));
}

/** An upstream that crashes under requests with the deadly segment: it closes their connection and
 * accepts no others any more. Answers other requests. */
class Upstream {
 public:
  ~Upstream() {
    stopping_ = true;
    thread_.join();
  }

  std::uint16_t port() const { return port_; }
  bool crashed() const { return crashed_; }
  /** Closes the connections of all further requests, and goes on to accept others. */
  void set_breaking_off(bool breaking_off) { breaking_off_ = breaking_off; }

 private:
  void serve() {
    constexpr int kPollMs = 10;
    while (!stopping_ && !crashed_) {
      if (!listener_->has_connection(kPollMs)) {
        continue;
      }
      RawSocket connection = listener_->accept();
      const std::string request = connection.receive_until("\r\n\r\n");
      if (request.empty() || breaking_off_) {
        continue;
      }
      if (request.find(kDeadlySegment) != std::string::npos) {
        listener_.reset();
        crashed_ = true;
        return;
      }
      const std::size_t id = request.find("Request-Id: ");
      connection.send("HTTP/1.1 200 OK\r\n" + request.substr(id, request.find('\r', id) - id) +
                      "\r\nServer-Seal: s\r\nConnection: close\r\nContent-Length: 15\r\n\r\n" +
                      "id: 1\ndata: x\n\n");
    }
  }

  std::unique_ptr<RawListener> listener_ = std::make_unique<RawListener>(64);
  std::uint16_t port_ = listener_->port();
  std::atomic<bool> stopping_{false};
  std::atomic<bool> crashed_{false};
  std::atomic<bool> breaking_off_{false};
  std::thread thread_{[this] { serve(); }};  // Last member, since it uses the others.
};

using Upstreams = std::array<Upstream, kUpstreams>;

/** A gateway in front of the upstreams. */
class Fixture : public SocketGateway {
 public:
  explicit Fixture(const Upstreams& upstreams) : SocketGateway({.ratio = 1, .fixed_retries = 100}) {
    set_config(make_config());
    for (const Upstream& upstream : upstreams) {
      add_upstream("u" + std::to_string(upstream.port()), upstream.port());
    }
  }

  /** Sends a request with the given prompt and returns the response. */
  std::string request(std::string_view id, std::string_view prompt) const {
    RawSocket caller = connect();
    caller.send("GET /prompt/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + std::string(id) +
                "\r\nPrompt-Prefix: " + std::string(prompt) +
                "\r\nDeadline-Ms: 3000\r\nConnection: close\r\n\r\n");
    return caller.receive_all();
  }
};

}  // namespace

// Guards against a prompt segment that crashes one upstream after the other, and against the loss
// of sound prompts that begin with the same segment.
TEST_CASE("a prompt segment under which upstreams crash is not sent to further ones",
          "[gateway][quarantine]") {
  Upstreams upstreams;
  const Fixture fixture(upstreams);
  for (int i = 0; i < 8; ++i) {
    fixture.request("deadly" + std::to_string(i),
                    "a1:100," + std::string(kDeadlySegment) + ":50," + std::to_string(i) + ":10");
  }
  CHECK(std::count_if(upstreams.begin(), upstreams.end(),
                      [](const Upstream& upstream) { return upstream.crashed(); }) <= kMaxCrashes);
  for (int i = 0; i < 4; ++i) {
    const std::string response =
        fixture.request("sound" + std::to_string(i), "a1:100,b" + std::to_string(i) + ":50,c1:10");
    CHECK(response.starts_with("HTTP/1.1 200"));
  }
}

// Guards against sound prompts that are refused for minutes: their connections were lost, here and
// on the way to the upstream, but no upstream had crashed.
TEST_CASE("prompts are served again after upstreams that run have broken off answers",
          "[gateway][quarantine]") {
  Upstreams upstreams;
  const Fixture fixture(upstreams);
  for (Upstream& upstream : upstreams) {
    upstream.set_breaking_off(true);
  }
  for (int i = 0; i < 8; ++i) {
    const std::string response =
        fixture.request("lost" + std::to_string(i), "a1:100," + std::to_string(i) + ":10");
    CHECK(response.starts_with("HTTP/1.1 502"));
  }
  for (Upstream& upstream : upstreams) {
    upstream.set_breaking_off(false);
  }
  CHECK(fixture.request("answered", "a1:100,c1:10").starts_with("HTTP/1.1 200"));
}

}  // namespace bluebellstep
