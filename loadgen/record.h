// Outcomes of the requests of a load run, and statistics of them.

#ifndef BLUEBELLSTEP_LOADGEN_RECORD_H_
#define BLUEBELLSTEP_LOADGEN_RECORD_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "loadgen/experiment.h"
#include "loadgen/schedule.h"

namespace bluebellstep::loadgen {

/** Outcome of one request. Times are in microseconds since the planned arrival. */
struct RequestRecord {
  Arrival arrival;
  bool direct = false;               // Sent to the engine instead of an entry instance.
  std::int64_t sent_us = 0;          // Delay caused by the load tool itself.
  std::int64_t first_token_us = -1;  // -1 if none arrived.
  std::int64_t done_us = -1;         // -1 if the run ended before the request.
  int status = 0;
  std::string reason;     // Why the request was refused, or failed after the start of its answer.
  std::string run_state;  // Set with `reason`.
  // Why the answer is incomplete or wrong; empty for complete answers and refusals.
  std::string fault;
  std::uint64_t events = 0;
  std::uint64_t reused_blocks = 0;
  std::uint64_t fetched_blocks = 0;
  std::uint64_t recomputed_blocks = 0;
};

/** Returns the JSON line of one request. */
std::string record_line(const Experiment& experiment, const RequestRecord& record);

/** Returns the JSON line with the statistics of each account, separately for requests sent directly
 * to the engine. */
std::string summary_line(const Experiment& experiment, std::span<const RequestRecord> records);

/** Returns the value at `rank` (0 to 1) by the nearest-rank method, or -1 without values. */
std::int64_t percentile(std::vector<std::int64_t> values, double rank);

}  // namespace bluebellstep::loadgen

#endif  // BLUEBELLSTEP_LOADGEN_RECORD_H_
