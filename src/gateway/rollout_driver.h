// Makes the calls that a weight rollout asks for, under the rollout's lease.

#ifndef BLUEBELLSTEP_GATEWAY_ROLLOUT_DRIVER_H_
#define BLUEBELLSTEP_GATEWAY_ROLLOUT_DRIVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "commands/fenced_lease.h"
#include "gateway/upstream_pool.h"
#include "gateway/weight_rollout.h"
#include "http/http_client.h"
#include "http/http_loop.h"
#include "settings/gateway_settings.h"

namespace bluebellstep {

/** Runs on the HTTP thread. */
class RolloutDriver {
 public:
  static constexpr Duration kCallTimeout{800};
  /** Longest pause between two looks at lease and rollout while one is needed. */
  static constexpr Duration kLongestPause{500};

  RolloutDriver(HttpLoop& loop,
                HttpClient& client,
                const GatewaySettings& settings,
                UpstreamPool& pool);
  RolloutDriver(const RolloutDriver&) = delete;
  RolloutDriver& operator=(const RolloutDriver&) = delete;
  ~RolloutDriver();

  /** The upstreams or the wanted weights changed. */
  void update();

 private:
  void step();
  bool step_lease(Instant now);
  void step_rollout(Instant now);
  void ask(const RolloutStep& step);
  void command(RolloutStep step);
  void schedule(Duration delay);
  template <typename Handler>
  void send(HttpCall call, Handler handler);
  const UpstreamPool::OutdatedEngine* find(std::string_view id) const;

  HttpLoop& loop_;
  HttpClient& client_;
  const GatewaySettings& settings_;
  UpstreamPool& pool_;
  Clock clock_;
  FencedLease lease_;
  WeightRollout rollout_;
  std::vector<UpstreamPool::OutdatedEngine> outdated_;
  std::optional<Instant> last_command_;
  std::optional<Instant> scheduled_for_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_ROLLOUT_DRIVER_H_
