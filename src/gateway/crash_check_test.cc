// Tests of the check whether an upstream has crashed, with upstreams on raw sockets.

#include "gateway/crash_check.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>

#include "tests/support/raw_socket.h"

namespace bluebellstep {

// Guards against the end of the process: an upstream that accepts a connection and resets it ended
// the check a second time if the event loop was late.
TEST_CASE("a check whose connection is reset has one result", "[gateway]") {
  RawListener listener;
  HttpLoop loop;
  std::unique_ptr<CrashCheck> check;
  std::atomic<int> results{0};
  std::atomic<bool> crashed{true};
  loop.run_and_wait([&] {
    check = std::make_unique<CrashCheck>(loop);
    check->start("u1", {"127.0.0.1", listener.port()}, [&](bool has_crashed) {
      ++results;
      crashed = has_crashed;
      // The loop is late, and reads sockets before it runs deferred tasks.
      loop.post_after(Duration{0}, [] {});
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    });
  });
  {
    RawSocket connection = listener.accept();
    const Clock clock;
    const Instant deadline = clock.now() + Duration{5000};
    while (results == 0 && clock.now() < deadline) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    connection.reset();
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  loop.run_and_wait([&] { check.reset(); });
  CHECK(results == 1);
  CHECK_FALSE(crashed);
}

}  // namespace bluebellstep
