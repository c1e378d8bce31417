// Simulates the suspension of the machine on which the tests run.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_SUSPENDED_TIME_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_SUSPENDED_TIME_H_

#include "base/clock.h"

namespace bluebellstep {

/** Makes the system's clocks read as if the machine had been suspended for `duration`: those that
 * count suspension advance by it, and `CLOCK_MONOTONIC` does not. The time does not go back at the
 * end of the test. */
void simulate_suspension(Duration duration);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_SUSPENDED_TIME_H_
