// Tests of streams whose software version is recorded before their first event, on real sockets.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/support/streams_gateway.h"
#include "tests/support/upstream_response.h"

namespace bluebellstep {

// Guards against a first event that reaches the caller before the store can tell its version.
TEST_CASE("the first event waits for the record of its version", "[gateway][stream_versions]") {
  RawListener version_2;
  StreamsGateway gateway;
  gateway.set_recorded("2");
  gateway.add(version_2, "2");
  RawSocket caller = gateway.request("stream", "r1");
  RawSocket upstream = version_2.accept_request();
  const std::string events = std::string(kFirstEvent) + std::string(kSecondEvent);
  const auto answer = GENERATE_COPY(
      values<std::string>({complete_response("r1", events), response_head("r1", "X: y") + events}));
  const bool ended = GENERATE(true, false);
  const std::size_t sent_before = answer.size() - (ended ? 0 : kSecondEvent.size());
  upstream.send(answer.substr(0, sent_before));
  if (ended) {
    upstream.close();
  }
  CHECK(caller.receive_some(kQuietMs).empty());
  CHECK(gateway.begun().empty());
  gateway.report_record(0, true);
  if (!ended) {
    upstream.send(answer.substr(sent_before));
    upstream.close();
  }
  const std::string received = caller.receive_until(kEndOfChunks);
  CHECK(contains(received, kFirstEvent));
  CHECK(contains(received, kSecondEvent));
  CHECK(contains(received, kEndOfChunks));
  const StreamAndVersion stream{stream_key("", "r1"), "2"};
  CHECK(gateway.recorded() == std::vector{stream});
  CHECK(gateway.begun() == std::vector{stream});
}

// Guards against a stream that is lost, or goes on at another version, since it broke off early.
TEST_CASE("a stream that breaks off before its record is acknowledged goes on at its version",
          "[gateway][stream_versions]") {
  RawListener version_1;
  RawListener version_2;
  RawListener also_version_2;
  StreamsGateway gateway;
  gateway.set_recorded("2");
  gateway.add(version_2, "2");
  RawSocket caller = gateway.request("stream", "r1");
  RawSocket first = version_2.accept_request();
  first.send(response_head("r1", "Content-Length: 100") + std::string(kFirstEvent));
  first.close();
  CHECK(caller.receive_some(kQuietMs).empty());
  gateway.set_usable({"1", "2"});
  gateway.add(version_1, "1");
  gateway.add(also_version_2, "2");
  gateway.report_record(0, true);
  also_version_2.accept_request().send(complete_response("r1", kSecondEvent));
  const std::string received = caller.receive_until(kEndOfChunks);
  CHECK(contains(received, kFirstEvent));
  CHECK(contains(received, kSecondEvent));
  CHECK_FALSE(version_1.has_connection(0));
  CHECK(gateway.recorded().size() == 1);
}

// Guards against a second version for a stream whose record may be in the store all the same, and
// against an answer "not run" to a request that has run.
TEST_CASE("a stream whose record fails ends without another attempt",
          "[gateway][stream_versions]") {
  RawListener version_1;
  RawListener version_2;
  StreamsGateway gateway;
  gateway.set_recorded("2");
  gateway.add(version_1, "1");
  gateway.add(version_2, "2");
  RawSocket caller = gateway.request("stream", "r1");
  RawSocket upstream = version_2.accept_request();
  gateway.set_usable({"1", "2"});
  const auto sent = GENERATE(values<std::string>(
      {"", complete_response("r1", kFirstEvent), response_head("r1", "X: y") + "id: 1\n"}));
  upstream.send(sent);
  if (!sent.empty()) {
    upstream.close();
    REQUIRE(caller.receive_some(kQuietMs).empty());
  }
  gateway.report_record(0, false);
  CHECK(caller.receive_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
  CHECK_FALSE(version_1.has_connection(kQuietMs));
  CHECK_FALSE(version_2.has_connection(0));
  CHECK(gateway.begun().empty());
}

// Guards against a request that is sent although its version cannot be recorded.
TEST_CASE("a stream whose record fails at once is refused", "[gateway][stream_versions]") {
  RawListener version_2;
  StreamsGateway gateway;
  gateway.set_recorded("2");
  gateway.run([](FakeStreamVersions& versions) { versions.fails_at_once = true; });
  gateway.add(version_2, "2");
  RawSocket caller = gateway.request("stream", "r1");
  CHECK(is_refused_at_once(caller));
  CHECK((!version_2.has_connection(kQuietMs) || version_2.accept().receive_all().empty()));
}

// Guards against use of a request that has ended when the store answers.
TEST_CASE("a caller may leave while the version of its stream is looked up or recorded",
          "[gateway][stream_versions]") {
  RawListener version_2;
  StreamsGateway gateway;
  gateway.set_recorded("2");
  gateway.add(version_2, "2");
  const auto leave = [&](RawSocket& caller) {
    caller.close();
    return gateway.wait_until([&](FakeStreamVersions&) { return !gateway.has_open_requests(); });
  };

  SECTION("looked up") {
    RawSocket caller = gateway.request("stream", "r2", returns_for("r1"));
    REQUIRE(gateway.wait_until([](auto& versions) { return !versions.lookups.empty(); }));
    REQUIRE(leave(caller));
    gateway.tell(KnownVersion{"2"});
    CHECK_FALSE(version_2.has_connection(kQuietMs));
  }
  SECTION("recorded") {
    RawSocket caller = gateway.request("stream", "r1");
    RawSocket upstream = version_2.accept_request();
    upstream.send(complete_response("r1", kFirstEvent));
    REQUIRE(leave(caller));
    gateway.report_record(0, GENERATE(true, false));
    CHECK(upstream.receive_all().empty());
  }
  CHECK(gateway.begun().empty());
}

// Guards against an event of a version that is not the one recorded last.
TEST_CASE("an attempt that fails before the first event may be followed by one at another version",
          "[gateway][stream_versions]") {
  RawListener version_1;
  RawListener version_2;
  StreamsGateway gateway;
  gateway.set_recorded("2");
  gateway.add(version_1, "1");
  gateway.add(version_2, "2");
  RawSocket caller = gateway.request("stream", "r1");
  RawSocket first = version_2.accept_request();
  gateway.set_recorded("1");
  first.reset();
  RawSocket second = version_1.accept_request();
  second.send(complete_response("r1", kFirstEvent));
  // The result for the attempt that failed says nothing about the current one.
  gateway.report_record(0, GENERATE(true, false));
  CHECK(caller.receive_some(kQuietMs).empty());
  gateway.report_record(1, true);
  CHECK(contains(caller.receive_until(kEndOfChunks), kFirstEvent));
  const StreamKey stream = stream_key("", "r1");
  CHECK(gateway.recorded() == std::vector<StreamAndVersion>{{stream, "2"}, {stream, "1"}});
  CHECK(gateway.begun() == std::vector<StreamAndVersion>{{stream, "1"}});
}

// Guards against an attempt that takes the end of the previous one for its own.
TEST_CASE("a held answer that cannot be used does not end the attempt after it",
          "[gateway][stream_versions]") {
  RawListener version_1;
  RawListener version_2;
  StreamsGateway gateway;
  gateway.set_recorded("2");
  gateway.add(version_1, "1");
  gateway.add(version_2, "2");
  RawSocket caller = gateway.request("stream", "r1");
  RawSocket first = version_2.accept_request();
  first.send(complete_response("r1", std::string(SseEventBuffer::kMaxEventBytes + 1, 'x')));
  REQUIRE(first.wait_until_acknowledged());
  REQUIRE(caller.receive_some(kQuietMs).empty());
  gateway.set_usable({"1"});
  gateway.report_record(0, true);
  RawSocket second = version_1.accept_request();
  second.send(complete_response("r1", kFirstEvent));
  CHECK(contains(caller.receive_until(kEndOfChunks), kFirstEvent));
}

// Guards against an upstream that is taken for a silent one while the store is slow.
TEST_CASE("a held answer waits longer for its record than a stream may be silent",
          "[gateway][stream_versions]") {
  RawListener version_1;
  RawListener version_2;
  StreamsGateway gateway;
  gateway.set_recorded("2");
  gateway.add(version_1, "1");
  gateway.add(version_2, "2");
  RawSocket caller = gateway.request("impatient", "r1");
  RawSocket upstream = version_2.accept_request();
  upstream.send(complete_response("r1", kFirstEvent));
  gateway.set_usable({"1", "2"});
  CHECK(caller.receive_some(2000).empty());
  CHECK_FALSE(version_1.has_connection(0));
  gateway.report_record(0, true);
  CHECK(contains(caller.receive_until(kEndOfChunks), kFirstEvent));
}

}  // namespace bluebellstep
