// Follows one kind of objects in the platform's store: lists, watches, and starts again after
// faults.

#ifndef BLUEBELLSTEP_GATEWAY_STORE_WATCHER_H_
#define BLUEBELLSTEP_GATEWAY_STORE_WATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/object_replica.h"
#include "http/http_client.h"
#include "http/http_loop.h"

namespace bluebellstep {

/** Runs on the HTTP thread. */
class StoreWatcher {
 public:
  /** Longest wait of a watch. Bounds how late a store that accepts calls and stays silent is
   * noticed. */
  static constexpr Duration kWatchWait{3000};
  /** Wait of a watch of the gateways: nothing depends on hearing of one at once, and each call is
   * charged. */
  static constexpr Duration kGatewaysWatchWait{12'000};
  /** Wait of a watch that asks whether the store answers again. A longer one that falls into an
   * outage would hide the store's return until it times out. */
  static constexpr Duration kProbeWait{100};
  /** Silence of the store, beyond the wait of a watch, that counts as unreachable. */
  static constexpr Duration kCallTimeout{800};
  /** Pause after a call that failed. Refused calls are charged too. */
  static constexpr Duration kRetryPause{400};
  /** Pause before the next watch after changes, so that a series of changes takes few calls. */
  static constexpr Duration kBatchPause{150};
  /** The same for upstreams, which change often, and for gateways, which nothing waits for. */
  static constexpr Duration kUpstreamsPause{400};
  static constexpr Duration kGatewaysPause{3000};

  struct Listener {
    std::function<void(ObjectReplica::Changes)> on_changes;
    /** Each call's end: whether the store answered it. */
    std::function<void(bool reachable)> on_contact;
    /** Whether to call a store that did not answer this follower's last call. */
    std::function<bool()> may_probe;
  };

  StoreWatcher(HttpLoop& loop,
               HttpClient& client,
               const Endpoint& store,
               platform::ObjectKind kind,
               Listener listener);
  StoreWatcher(const StoreWatcher&) = delete;
  StoreWatcher& operator=(const StoreWatcher&) = delete;
  ~StoreWatcher();

  void start();

  /** Takes what a peer knows, if it is newer. */
  void adopt(std::vector<platform::StoredObject> objects, std::uint64_t revision);

  const ObjectReplica& mirror() const { return mirror_; }
  platform::ObjectKind kind() const { return kind_; }

 private:
  void list(std::string after);
  void watch(Duration wait);
  void on_page(const HttpClient::Response& response);
  void on_watch(const HttpClient::Response& response);
  void failed(const PlatformUnavailable& fault);
  void retry();
  Duration watch_wait() const;
  Duration batch_pause() const;
  void deliver(ObjectReplica::Changes changes);
  template <typename Handler>
  void send(HttpCall call, Handler handler);
  void after(Duration delay, std::function<void()> task);

  HttpLoop& loop_;
  HttpClient& client_;
  Endpoint store_;
  platform::ObjectKind kind_;
  Listener listener_;
  ObjectReplica mirror_;
  bool listed_ = false;  // A watch may start from the mirror's revision.
  bool reachable_ = true;
  std::vector<platform::StoredObject> pages_;  // Of the list under way.
  std::uint64_t list_revision_ = 0;            // Of the first page.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_STORE_WATCHER_H_
