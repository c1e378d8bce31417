// Test of the blocking object client against the platform stand-in.

#include <catch2/catch.hpp>

#include "cli/platform_object_client.h"
#include "standins/platform_standin.h"

namespace bluebellstep {

// Guards against a lost answer being reported as a failed write over the real protocol.
TEST_CASE("a write to the platform is confirmed although its answer was lost", "[cli]") {
  HttpLoop loop;
  PlatformStandin standin(loop, {});
  HttpClient client(loop);
  const Endpoint endpoint{"127.0.0.1", standin.port()};
  const BlockingObjectClient objects = make_platform_object_client(client, {endpoint, 2_s});
  const auto set_faults = [&](const std::string& faults) {
    HttpCall call;
    call.endpoint = endpoint;
    call.method = "POST";
    call.path = "/faults";
    call.headers = {{"content-type", "application/json"}};
    call.body = faults;
    CHECK(client.send_and_wait(call).status == 200);
  };
  auto outcome = write_and_confirm(objects, "bundle/current", {}, "one");
  REQUIRE(std::holds_alternative<WriteConfirmed>(outcome));
  const auto read = objects.read("bundle/current");
  const auto& object = std::get<std::optional<PlatformObject>>(read);
  REQUIRE(object.has_value());
  CHECK(object->value == "one");

  set_faults(R"({"lose_answers":1})");
  outcome = write_and_confirm(objects, "bundle/current", object->version, "two");
  REQUIRE(std::holds_alternative<WriteConfirmed>(outcome));
  CHECK(std::get<WriteConfirmed>(outcome).answer_was_lost);
  // The previous write changed the version.
  outcome = write_and_confirm(objects, "bundle/current", object->version, "three");
  REQUIRE(std::holds_alternative<VersionConflict>(outcome));
  CHECK(std::get<VersionConflict>(outcome).current.value == "two");
  CHECK(std::get<std::vector<PlatformObject>>(objects.list("bundle/")).size() == 1);
  set_faults(R"({"down":true})");
  CHECK(std::holds_alternative<PlatformUnavailable>(
      write_and_confirm(objects, "bundle/current", {}, "four")));
}

}  // namespace bluebellstep
