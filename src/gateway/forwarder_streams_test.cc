// Tests of the software versions at which the forwarder continues streams, on real sockets.

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/streams_gateway.h"
#include "tests/support/upstream_response.h"

namespace bluebellstep {

// Guards against events of two software versions in one answer.
TEST_CASE("a stream that breaks off goes on only at the version that began it",
          "[gateway][stream_versions]") {
  RawListener version_1;
  RawListener version_2;
  RawListener also_version_1;
  StreamsGateway gateway;
  gateway.set_usable({"1", "2"});
  gateway.add(version_1, "1");
  RawSocket caller = gateway.request("stream", "r1");
  RawSocket first = version_1.accept_request();
  first.send(response_head("r1", "X: y") + std::string(kFirstEvent));
  REQUIRE(contains(caller.receive_until(kFirstEvent), kFirstEvent));
  gateway.add(version_2, "2");

  SECTION("if another upstream has it") {
    gateway.add(also_version_1, "1");
    first.reset();
    also_version_1.accept_request().send(complete_response("r1", kSecondEvent));
    CHECK(contains(caller.receive_until(kEndOfChunks), kSecondEvent));
  }
  SECTION("and is cut off if none has it") {
    first.reset();
    CHECK(caller.receive_all().empty());
    CHECK_FALSE(version_2.has_connection(kQuietMs));
  }
}

// Guards against events of two software versions over the tries of a caller.
TEST_CASE("a caller that returns is sent to the version of its stream",
          "[gateway][stream_versions]") {
  RawListener version_1;
  RawListener version_2;
  StreamsGateway gateway;
  gateway.run([](FakeStreamVersions& versions) {
    versions.usable = {"1"};
    versions.to_record = {"1", "2"};
  });
  gateway.add(version_1, "1");
  gateway.add(version_2, "2");
  const bool named = GENERATE(true, false);
  RawSocket caller =
      gateway.request("stream", "r2", named ? returns_for("r1") : "Last-Event-Id: 1\r\n");
  const std::optional<StreamKey> stream = gateway.tell(KnownVersion{"2"});
  CHECK(stream == (named ? std::optional(stream_key("", "r1")) : std::nullopt));
  RawSocket upstream = version_2.accept();
  CHECK(contains(upstream.receive_until("\r\n\r\n"), "\r\nLast-Event-Id: 1\r\n"));
  upstream.send(complete_response("r2", kSecondEvent));
  CHECK(contains(caller.receive_until(kEndOfChunks), kSecondEvent));
  CHECK_FALSE(version_1.has_connection(0));
  CHECK(gateway.recorded().empty());
  CHECK(gateway.begun().empty());
}

// Guards against a stream that goes on at just any version, and against a caller that is kept
// waiting although its stream cannot go on.
TEST_CASE("a caller whose stream cannot go on is refused at once", "[gateway][stream_versions]") {
  RawListener version_1;
  StreamsGateway gateway;
  gateway.set_usable({"1"});
  gateway.add(version_1, "1");
  // Not known, and a version without upstreams.
  const StreamBelief belief = GENERATE(
      values<StreamBelief>({UnknownVersion{"store_unavailable"}, AskStore{}, KnownVersion{"2"}}));
  RawSocket caller = gateway.request("stream", "r2", returns_for("r1"));
  gateway.tell(belief);
  CHECK(is_refused_at_once(caller));
  CHECK_FALSE(version_1.has_connection(kQuietMs));
}

// Guards against a stream that goes on at another service than the one that began it.
TEST_CASE("a caller that returns is sent to the service that began its stream",
          "[gateway][stream_versions]") {
  RawListener service_s;
  RawListener service_t;
  StreamsGateway gateway;
  gateway.run([](FakeStreamVersions& versions) { versions.covers_all = true; });
  gateway.set_usable({"1"});
  gateway.add(service_s, "1", "s");
  gateway.add(service_t, "1", "t");
  int begun_at_s = 0;
  int moved = 0;  // Requests that return under an id which alone selects the other service.
  const auto is_sent_to_s = [&](const std::string& id, const std::string& fields) {
    RawSocket caller = gateway.request("weighted", id, fields);
    if (!fields.empty()) {
      gateway.tell(KnownVersion{"1"});
    }
    REQUIRE(gateway.wait_until([&](FakeStreamVersions&) {
      return service_s.has_connection(0) || service_t.has_connection(0);
    }));
    const bool at_s = service_s.has_connection(0);
    (at_s ? service_s : service_t)
        .accept_request()
        .send(response_head(id, "Content-Length: 15\r\nConnection: close") +
              std::string(kFirstEvent));
    CHECK(contains(caller.receive_until(kEndOfChunks), kFirstEvent));
    return at_s;
  };
  for (int i = 0; i < 4; ++i) {
    CAPTURE(i);
    const std::string first = "first" + std::to_string(i);
    const std::string second = "second" + std::to_string(i);
    const bool at_s = is_sent_to_s(first, "");
    begun_at_s += at_s ? 1 : 0;
    moved += is_sent_to_s(second, "") != at_s ? 1 : 0;
    CHECK(is_sent_to_s(second, returns_for(first)) == at_s);
  }
  CHECK((begun_at_s > 0 && begun_at_s < 4));
  CHECK(moved > 0);
}

// Guards against a cost or a refusal where versions do not matter.
TEST_CASE("streams that are not covered or cannot be resumed take no notice of versions",
          "[gateway][stream_versions]") {
  // The service "s" is covered, but its streams on this route are not resumable.
  const auto [route, service] =
      GENERATE(table<std::string, std::string>({{"other", "t"}, {"whole", "s"}}));
  CAPTURE(route);
  RawListener version_1;
  RawListener version_2;
  StreamsGateway gateway;
  gateway.set_recorded("3");
  gateway.add(version_1, "1", service);
  RawSocket caller =
      gateway.request(route, "r2", GENERATE(values<std::string>({"", returns_for("r1")})));
  RawSocket first = version_1.accept_request();
  first.send(response_head("r2", "X: y") + std::string(kFirstEvent));
  CHECK(contains(caller.receive_until(kFirstEvent), kFirstEvent));
  gateway.add(version_2, "2", service);
  first.reset();
  if (route == "other") {
    version_2.accept_request().send(complete_response("r2", kSecondEvent));
    CHECK(contains(caller.receive_until(kEndOfChunks), kSecondEvent));
  } else {
    CHECK(caller.receive_all().empty());
  }
  gateway.run([](FakeStreamVersions& versions) { CHECK(versions.lookups.empty()); });
  CHECK(gateway.recorded().empty());
  CHECK(gateway.begun().empty());
}

}  // namespace bluebellstep
