// The requests of an experiment, fixed before it starts.

#ifndef BLUEBELLSTEP_LOADGEN_SCHEDULE_H_
#define BLUEBELLSTEP_LOADGEN_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "loadgen/experiment.h"

namespace bluebellstep::loadgen {

/** One planned request. */
struct Arrival {
  std::int64_t at_us = 0;  // From the start of the experiment.
  std::size_t account = 0;
  bool order = false;
  std::uint64_t prompt = 0;  // Number of the prompt within the account; equal ones are the same.

  bool operator==(const Arrival&) const = default;
};

/** Returns all requests by time. Each account's arrivals are a Poisson process; they depend only on
 * the seed and that account's settings and position. */
std::vector<Arrival> plan_arrivals(const Experiment& experiment);

/** Returns the text of a prompt of an account. */
std::string prompt_text(const Experiment& experiment, std::size_t account, std::uint64_t prompt);

}  // namespace bluebellstep::loadgen

#endif  // BLUEBELLSTEP_LOADGEN_SCHEDULE_H_
