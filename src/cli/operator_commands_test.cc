// Tests of the operator commands against an in-memory object store that can lose requests and
// answers.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <utility>

#include "cli/command_context.h"
#include "cli/command_http_client.h"
#include "http/http_server.h"
#include "tests/support/test_bundle.h"
#include "zones/zone_registry.h"

namespace bluebellstep {
namespace {

// Object store in memory.
class MemoryObjects {
 public:
  BlockingObjectClient client() {
    BlockingObjectClient client;
    client.read = [this](std::string_view key) -> PlatformClient::ReadResult {
      if (down) {
        return PlatformUnavailable{"connection refused"};
      }
      const auto found = objects.find(std::string(key));
      return found == objects.end() ? std::nullopt : std::optional(found->second);
    };
    client.list = [this](std::string_view prefix) -> PlatformClient::ListResult {
      if (down) {
        return PlatformUnavailable{"connection refused"};
      }
      std::vector<PlatformObject> found;
      for (const auto& [key, object] : objects) {
        if (key.starts_with(prefix)) {
          found.push_back(object);
        }
      }
      return found;
    };
    client.write = [this](std::string_view key, StoreRevision expected, std::string value) {
      return write(std::string(key), expected, std::move(value));
    };
    return client;
  }

  PlatformClient::WriteResult write(const std::string& key,
                                    StoreRevision expected,
                                    std::string value) {
    if (down) {
      return PlatformUnavailable{"connection refused"};
    }
    if (lose_requests > 0) {
      --lose_requests;
      return PlatformUnavailable{"connection lost"};
    }
    if (before_write) {
      std::exchange(before_write, nullptr)();
    }
    PlatformObject& object = objects[key];
    if (object.version != expected) {
      return VersionConflict{object};
    }
    object = {key, {++version}, std::move(value)};
    if (lose_answers > 0) {
      --lose_answers;
      return PlatformUnavailable{"connection lost"};
    }
    return object.version;
  }

  void put(const std::string& key, std::string value) {
    objects[key] = {key, {++version}, std::move(value)};
  }

  std::map<std::string, PlatformObject> objects;
  std::uint64_t version = 0;
  bool down = false;
  int lose_requests = 0;               // Number of writes still to drop before they take effect.
  int lose_answers = 0;                // Number of writes still to apply without an answer.
  std::function<void()> before_write;  // Called once, before the next write, to simulate a race.
};

// Two operators with their keys and settings in files of a temporary folder.
class Fixture {
 public:
  Fixture() {
    std::string pattern = "/tmp/bluebellstep-cli-test-XXXXXX";
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    folder = pattern;
    file("ana.key", operators.ana.private_key + "\n");
    file("ben.key", operators.ben.private_key + "\n");
    file("settings", "platform: {endpoint: 127.0.0.1:9}\noperator_keys: {ana: \"" +
                         operators.ana.public_key + "\", ben: \"" + operators.ben.public_key +
                         "\"}\n");
    context.clock = Clock(time);
    context.make_object_client = [this](const PlatformSettings&) { return objects.client(); };
  }

  ~Fixture() {
    for (const std::string& path : files) {
      unlink(path.c_str());
    }
    rmdir(folder.c_str());
  }

  std::string file(const std::string& name, const std::string& contents) {
    const std::string path = folder + "/" + name;
    std::ofstream(path) << contents;
    files.insert(path);
    return path;
  }

  std::string path(const std::string& name) {
    files.insert(folder + "/" + name);
    return folder + "/" + name;
  }

  int run(const std::vector<std::string>& arguments) {
    std::vector<const char*> argv = {"bluebellstep"};
    for (const std::string& argument : arguments) {
      argv.push_back(argument.c_str());
    }
    out.str("");
    err.str("");
    context.exit_code = ExitCode::kSuccess;
    CLI::App app("test");
    add_operator_commands(app, context);
    return run_command_line(app, context, static_cast<int>(argv.size()), argv.data());
  }

  // Runs a bundle command with the settings file.
  int run_on_platform(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "bundle");
    arguments.insert(arguments.end(), {"--settings", folder + "/settings"});
    return run(arguments);
  }

  // Signs, proposes and signs off a bundle.
  void propose_signed_off(std::uint64_t generation, const std::string& text) {
    const std::string bundle = file("bundle", text);
    REQUIRE(run_on_platform({"sign", bundle, "--key", path("ana.key"), "--out", path("doc")}) == 0);
    REQUIRE(run_on_platform({"propose", path("doc")}) == 0);
    REQUIRE(sign_off(generation, sha256_hex(text)) == 0);
  }

  int sign_off(std::uint64_t generation, const std::string& digest) {
    return run_on_platform({"sign-off", std::to_string(generation), "--operator", "ben", "--key",
                            path("ben.key"), "--digest", digest});
  }

