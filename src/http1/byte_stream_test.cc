// Tests of how a connection reports its end.

#include "http1/byte_stream.h"

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "http/http_loop.h"
#include "http/http_loop_impl.h"
#include "tests/support/raw_socket.h"

namespace bluebellstep {
namespace {

// More than the kernel's buffers hold for a connection that its peer does not read.
constexpr std::size_t kUploadBytes = 16u << 20;

/** A connection to a peer that the test controls. */
class Fixture {
 public:
  Fixture() {
    loop_.run_and_wait([this] {
      stream_ = std::make_unique<ByteStream>(
          loop_.impl().loop(), Endpoint{"127.0.0.1", listener_.port()},
          ByteStream::Listener{.on_connected = [this] { connected_.set_value(); },
                               .on_bytes = [this](std::string_view bytes) { received_ += bytes; },
                               .on_end = [this](StreamEnd end) { end_.set_value(end); }});
    });
    connected_.get_future().wait();
  }
  ~Fixture() {
    loop_.run_and_wait([this] { stream_.reset(); });
  }

  RawSocket accept() { return listener_.accept(); }

  /** Lets the stream read all that arrived before an error, in small parts. */
  void read_after_write_error() {
    loop_.run_and_wait([this] {
      stream_->set_max_read(1000);
      stream_->set_reads_after_write_error();
    });
  }

  /** Writes `size` bytes and returns how many of them the kernel has not accepted. */
  std::size_t write(std::size_t size) {
    loop_.run_and_wait([&] { stream_->write(std::string(size, 'u')); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    std::size_t unsent = 0;
    loop_.run_and_wait([&] { unsent = stream_->unsent(); });
    return unsent;
  }

  /** Runs `task` on the loop, which notices its effects only afterwards and all at once. */
  template <typename Task>
  void run_on_loop(Task task) {
    loop_.run_and_wait(task);
  }

  /** Returns how the connection has ended, or nothing if it has not within 10 s. */
  std::optional<StreamEnd> wait_for_end() {
    auto end = end_.get_future();
    const bool ended = end.wait_for(std::chrono::seconds(10)) == std::future_status::ready;
    return ended ? std::optional(end.get()) : std::nullopt;
  }

  std::string received() {
    std::string copy;
    loop_.run_and_wait([&] { copy = received_; });
    return copy;
  }

 private:
  RawListener listener_;
  HttpLoop loop_;
  std::promise<void> connected_;
  std::promise<StreamEnd> end_;
  std::string received_;
  std::unique_ptr<ByteStream> stream_;
};

}  // namespace

// Guards against a reset that is reported as an orderly end. The kernel reports the error of a
// reset once only: to a write, if one is in progress, and reading then returns the end of the
// stream.
TEST_CASE("a reset is no orderly end of a connection", "[http1]") {
  const bool uploading = GENERATE(true, false);
  const std::size_t unread_bytes = GENERATE(as<std::size_t>{}, 0, 4, 32u << 10);
  CAPTURE(uploading, unread_bytes);
  Fixture fixture;
  RawSocket peer = fixture.accept();
  peer.send("part");
  const std::size_t unsent = fixture.write(uploading ? kUploadBytes : 4);
  REQUIRE((unsent > 0) == uploading);
  fixture.run_on_loop([&] {
    peer.send(std::string(unread_bytes, 'x'));
    peer.reset();
  });
  CHECK(fixture.wait_for_end() == StreamEnd::kBroken);
  CHECK(fixture.received().starts_with("part"));
}

// Guards against a whole answer that is lost: a write notices the reset while the answer that the
// peer sent before is still unread.
TEST_CASE("bytes that arrived before a reset are read after a write error", "[http1]") {
  Fixture fixture;
  fixture.read_after_write_error();
  RawSocket peer = fixture.accept();
  REQUIRE(fixture.write(kUploadBytes) > 0);
  const std::string answer(32u << 10, 'x');
  fixture.run_on_loop([&] {
    peer.send(answer);
    peer.reset();
  });
  CHECK(fixture.wait_for_end() == StreamEnd::kBroken);
  CHECK(fixture.received() == answer);
}

// Guards against whole messages that are taken for broken ones.
TEST_CASE("a close by the peer is an orderly end of a connection", "[http1]") {
  const bool uploading = GENERATE(true, false);
  CAPTURE(uploading);
  Fixture fixture;
  RawSocket peer = fixture.accept();
  const std::size_t unsent = fixture.write(uploading ? kUploadBytes : 4);
  REQUIRE((unsent > 0) == uploading);
  fixture.run_on_loop([&] {
    peer.send("whole");
    ::shutdown(peer.fd(), SHUT_WR);
  });
  CHECK(fixture.wait_for_end() == StreamEnd::kClosed);
  CHECK(fixture.received() == "whole");
}

}  // namespace bluebellstep
