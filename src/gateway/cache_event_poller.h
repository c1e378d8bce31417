// Polls engines and stores for cache events, and frees segments of older weight versions in stores:
// no request can use them after a rollout, and they would fill the stores.

#ifndef BLUEBELLSTEP_GATEWAY_CACHE_EVENT_POLLER_H_
#define BLUEBELLSTEP_GATEWAY_CACHE_EVENT_POLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "gateway/cache_directory.h"
#include "gateway/cache_poll_scheduler.h"
#include "gateway/cache_update.h"
#include "http/http_client.h"
#include "http/http_loop.h"

namespace bluebellstep {

/** Keeps a `CacheDirectory` up to date by polling its cache nodes.
 *
 * Runs on the HTTP thread.
 */
class CacheEventPoller {
 public:
  /** Delay between the end of a poll of a node and its next poll. */
  static constexpr Duration kStorePollDelay{700};
  static constexpr Duration kEnginePollDelay{1000};
  /** How long a node may hold a poll while it has no events. Shorter polls are charged. */
  static constexpr Duration kLongPollWait{200};
  static constexpr Duration kCallTimeout{600};
  /** A shared node is polled if no other gateway passed on an answer for this time. Shorter than
   * `CacheDirectory::kStoreStateValidity` by the duration of a poll. */
  static constexpr Duration kRelayTimeout{1150};
  /** Delay between a poll that failed and the next poll of the node. */
  static constexpr Duration kPollRetryDelay{1500};

  CacheEventPoller(HttpLoop& loop,
                   HttpClient& client,
                   CacheDirectory& directory,
                   CachePollScheduler poll_scheduler);
  CacheEventPoller(const CacheEventPoller&) = delete;
  CacheEventPoller& operator=(const CacheEventPoller&) = delete;
  ~CacheEventPoller();

  /** Reads the changed list of nodes from the directory and starts to poll new ones. */
  void update_nodes();

  /** Sets the names of the gateways of this zone. */
  void set_zone_gateways(std::span<const std::string> names) {
    poll_scheduler_.set_zone_gateways(names);
  }

  /** Sets the function that passes answers on to the gateways of this zone. */
  void on_update(std::function<void(const CacheUpdate&)> callback) {
    on_update_ = std::move(callback);
  }

  /** Another gateway of this zone passed on the answer to a poll. */
  void apply_update(const CacheUpdate& update);

  /** Frees the segments in all stores that belong to versions of `model` before `version`. */
  void free_older_segments(std::string_view model, std::uint64_t version);

 private:
  void start_first_polls();
  void poll(const std::string& name);
  // Whether another gateway has passed on an answer of the node lately.
  bool is_relayed(const std::string& name, Instant now) const;
  void on_poll_answer(const std::string& name,
                      std::uint64_t since,
                      const HttpClient::Response& response);
  void poll_after(Duration delay, const std::string& name);

  HttpLoop& loop_;
  HttpClient& client_;
  CacheDirectory& directory_;
  Clock clock_;
  CachePollScheduler poll_scheduler_;
  std::map<std::string, CacheNode> nodes_;
  std::map<std::string, Instant> relayed_at_;  // By node: the last answer passed on by others.
  std::function<void(const CacheUpdate&)> on_update_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CACHE_EVENT_POLLER_H_
