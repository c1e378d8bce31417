// Outcome of one request, and the figures over all of them.

#ifndef BLUEBELLSTEP_LOADGEN_RECORD_H_
#define BLUEBELLSTEP_LOADGEN_RECORD_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "loadgen/experiment.h"
#include "loadgen/schedule.h"

namespace bluebellstep::loadgen {

/** Outcome of one request. Times count from the planned arrival. */
struct RequestRecord {
  Arrival arrival;
  bool direct = false;               // Sent to the engine instead of an entry instance.
  std::int64_t sent_us = 0;          // Delay of this tool itself.
  std::int64_t first_token_us = -1;  // -1 if none came.
  std::int64_t done_us = -1;         // -1 if the run ended before the request.
  int status = 0;
  std::string reason;     // Of a refusal or a failure after the start.
  std::string run_state;  // With `reason`.
  std::string fault;      // Why an answer is broken; empty for whole answers and refusals.
  std::uint64_t events = 0;
  std::uint64_t reused_blocks = 0;
  std::uint64_t fetched_blocks = 0;
  std::uint64_t recomputed_blocks = 0;
};

/** Returns the line of one request. */
std::string record_line(const Experiment& experiment, const RequestRecord& record);

/** Returns the closing line: figures per account, apart for requests sent directly. */
std::string summary_line(const Experiment& experiment, std::span<const RequestRecord> records);

/** Returns the value at the given rank (0 to 1, nearest rank), or -1 if there are none. */
std::int64_t percentile(std::vector<std::int64_t> values, double rank);

}  // namespace bluebellstep::loadgen

#endif  // BLUEBELLSTEP_LOADGEN_RECORD_H_
