// Tests of the base module.

#include <catch2/catch.hpp>

#include "base/clock.h"
#include "base/id.h"
#include "base/log_event.h"
#include "base/verdict.h"
#include "tests/support/suspended_time.h"

namespace bluebellstep {

TEST_CASE("a manual clock moves only when it is advanced", "[base]") {
  ManualTime time{{100}, {5000}};
  const Clock clock(time);
  time.advance(7_ms);
  CHECK(clock.now() == Instant{107});
  CHECK(clock.wall() == Instant{5007});
}

// Guards against deadlines and leases that last longer by the time for which the machine was
// suspended.
TEST_CASE("monotonic time includes the time for which the machine was suspended", "[base]") {
  constexpr Duration kSuspension{5000};
  const Clock clock;
  const Instant before = clock.now();
  const Duration suspended_before = clock.suspended();
  simulate_suspension(kSuspension);
  CHECK((clock.now() - before).ms >= kSuspension.ms);
  CHECK((clock.suspended() - suspended_before).ms >= kSuspension.ms - 1);
}

TEST_CASE("a name table keeps the id of a name", "[base]") {
  NameTable<AccountId> names;
  const AccountId first = names.intern("a");
  names.intern("b");
  CHECK(names.intern("a") == first);
  CHECK(names.name(first) == "a");
  CHECK_FALSE(names.find("c").has_value());
}

// Guards against log lines that a parser would split at the wrong place.
TEST_CASE("log values with special characters are quoted", "[base]") {
  CHECK(quote_log_value("plain") == "plain");
  CHECK(quote_log_value("") == "\"\"");
  CHECK(quote_log_value("a b") == "\"a b\"");
  CHECK(quote_log_value("a=\"x\"\n") == "\"a=\\\"x\\\"\\x0a\"");
}

// Guards against an unknown value from a newer peer being taken for "not run".
TEST_CASE("unknown wire values decode to safe values", "[base]") {
  CHECK(run_state_from_wire(9) == RunState::kMayHaveRun);
  CHECK(reason_from_wire(999) == Reason::kInternal);
  CHECK(to_string(Reason::kInternal) == "internal");
  CHECK(to_string(Reason::kZoneOut) == "zone_out");
}

}  // namespace bluebellstep
