// Carries out weight rollouts: requests reports and sends load commands to engines while this
// gateway holds the rollout lease. If the holder stops or cannot renew the lease, another gateway
// takes over.

#ifndef BLUEBELLSTEP_GATEWAY_ROLLOUT_DRIVER_H_
#define BLUEBELLSTEP_GATEWAY_ROLLOUT_DRIVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "commands/fenced_lease.h"
#include "gateway/lease_candidacy.h"
#include "gateway/upstream_pool.h"
#include "gateway/weight_rollout.h"
#include "http/http_client.h"
#include "http/http_loop.h"
#include "settings/gateway_settings.h"
#include "store_history/object_store_client.h"

namespace bluebellstep {

/** Makes the calls to engines that a `WeightRollout` returns. All members run on the HTTP
 * thread. */
class RolloutDriver {
 public:
  /** Limit on each call to the store or an engine. */
  static constexpr Duration kCallTimeout{800};
  /** Longest interval between checks of the lease and the rollout while updates are pending or the
   * lease is kept. */
  static constexpr Duration kMaxCheckInterval{500};

  RolloutDriver(HttpLoop& loop,
                HttpClient& client,
                ObjectStoreClient& store_client,
                const GatewaySettings& settings,
                UpstreamPool& pool);
  RolloutDriver(const RolloutDriver&) = delete;
  RolloutDriver& operator=(const RolloutDriver&) = delete;
  ~RolloutDriver();

  /** Re-reads from the pool which engines are outdated. Call after the upstreams or their target
   * weight versions changed. */
  void refresh();

  /** Sets the rank of this gateway among those that compete for the lease; see `LeaseCandidacy`. */
  void set_lease_rank(std::size_t rank) { candidacy_.set_rank(rank); }

 private:
  void advance();
  // Tells the lease the newest era of the store.
  void record_era(Instant now);
  bool advance_lease(Instant now);
  void advance_rollout(Instant now);
  void request_report(const EngineCall& engine_call);
  void send_load_command(EngineCall engine_call);
  // Calls `advance` after `delay`, unless an earlier call is scheduled.
  void schedule(Duration delay);
  // Makes a call to an engine or to the store, passes the answer to `handler`, then calls
  // `advance`.
  template <typename Handler>
  void send(HttpCall call, Handler handler);
  template <typename Handler>
  void send_to_store(platform::StoreCall call, Handler handler);
  // Returns null if the engine is no longer outdated or registered.
  const UpstreamPool::OutdatedEngine* find(std::string_view id) const;

  HttpLoop& loop_;
  HttpClient& client_;
  ObjectStoreClient& store_client_;
  const GatewaySettings& settings_;
  UpstreamPool& pool_;
  Clock clock_;
  FencedLease lease_;
  LeaseCandidacy candidacy_;
  WeightRollout rollout_;
  std::vector<UpstreamPool::OutdatedEngine> outdated_engines_;
  std::optional<Instant> last_command_at_;
  std::optional<Instant> scheduled_for_;  // Time of the next scheduled `advance`.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_ROLLOUT_DRIVER_H_
