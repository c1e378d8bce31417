// Fault tests on real processes: each order is executed at most once.

#include <catch2/catch.hpp>

#include "tests/process/deployment.h"

namespace bluebellstep::testing {
namespace {

std::string run_state(const Deployment::Response& response) {
  return std::string(find_header(response.headers, "x-run-state").value_or(""));
}

}  // namespace

// Guards against a second execution after the service closed the connection without an answer to
// the first one.
TEST_CASE("process: an order whose answer was lost never runs again") {
  Deployment deployment;
  REQUIRE(deployment.wait_for_orders());
  deployment.set_faults("orders-1", {{"break_after_execution", 1}});
  deployment.set_faults("orders-2", {{"break_after_execution", 1}});
  const std::string key = deployment.fresh_key();

  const auto first = deployment.order("entry-1", key);
  CHECK(run_state(first) == "may_have_run");
  deployment.set_faults("orders-1", Deployment::Json::object());
  deployment.set_faults("orders-2", Deployment::Json::object());
  for (const std::string entry : {"entry-1", "entry-2", "entry-1"}) {
    CHECK(run_state(deployment.order(entry, key)) == "may_have_run");
  }
  CHECK(deployment.executions(key) == 1);
}

// Guards against a new incarnation of an owner that accepts an order which the previous incarnation
// had already dispatched.
TEST_CASE("process: a restarted order sidecar does not run an order that was under way") {
  Deployment deployment;
  REQUIRE(deployment.wait_for_orders());
  const auto before = deployment.counters("orders", "requests");
  deployment.set_faults("orders-1", {{"delay_ms", 1000}});
  deployment.set_faults("orders-2", {{"delay_ms", 1000}});
  const std::string key = deployment.fresh_key();
  auto first = deployment.start_order("entry-1", key);
  const std::string owner = deployment.wait_for_busy_upstream("orders", "requests", before);
  REQUIRE_FALSE(owner.empty());
  deployment.restart_sidecar(owner);

  CHECK(run_state(first.get()) == "may_have_run");
  // Until the entry instance is connected to the new incarnation, it reports the order as not run.
  Deployment::Response retry;
  REQUIRE(wait_until(Duration{8000}, [&] {
    retry = deployment.order("entry-2", key);
    return run_state(retry) != "not_run";
  }));
  CHECK(run_state(retry) == "may_have_run");
  CHECK(retry.body.find("owner_restarted") != std::string::npos);
  CHECK(deployment.executions(key) <= 1);
}

// Guards against a second execution when a caller retries an order before the first attempt is
// answered.
TEST_CASE("process: the same key at two entry instances at the same time runs once") {
  Deployment deployment;
  REQUIRE(deployment.wait_for_orders());
  deployment.set_faults("orders-1", {{"delay_ms", 200}});
  deployment.set_faults("orders-2", {{"delay_ms", 200}});
  for (int i = 0; i < 5; ++i) {
    const std::string key = deployment.fresh_key();
    auto one = deployment.start_order("entry-1", key);
    auto two = deployment.start_order("entry-2", key);
    const auto first = one.get();
    const auto second = two.get();
    CHECK(first.status == 200);
    CHECK(second.status == 200);
    CHECK(first.body == second.body);
    CHECK(deployment.executions(key) == 1);
  }
}

}  // namespace bluebellstep::testing
