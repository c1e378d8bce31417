// A gateway that asks a fake for the software versions of streams.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_STREAMS_GATEWAY_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_STREAMS_GATEWAY_H_

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "tests/support/socket_gateway.h"

namespace bluebellstep {

constexpr Duration kStreamTimeout{8000};
// Nothing is expected to arrive within this time.
constexpr int kQuietMs = 200;
constexpr std::string_view kFirstEvent = "id: 1\ndata: a\n\n";
constexpr std::string_view kSecondEvent = "id: 2\ndata: b\n\n";
constexpr std::string_view kEndOfChunks = "\r\n0\r\n\r\n";

/** Returns a configuration with routes for streams of the services "s" and "t". */
inline std::shared_ptr<const ServingConfig> make_streams_config() {
  const auto route = [](std::string name, std::vector<WeightedService> targets, bool resumable) {
    return RouteRule{.name = name,
                     .host = "h",
                     .path_prefix = "/" + name + "/",
                     .kind = RequestKind::kStream,
                     .timeout = kStreamTimeout,
                     .latency_goal = Duration{1000},
                     .stream_patience = kStreamTimeout,
                     .targets = std::move(targets),
                     .max_attempts = 3,
                     .resumable = resumable};
  };
  ServingConfig config{.version = 1};
  config.routes = {
      route("stream", {{.service = "s"}}, true), route("whole", {{.service = "s"}}, false),
      route("weighted", {{.service = "s"}, {.service = "t"}}, true),
      route("other", {{.service = "t"}}, true), route("impatient", {{.service = "s"}}, true)};
  config.routes.back().stream_patience = Duration{0};
  config.services.emplace("s", ServiceInfo{.name = "s", .max_connections = 100});
  config.services.emplace("t", ServiceInfo{.name = "t", .max_connections = 100});
  return std::make_shared<const ServingConfig>(std::move(config));
}

using StreamAndVersion = std::pair<StreamKey, std::string>;

/** Answers as the test tells it, and keeps the callbacks. Covers all services but "t". */
class FakeStreamVersions : public StreamVersions {
 public:
  struct Lookup {
    std::optional<StreamKey> stream;
    std::function<void(StreamBelief)> on_result;
  };
  struct Record {
    StreamAndVersion content;
    std::function<void(bool)> on_result;
  };

  bool covers(std::string_view service) const override { return covers_all || service != "t"; }
  std::vector<std::string> usable_versions(std::string_view /*service*/) override { return usable; }
  bool must_record(std::string_view /*service*/,
                   std::string_view version,
                   StreamKey /*stream*/) override {
    return to_record.contains(version);
  }
  void record_version(StreamKey stream,
                      std::string_view version,
                      Instant /*expires_at*/,
                      std::function<void(bool)> on_result) override {
    records.push_back({{stream, std::string(version)}, on_result});
    if (fails_at_once) {
      on_result(false);
    }
  }
  void note_begun(StreamKey stream, std::string_view version, Instant /*expires_at*/) override {
    begun.emplace_back(stream, version);
  }
  void find_version(std::string_view /*service*/,
                    std::optional<StreamKey> stream,
                    std::function<void(StreamBelief)> on_result) override {
    lookups.push_back({stream, std::move(on_result)});
  }

  bool covers_all = false;
  bool fails_at_once = false;
  std::vector<std::string> usable;
  std::set<std::string, std::less<>> to_record;
  std::vector<Lookup> lookups;
  std::vector<Record> records;
  std::vector<StreamAndVersion> begun;
};

/** A gateway whose versions of streams the test tells, with upstreams that the test answers for. */
class StreamsGateway {
 public:
  StreamsGateway() {
    gateway_.set_config(make_streams_config());
    run([this](FakeStreamVersions&) { gateway_.forwarder().set_stream_versions(versions_); });
  }

  /** Accesses the versions on the gateway's thread. */
  void run(const std::function<void(FakeStreamVersions&)>& task) {
    gateway_.run_on_loop([&] { task(versions_); });
  }

  /** Waits until `condition` holds. Returns false if it does not in time. */
  bool wait_until(const std::function<bool(FakeStreamVersions&)>& condition) {
    bool holds = false;
    for (int ms = 0; ms < RawSocket::kReadTimeoutMs && !holds; ++ms) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      run([&](FakeStreamVersions& versions) { holds = condition(versions); });
    }
    return holds;
  }

  void set_usable(const std::vector<std::string>& usable) {
    run([&](FakeStreamVersions& versions) { versions.usable = usable; });
  }

  /** Lets streams begin only at a version that has to be recorded. */
  void set_recorded(const std::string& version) {
    run([&](FakeStreamVersions& versions) {
      versions.usable = {version};
      versions.to_record.insert(version);
    });
  }

  /** Waits for the lookup of a stream's version, answers it and returns the stream. */
  std::optional<StreamKey> tell(const StreamBelief& belief) {
    REQUIRE(wait_until([](FakeStreamVersions& versions) { return !versions.lookups.empty(); }));
    FakeStreamVersions::Lookup lookup;
    run([&](FakeStreamVersions& versions) {
      lookup = std::exchange(versions.lookups, {}).front();
      lookup.on_result(belief);
    });
    return lookup.stream;
  }

  /** Waits for a record and reports its result. */
  void report_record(std::size_t index, bool recorded) {
    REQUIRE(wait_until([&](auto& versions) { return versions.records.size() > index; }));
    run([&](FakeStreamVersions& versions) { versions.records.at(index).on_result(recorded); });
  }

  /** Returns the streams of which the caller got the first event. */
  std::vector<StreamAndVersion> begun() {
    std::vector<StreamAndVersion> result;
    run([&](FakeStreamVersions& versions) { result = versions.begun; });
    return result;
  }

  /** Returns the streams that were to be recorded. */
  std::vector<StreamAndVersion> recorded() {
    std::vector<StreamAndVersion> result;
    run([&](FakeStreamVersions& versions) {
      for (const FakeStreamVersions::Record& record : versions.records) {
        result.push_back(record.content);
      }
    });
    return result;
  }

  /** Adds an upstream. */
  void add(const RawListener& upstream, std::string_view version, std::string_view service = "s") {
    gateway_.add_upstream("u" + std::to_string(upstream.port()), upstream.port(), version, service);
  }

  /** Connects a caller and sends its request. `fields` are further fields of the head. */
  RawSocket request(std::string_view route, std::string_view id, std::string_view fields = "") {
    RawSocket caller = gateway_.connect();
    caller.send("GET /" + std::string(route) + "/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " +
                std::string(id) + "\r\nDeadline-Ms: " + std::to_string(kStreamTimeout.ms) + "\r\n" +
                std::string(fields) + "\r\n");
    return caller;
  }

  /** Only on the gateway's thread. */
  bool has_open_requests() { return gateway_.forwarder().open_requests() > 0; }

 private:
  FakeStreamVersions versions_;
  SocketGateway gateway_{{.ratio = 1, .fixed_retries = 100}};
};

/** Returns the fields with which a caller takes up the stream that `id` began. */
inline std::string returns_for(std::string_view id) {
  return "Resumes: " + std::string(id) + "\r\nLast-Event-Id: 1\r\n";
}

inline bool contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

/** Whether the request is refused long before its deadline. */
inline bool is_refused_at_once(RawSocket& caller) {
  const Instant start = Clock().now();
  const std::string head = caller.receive_until("\r\n\r\n");
  return head.starts_with("HTTP/1.1 503") && contains(head, "\r\nRetry-After: ") &&
         Clock().now() - start < kStreamTimeout / 2;
}

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_STREAMS_GATEWAY_H_
