// Tests of the service totals and of the partial reports in heartbeats.

#include "fairness/service_totals.h"

#include <catch2/catch.hpp>

namespace bluebellstep {

// Guards against service of a sidecar that is counted twice, or lost with a heartbeat or at a
// restart.
TEST_CASE("totals are correct after repeated and lost reports and restarts", "[fairness]") {
  ServiceTotals totals;
  totals.apply("engine-1", {"a", 100, true});
  totals.apply("engine-1", {"a", 100, false});
  totals.apply("engine-2", {"a", 50, false});
  totals.apply("engine-1",
               {"a", 30, false});  // After a restart: its earlier 100 stay in the total.
  REQUIRE(totals.totals().size() == 1);
  CHECK(totals.totals()[0].cost == 180);
  CHECK_FALSE(totals.totals()[0].backlogged);
  CHECK(totals.take_changes()[0].cost == 180);
  CHECK(totals.take_changes().empty());
}

// Guards against accounts at the end of the list that are never reported.
TEST_CASE("consecutive partial reports cover all accounts", "[fairness]") {
  const std::vector<AccountServiceReport> reports = {
      {"a", 1, false}, {"b", 2, false}, {"c", 3, false}};
  std::string last_reported;
  std::string seen;
  for (int i = 0; i < 3; ++i) {
    for (const AccountServiceReport& report : next_reports(reports, 2, last_reported)) {
      seen += report.account;
    }
  }
  CHECK(seen == "abcabc");
}

}  // namespace bluebellstep
