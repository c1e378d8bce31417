// Selects the cache nodes that a gateway polls for cache events, and the order of the first polls.
//
// Load pattern: all gateways restart after a power failure, some of them behind a slow link, and
// engines prefill all prompts again. A cache node answers the first poll with thousands of events,
// and 54 busy engines produce 1 MB of events per second. This saturated a 10 Mbit/s link for
// 10 seconds, during which no connection to an upstream could be established.

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

/** Selects the cache nodes to poll and limits the number of concurrent first polls.
 *
 * Stores are polled before engines, since most fetches are from stores.
 */
class CachePollScheduler {
 public:
  /** Maximum number of first polls in progress. */
  static constexpr std::size_t kMaxConcurrentFirstPolls = 2;

  /** A gateway whose link is slower polls only the engines of its own zone. Ten times the event
   * rate of 54 busy engines. */
  static constexpr double kAllZonesMinMbps = 80;

  /** Maximum number of engines that a gateway polls, those of its own zone first. Events of 300
   * engines took a sixth of a gateway's processor time, those of 1,000 engines two thirds. */
  static constexpr std::size_t kMaxEngines = 64;

  /** Creates the scheduler of one gateway.
   *
   * @param name       Name of the gateway.
   * @param zone       Zone of the gateway.
   * @param link_mbps  Speed of its network link in Mbit/s. 0 means unknown and counts as fast.
   */
  CachePollScheduler(std::string_view name, std::string zone, double link_mbps);

  /** Sets the known cache nodes. Nodes that are not in the list are no longer polled. */
  void set_nodes(std::span<const CacheNode> nodes);

  /** Returns the next node to poll for the first time and counts that poll as in progress. Returns
   * nothing if all nodes were polled or `kMaxConcurrentFirstPolls` are in progress. */
  std::optional<std::string> start_next_poll();

  /** A poll of a node has ended, with or without an answer. */
  void record_poll_finished(std::string_view name);

  /** Sets the names of the gateways of this zone, which pass on to each other what they poll. */
  void set_zone_gateways(std::span<const std::string> names);

  /** Whether the gateways of this zone pass on polls of the node: stores and engines of the zone.
   */
  bool is_shared(std::string_view name) const;

  /** Whether this gateway polls a shared node for its zone. */
  bool polls_for_zone(std::string_view name) const;

  /** Whether the node is to be polled. */
  bool contains(std::string_view name) const {
    return nodes_by_name_.find(name) != nodes_by_name_.end();
  }

 private:
  enum class State { kNotPolled, kFirstPollInProgress, kPolled };
  struct Node {
    State state = State::kNotPolled;
    bool is_store = false;
    bool in_zone = false;
  };

  std::vector<std::string_view> engines_to_poll(std::span<const CacheNode> nodes) const;

  std::uint64_t name_hash_;
  std::string zone_;
  bool polls_all_zones_;
  std::vector<std::uint64_t> zone_gateway_hashes_;  // Without this gateway.
  std::map<std::string, Node, std::less<>> nodes_by_name_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CACHE_POLL_SCHEDULER_H_
