// The requests of an experiment, which are all planned before it starts.

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
  std::int64_t at_us = 0;    // Since the start of the experiment.
  std::size_t account = 0;   // Index in `Experiment::accounts`.
  bool order = false;        // An order instead of a prompt.
  std::uint64_t prompt = 0;  // Number within the account. Equal numbers have the same text.

  bool operator==(const Arrival&) const = default;
};

/** Returns all requests, ordered by time. The arrivals of each account are a Poisson process. They
 * depend only on the seed, the duration, and the settings and the index of the account. */
std::vector<Arrival> plan_arrivals(const Experiment& experiment);

/** Returns the text of the prompt with the number `prompt` of an account. */
std::string prompt_text(const Experiment& experiment, std::size_t account, std::uint64_t prompt);

}  // namespace bluebellstep::loadgen

#endif  // BLUEBELLSTEP_LOADGEN_SCHEDULE_H_
