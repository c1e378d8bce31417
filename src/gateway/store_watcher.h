// Keeps a local replica of the objects of one kind in the platform's store: lists them once, then
// watches for changes, and recovers when the store has been unreachable.

#ifndef BLUEBELLSTEP_GATEWAY_STORE_WATCHER_H_
#define BLUEBELLSTEP_GATEWAY_STORE_WATCHER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/object_replica.h"
#include "http/background_worker.h"
#include "http/http_client.h"
#include "http/http_loop.h"
#include "store_history/object_store_client.h"

namespace bluebellstep {

/** Lists and watches the objects of one kind. All members run on the HTTP thread. */
class StoreWatcher {
 public:
  /** How long the store may hold a watch while nothing changes. Also bounds how long a store that
   * accepts calls but does not answer them goes undetected. */
  static constexpr Duration kWatchWait{3000};
  /** The same for watches of the zones out of service; see `ColdLimit::record_view`. */
  static constexpr Duration kZonesWatchWait{900};
  /** The same for watches of gateways. Longer, since no change of a gateway is urgent and each call
   * is charged. */
  static constexpr Duration kGatewaysWatchWait{12'000};
  /** The same for a watch that probes an unreachable store. A longer watch that is lost in an
   * outage would delay the detection of the store's recovery until the watch times out. */
  static constexpr Duration kProbeWait{100};
  /** A store that does not answer a call within this time, added to the wait of a watch, counts as
   * unreachable. */
  static constexpr Duration kCallTimeout{800};
  /** Delay before the retry of a failed call. Refused calls are charged too. */
  static constexpr Duration kRetryDelay{400};
  /** Larger objects and responses are decoded by a `BackgroundWorker`; others take a few ms. */
  static constexpr std::size_t kMinBackgroundBytes = 64u << 10;
  /** Delay before the next watch after changes were received, so that a burst of changes takes few
   * calls. */
  static constexpr Duration kBatchDelay{150};
  /** The same for upstreams, which change often, and for gateways, whose changes are not urgent. */
  static constexpr Duration kUpstreamsBatchDelay{400};
  static constexpr Duration kGatewaysBatchDelay{3000};

  /** Callbacks to the owner. */
  struct Listener {
    /** The replica changed. `restored` is true if it entered a later era of the store. */
    std::function<void(ObjectReplica::Changes, bool restored)> on_changes;
    /** The replica contains all changes made before `as_of`. May be unset. */
    std::function<void(Instant as_of)> on_current;
    /** A call that was sent at `sent_at` ended. `reachable` is true if the store answered it. */
    std::function<void(bool reachable, Instant sent_at)> on_call_ended;
    /** Returns whether a retry may be sent to the store after a failed call. Called before each
     * retry. */
    std::function<bool()> may_probe;
  };

  StoreWatcher(HttpLoop& loop,
               ObjectStoreClient& client,
               BackgroundWorker& worker,
               const Endpoint& store,
               platform::ObjectKind kind,
               Listener listener);
  StoreWatcher(const StoreWatcher&) = delete;
  StoreWatcher& operator=(const StoreWatcher&) = delete;
  ~StoreWatcher();

  /** Sets how long the store may hold the next watches. */
  void set_watch_wait(Duration wait) { watch_wait_ = wait; }

  /** Starts to list and watch. Call once. */
  void start();

  /** Stops sending watches while another source passes the changes on. A watch in progress ends
   * first. */
  void pause() { paused_ = true; }
  /** Watches again. */
  void resume();

  /** The store was restored: lists the objects after `delay`, unless they are being listed. */
  void on_era_raised(Duration delay);

  /** Applies changes that a peer passed on, and the gaps in what it heard. */
  void apply_changes(platform::ObjectChanges changes, std::span<const RevisionGap> gaps);

  /** Replaces the replica by a peer's complete list, if its `revision` of the store is newer. */
  void apply_snapshot(std::vector<platform::StoredObject> objects, const StoreRevision& revision);

  /** The objects as last received. */
  const ObjectReplica& replica() const { return replica_; }
  /** Where the last changes of the replica came from: `list`, `watch` or `peer`. */
  std::string_view change_source() const { return change_source_; }
  platform::ObjectKind kind() const { return kind_; }

 private:
  void list(std::string after_name);
  void watch(Duration wait);
  void on_list_page(platform::PageResult result);
  void on_watch_answer(platform::ChangesResult result);
  void on_call_failed(const PlatformUnavailable& fault);
  void retry();
  Duration batch_delay() const;
  void notify_current() const;
  void notify_changes(ObjectReplica::Changes changes,
                      std::string_view source,
                      bool restored = false);
  void replace(std::vector<platform::StoredObject> objects,
               const StoreRevision& revision,
               std::string_view source);
  // Sends `call` and passes the response, decoded by `decode`, to `handler`.
  template <typename Result>
  void send(platform::StoreCall call,
            Result (*decode)(const platform::StoreAnswer&),
            void (StoreWatcher::*handler)(Result));
  // Runs a task of the present series of calls after a delay.
  void run_after(Duration delay, std::function<void()> task);

  HttpLoop& loop_;
  ObjectStoreClient& client_;
  BackgroundWorker& worker_;
  Endpoint store_;
  platform::ObjectKind kind_;
  Listener listener_;
  ObjectReplica replica_;
  std::string_view change_source_;
  // A watch may start from the replica's revision. If not, the objects must be listed first.
  bool can_watch_ = false;
  bool listing_ = false;  // A list is in progress.
  // Each call follows the answer to the one before. A higher number starts a new series; answers to
  // calls of earlier ones are ignored.
  std::uint64_t series_ = 0;
  Duration watch_wait_;
  Clock clock_;
  Instant call_sent_at_;  // Of the last call.
  // Time by which the store has answered the call in progress, unless the call takes long. An
  // answer that this process was late to read tells nothing of later times.
  Instant answer_due_;
  bool reachable_ = true;  // The store answered the last call.
  bool paused_ = false;
  bool stopped_by_pause_ = false;                       // `resume` must send the next call.
  std::vector<platform::StoredObject> listed_objects_;  // From the pages of the list in progress.
  // The store's revision in the first page of the list; nothing before that page.
  std::optional<StoreRevision> list_revision_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_STORE_WATCHER_H_