  TestOperators operators;
  std::string folder;
  std::set<std::string> files;
  ManualTime time{{0}, {1'000'000'000}};
  MemoryObjects objects;
  std::ostringstream out;
  std::ostringstream err;
  CommandContext context{out, err, {}, {}, {}};
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a bundle is signed, proposed, signed off and rolled out", "[cli]") {
  propose_signed_off(1, test_bundle_text(1));
  CHECK(run_on_platform({"roll-out", "1"}) == 0);
  CHECK(objects.objects.at("bundle/current").value ==
        objects.objects.at("bundle/proposed-1").value);
  CHECK(run_on_platform({"roll-out", "1"}) == 0);
  objects.put("status/clerk-1", R"({"generation":1,"at_ms":999999000})");
  CHECK(run_on_platform({"status"}) == 0);
  CHECK_THAT(out.str(), Catch::Contains("generation 1 by ana") &&
                            Catch::Contains("clerk-1: generation 1, reported 1000ms ago"));
}

// Guards against a lost answer being reported as a failed change, and against a later change by
// someone else being reported as the operator's own.
TEST_CASE_METHOD(Fixture, "after a lost answer the object is read to confirm the change", "[cli]") {
  propose_signed_off(1, test_bundle_text(1));
  objects.lose_answers = 1;
  CHECK(run_on_platform({"roll-out", "1"}) == 0);
  CHECK_THAT(out.str(), Catch::Contains("reading back showed that the change took effect"));
  propose_signed_off(2, test_bundle_text(2));
  objects.lose_requests = 2;
  CHECK(run_on_platform({"roll-out", "2"}) == 0);
  propose_signed_off(3, test_bundle_text(3));
  objects.lose_requests = 9;
  CHECK(run_on_platform({"roll-out", "3"}) == 6);
  CHECK_THAT(err.str(), Catch::Contains("the change may have taken effect"));
  objects.lose_requests = 0;
  objects.down = true;
  CHECK(run_on_platform({"roll-out", "3"}) == 6);
  CHECK(run_on_platform({"status"}) == 6);
}

TEST_CASE_METHOD(Fixture, "a conflict between operators prints both versions", "[cli]") {
  propose_signed_off(1, test_bundle_text(1));
  objects.before_write = [this] {
    objects.put("bundle/current", test_document(operators, test_bundle_text(5)));
  };
  CHECK(run_on_platform({"roll-out", "1"}) == 5);
  CHECK_THAT(err.str(), Catch::Contains("ours: bundle/current version 0, generation 1") &&
                            Catch::Contains("theirs: bundle/current version 3, generation 5"));
  // The current bundle now has generation 5, so an older one is refused.
  CHECK(run_on_platform({"roll-out", "1"}) == 2);
  CHECK_THAT(err.str(), Catch::Contains("a generation above 5"));
  const std::string other = file("other", test_bundle_text(6));
  REQUIRE(run_on_platform({"sign", other, "--key", path("ana.key"), "--out", path("doc")}) == 0);
  objects.put("bundle/proposed-6", "something else");
  CHECK(run_on_platform({"propose", path("doc")}) == 5);
  CHECK_THAT(err.str(), Catch::Contains("theirs: bundle/proposed-6 version 4, not a valid"));
}

TEST_CASE_METHOD(Fixture, "only the reviewed contents are signed off", "[cli]") {
  const std::string bundle = file("bundle", test_bundle_text(1));
  run_on_platform({"sign", bundle, "--key", path("ana.key"), "--out", path("doc")});
  CHECK(run_on_platform({"propose", path("doc")}) == 0);
  CHECK(run_on_platform({"roll-out", "1"}) == 2);
  CHECK(sign_off(1, sha256_hex("other contents")) == 5);
  CHECK(run_on_platform({"sign-off", "1", "--operator", "ana", "--key", path("ana.key"), "--digest",
                         sha256_hex(test_bundle_text(1))}) == 2);
  CHECK(sign_off(2, "") == 2);
  CHECK(objects.objects.count("bundle/current") == 0);
}

// Guards against two owners of an order key: a disconnected former owner does not receive the new
// order table and continues to execute orders.
TEST_CASE_METHOD(Fixture, "a change of order tables needs recent reports of all owners", "[cli]") {
  propose_signed_off(1, test_bundle_text(1));
  REQUIRE(run_on_platform({"roll-out", "1"}) == 0);
  propose_signed_off(2, test_bundle_text(2,
                                         "[{effective_ms: 0, upstreams: [order-1, order-2]}, "
                                         "{effective_ms: 1000060000, upstreams: [order-1]}]"));
  objects.put("status/order-1", R"({"generation":1,"at_ms":999990000})");
  objects.put("status/order-2", R"({"generation":1,"at_ms":999989999})");
  CHECK(run_on_platform({"roll-out", "2"}) == 1);
  CHECK_THAT(err.str(), Catch::Contains("within 10s: order-2;"));
  objects.put("status/order-2", "not json");
  CHECK(run_on_platform({"roll-out", "2"}) == 1);
  CHECK(run_on_platform({"roll-out", "2", "--confirm-terminated", "order-2"}) == 0);
}

TEST_CASE_METHOD(Fixture, "a zone notice is sent to the first process that answers", "[cli]") {
  ZoneRegistry registry(operators.keys());
  std::vector<HttpCall> calls;
  context.send = [&](HttpCall call) -> HttpClient::Response {
    calls.push_back(call);
    if (call.endpoint.port == 1) {
      return {0, {}, "", HttpClient::Failed{false, "connection refused"}};
    }
    const auto answer = answer_zone_notice(registry, call.body, {0});
    return {answer.status, {}, answer.body, HttpClient::Complete{}};
  };
  objects.down = true;
  const auto zone = [&](const std::string& state, const std::string& key) {
    return run({"zone", state, "a", "--operator", "ana", "--key", path(key), "--process",
                "127.0.0.1:1", "--process", "127.0.0.1:2"});
  };
  CHECK(zone("out", "ana.key") == 0);
  CHECK(calls.size() == 2);
  CHECK(calls[1].path == "/admin/zone-notice");
  CHECK(registry.state("a")->serial == 1'000'000'000);
  // With equal serials "out" takes precedence, and the second operator is shown the conflict.
  CHECK(zone("in", "ana.key") == 5);
  CHECK_THAT(err.str(), Catch::Contains("ours:") && Catch::Contains("theirs:"));
  time.advance(1_ms);
  CHECK(zone("in", "ben.key") == 2);
  CHECK(zone("in", "ana.key") == 0);
  CHECK(registry.in_service("a"));
  CHECK(run({"zone", "out", "a", "--operator", "ana", "--key", path("ana.key"), "--process",
             "127.0.0.1:1"}) == 1);
}

TEST_CASE_METHOD(Fixture, "zone notices are sent by HTTP", "[cli]") {
  ZoneRegistry registry(operators.keys());
  HttpLoop loop;
  HttpServer* server_pointer = nullptr;
  HttpServer server(loop, {{"127.0.0.1", 0}},
                    {[&](ExchangeId exchange, HttpRequest request) {
                       const auto answer = answer_zone_notice(registry, request.body, {0});
                       server_pointer->respond(exchange, answer.status, {}, answer.body);
                     },
                     {}});
  server_pointer = &server;
  CommandHttpClient http_client;
  http_client.attach_to(context);
  const std::vector<std::string> arguments = {
      "zone",          "out",       "a",
      "--operator",    "ana",       "--key",
      path("ana.key"), "--process", "127.0.0.1:" + std::to_string(server.port())};
  CHECK(run(arguments) == 0);
  CHECK(out.str() ==
        "{\"result\":\"applied\",\"serial\":1000000000,\"state\":\"out\",\"zone\":\"a\"}\n");
  server.stop_accepting();
}

TEST_CASE_METHOD(Fixture, "explain asks the entry instance", "[cli]") {
  std::string requested;
  int status = 200;
  context.send = [&](HttpCall call) -> HttpClient::Response {
    requested = call.path;
    return {status, {}, "because", HttpClient::Complete{}};
  };
  const std::vector<std::string> arguments = {"explain", "--entry", "127.0.0.1:2", "--account",
                                              "a&b",     "--model", "clerk"};
  CHECK(run(arguments) == 0);
  CHECK(requested == "/admin/explain?account=a%26b&model=clerk");
  CHECK(out.str() == "because\n");
  status = 404;
  CHECK(run(arguments) == 2);
  status = 503;
  CHECK(run(arguments) == 1);
}

// Guards against scripts that take wrong usage for success.
TEST_CASE_METHOD(Fixture, "files are checked and wrong usage has its own exit code", "[cli]") {
  CHECK(run({"bundle", "--help"}) == 0);
  CHECK(run({"zone", "out", "--help"}) == 0);
  CHECK(run({"bundle"}) == 2);
  CHECK(run({"bundle", "validate"}) == 2);
  CHECK(run({"settings", "check", "--role", "cook", "f"}) == 2);
  CHECK(run({"settings", "check", "--role", "entry", path("settings")}) == 2);
  CHECK(run({"settings", "check", "--role", "operator", path("settings")}) == 0);
  CHECK(run({"bundle", "validate", folder + "/missing"}) == 2);
  const std::string bundle = file("bundle", test_bundle_text(2));
  CHECK(run({"bundle", "validate", bundle}) == 0);
  CHECK(run({"bundle", "validate", bundle, "--previous", bundle}) == 2);
  CHECK(run({"bundle", "keygen", "--out", path("new.key")}) == 0);
  // An existing key is never overwritten.
  CHECK(run({"bundle", "keygen", "--out", path("new.key")}) == 1);
  CHECK(run_on_platform({"sign", bundle, "--key", path("ben.key"), "--out", path("doc")}) == 2);
}

}  // namespace bluebellstep
