// Fault tests on real processes: platform outages, zones out of service and new configurations.

#include <catch2/catch.hpp>

#include "tests/process/deployment.h"
#include "zones/zone_notice.h"

namespace bluebellstep::testing {
namespace {

using Json = Deployment::Json;

const std::vector<std::string>& product_processes() {
  static const std::vector<std::string> names = {"entry-1",          "entry-2",
                                                 "sidecar-engine-1", "sidecar-engine-2",
                                                 "sidecar-orders-1", "sidecar-orders-2"};
  return names;
}

std::uint64_t generation_of(Deployment& deployment, const std::string& name) {
  return Json::parse(deployment.get(name, "/admin/status").body).value("generation", 0u);
}

bool all_have_generation(Deployment& deployment, std::uint64_t generation) {
  for (const std::string& name : product_processes()) {
    if (generation_of(deployment, name) != generation) {
      return false;
    }
  }
  return true;
}

int prompt_status(Deployment& deployment, const std::string& entry) {
  return deployment
      .post(entry, "/v1/completions", {{"model", "clerk"}, {"prompt", "hello"}, {"max_tokens", 2}})
      .status;
}

}  // namespace

// Guards against requests that wait for the platform, against entry instances that cannot start
// during its outage, and against orders with opaque keys that are executed without a claim.
TEST_CASE("process: requests go on while the platform is down") {
  Deployment deployment;
  REQUIRE(deployment.wait_for_orders());
  deployment.set_faults("platform", {{"down", true}});

  for (const std::string entry : {"entry-1", "entry-2"}) {
    CHECK(prompt_status(deployment, entry) == 200);
    const std::string key = deployment.fresh_key();
    CHECK(deployment.order(entry, key).status == 200);
    CHECK(deployment.executions(key) == 1);
  }

  deployment.start_entry("entry-3");
  CHECK(wait_until(Duration{5000}, [&] { return prompt_status(deployment, "entry-3") == 200; }));
  CHECK(generation_of(deployment, "entry-3") == 1);

  const auto refused = deployment.order("entry-1", "opaque");
  CHECK(find_header(refused.headers, "x-run-state") == std::string_view("not_run"));
  CHECK(refused.body.find("platform_unavailable") != std::string::npos);
  CHECK(deployment.executions("opaque") == 0);
}

// Guards against zone notices that need the platform, and against ones that take effect later than
// 2 s.
TEST_CASE("process: a zone notice takes effect everywhere while the platform is down") {
  Deployment deployment;
  REQUIRE(wait_until(Duration{8000}, [&] { return all_have_generation(deployment, 1); }));
  deployment.set_faults("platform", {{"down", true}});
  // Entry instances are in zone a and prefer it, so that zone a receives requests before the
  // notice.
  const auto first = deployment.counters("engine", "submitted");
  for (int i = 0; i < 20; ++i) {
    CHECK(prompt_status(deployment, "entry-2") == 200);
  }
  REQUIRE(deployment.counter("engine-1", "submitted") > first.at("engine-1"));

  ZoneNotice notice{"a", false, 2, "ana", ""};
  REQUIRE(sign_zone_notice(notice, deployment.operators().ana.private_key));
  const Json body = Json::parse(zone_notice_to_json(notice));
  REQUIRE(deployment.post("entry-1", "/admin/zone-notice", body).status == 200);
  const Instant sent_at = Clock().now();
  REQUIRE(wait_until(Duration{2000}, [&] {
    const Json status = Json::parse(deployment.get("entry-2", "/admin/status").body);
    return status.at("zones").value("a", "") == "out";
  }));
  CHECK(Clock().now() - sent_at <= Duration{2000});
  const auto before = deployment.counters("engine", "submitted");
  for (int i = 0; i < 20; ++i) {
    CHECK(prompt_status(deployment, "entry-2") == 200);
  }
  const auto after = deployment.counters("engine", "submitted");
  CHECK(after.at("engine-1") == before.at("engine-1"));
  CHECK(after.at("engine-2") == before.at("engine-2") + 20);
}

// Guards against a new configuration that does not reach every process, and against an older one
// that replaces it again.
TEST_CASE("process: a new generation is in force everywhere and never reverts") {
  Deployment deployment;
  REQUIRE(wait_until(Duration{8000}, [&] { return all_have_generation(deployment, 1); }));
  deployment.publish(5);
  CHECK(wait_until(Duration{8000}, [&] { return all_have_generation(deployment, 5); }));

  const std::int64_t watches = deployment.counter("platform", "watches");
  deployment.publish(4);
  // Two more watches: at least one was answered with the older document, after which its process
  // started the next.
  CHECK(wait_until(Duration{8000},
                   [&] { return deployment.counter("platform", "watches") >= watches + 2; }));
  deployment.start_entry("entry-3");
  CHECK(wait_until(Duration{8000}, [&] { return generation_of(deployment, "entry-3") == 5; }));
  CHECK(all_have_generation(deployment, 5));
}

}  // namespace bluebellstep::testing
