// Decides how many blocks of a prompt to fetch from the cache stores; the rest is computed.

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

/** Measured state of the link to a storage tier. */
struct LinkState {
  double bytes_per_s = 0;
  /** Bytes that the link transfers before a new fetch. */
  std::uint64_t queued_bytes = 0;
};

/** Input of the plan for one prompt. */
struct FetchQuery {
  /** Locations of the prompt's blocks after those in the engine's cache, up to the first block that
   * is not known to be in any tier. */
  std::span<const BlockLocations> blocks;
  /** Number of prompt tokens after those in the engine's cache, including the tokens in `blocks`.
   */
  std::uint64_t tokens = 0;
  /** Prefill rate of the engine in tokens per second. */
  double prefill_tokens_per_s = 0;
  /** Time until the engine can start this prompt; blocks can be fetched meanwhile. */
  Duration engine_queue;
  /** Links by tier. */
  std::array<LinkState, kTierCount> links;
  /** Latest start of the run; blocks that have not arrived by then are computed. */
  Instant deadline;
};

/** What to fetch. */
struct FetchPlan {
  /** Number of blocks to fetch: a prefix of the blocks in the query. */
  std::size_t blocks = 0;
  /** Estimated time until the fetch is complete, and until the prompt is prefilled. */
  Duration fetch_time;
  Duration total_time;
  /** Time at which to abandon the fetch and compute the remaining blocks; never after the query's
   * deadline. */
  Instant give_up_at;
};

/** Compares the estimated time of fetching and of computing for each prefix of the blocks. */
class FetchPlanner {
 public:
  /** Number of tokens in a block. */
  static constexpr std::uint64_t kBlockTokens = 1000;

  /** A fetch is abandoned after this multiple of its estimated time. Estimates for a shared link
   * are rough, but waiting for a failed store should cost little more than the fetch itself would
   * have. */
  static constexpr std::int64_t kFetchTimeoutFactor = 2;

  /** Returns the plan for the prefix with the earliest estimated end of prefill; among equals, for
   * the longest. Prefixes that would arrive after the deadline are not considered. */
  FetchPlan plan(const FetchQuery& query, Instant now) const;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_FETCH_PLANNER_H_
