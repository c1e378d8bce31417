// Decides how much of a prompt to fetch from the cache stores and how much to compute.

#ifndef BLUEBELLSTEP_CACHE_FETCH_PLANNER_H_
#define BLUEBELLSTEP_CACHE_FETCH_PLANNER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "base/clock.h"
#include "cache/block_index.h"

namespace bluebellstep {

/** Measured state of a tier's link. */
struct LinkState {
  double bytes_per_s = 0;
  /** Bytes before a new fetch. */
  std::uint64_t queued_bytes = 0;
};

/** One prompt to plan for. */
struct FetchQuery {
  /** The prompt's blocks after those that the engine holds, from the first one not known to be in
   * any tier on cut off. */
  std::span<const BlockLocations> blocks;
  /** Prompt tokens after those that the engine holds, in `blocks` and beyond. */
  std::uint64_t tokens = 0;
  /** Tokens that the engine prefills in a second. */
  double prefill_tokens_per_s = 0;
  /** Time until the engine can begin with this prompt; fetches run meanwhile. */
  Duration engine_queue;
  /** By tier. */
  std::array<LinkState, kTierCount> links;
  /** The run must begin by then, with whatever has arrived. */
  Instant deadline;
};

/** What to fetch. */
struct FetchPlan {
  /** Blocks to fetch, from the first on. */
  std::size_t blocks = 0;
  /** Estimated time until the fetch is complete, and until the prompt is prefilled. */
  Duration fetch_time;
  Duration total_time;
  /** When to give up on the fetch and compute; never after the query's deadline. */
  Instant give_up_at;
};

/** Compares fetching with computing for each prefix. */
class FetchPlanner {
 public:
  /** Tokens in a block. */
  static constexpr std::uint64_t kBlockTokens = 1000;

  /** A fetch is given up when it takes this many times its estimate. Estimates of a shared link
   * are rough, but a store that died is to cost little more than the fetch would have. */
  static constexpr std::int64_t kFetchTimeoutFactor = 2;

  /** Returns the prefix with the earliest estimated end of prefill, the longest of equal ones. A
   * prefix that would arrive after the deadline is not considered. */
  FetchPlan plan(const FetchQuery& query, Instant now) const;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_FETCH_PLANNER_H_
