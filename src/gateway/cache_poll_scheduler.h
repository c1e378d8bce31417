// Which sources of cache events a gateway polls, and in which order it begins.
//
// Load pattern: all gateways start again after a loss of power, some of them behind a slow link,
// and engines read all prompts again. A source answers the first poll with thousands of events, and
// 54 busy engines make 1 MB of them a second. That filled a link of 10 Mbit/s for 10 s, in which no
// connection to an upstream could be made.

#ifndef BLUEBELLSTEP_GATEWAY_CACHE_POLL_SCHEDULER_H_
#define BLUEBELLSTEP_GATEWAY_CACHE_POLL_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/cache_directory.h"

namespace bluebellstep {

/** Stores come before engines: they keep what is fetched most. */
class CachePollScheduler {
 public:
  /** First polls that are under way at once. */
  static constexpr std::size_t kMaxConcurrentFirstPolls = 2;

  /** Below this speed of its own link a gateway follows only the engines of its own zone. Ten times
   * the rate of events of 54 busy engines. */
  static constexpr double kAllZonesMinMbps = 80;

  /** Engines that one gateway follows at most, those of its zone before others. With all of 300
   * engines a gateway used a sixth of its processor for their events, with 1,000 two thirds. */
  static constexpr std::size_t kMaxEngines = 64;

  /** `name` and `zone` are those of the gateway; a `link_mbps` of 0 is not known and counts as
   * fast.
   */
  CachePollScheduler(std::string_view name, std::string zone, double link_mbps);

  /** Sets all sources; those that are left out are forgotten. */
  void set_nodes(std::span<const CacheNode> nodes);

  /** The next source that may get its first poll now, if any. */
  std::optional<std::string> start_next_poll();

  /** The first poll of a source has ended. */
  void record_poll_finished(std::string_view name);

  /** Whether the source is still to be polled. */
  bool contains(std::string_view name) const { return states_.find(name) != states_.end(); }

 private:
  enum class State { kNotPolled, kFirstPollInProgress, kPolled };
  struct Node {
    State state = State::kNotPolled;
    bool is_store = false;
  };

  std::vector<std::string_view> followed_engines(std::span<const CacheNode> nodes) const;

  std::uint64_t name_hash_;
  std::string zone_;
  bool follows_all_zones_;
  std::map<std::string, Node, std::less<>> states_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CACHE_POLL_SCHEDULER_H_
