// Connects the roll-outs of services with the store, the other gateways and the requests of a
// gateway.

#ifndef BLUEBELLSTEP_SERVICE_ROLLOUT_SERVICE_ROLLOUT_DRIVER_H_
#define BLUEBELLSTEP_SERVICE_ROLLOUT_SERVICE_ROLLOUT_DRIVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "gateway/forwarder.h"
#include "gateway/load_report_exchange.h"
#include "gateway/request_quota.h"
#include "gateway/state_synchronizer.h"
#include "gateway/upstream_pool.h"
#include "http/http_loop.h"
#include "metrics/metrics.h"
#include "service_rollout/service_rollouts.h"
#include "settings/gateway_settings.h"
#include "store_history/object_store_client.h"

namespace bluebellstep {

/** Passes orders, decisions and reports to the roll-outs of a gateway, and makes their writes. Only
 * for deployments with roll-outs. All members run on the HTTP thread. */
class ServiceRolloutDriver {
 public:
  /** Limit on each call to the store. */
  static constexpr Duration kCallTimeout{800};
  /** Interval between evaluations, and between reports while a roll-out runs. */
  static constexpr Duration kInterval{250};
  /** Reports are sent for this long after the end of a roll-out, for gateways that do not reach the
   * store. */
  static constexpr Duration kReportAfterEnd{10'000};
  /** Orders and decisions are current for this long after a call told so: the longest interval
   * between two answers to watches of a store that works. */
  static constexpr Duration kMaxAge{4200};

  /** The parts of the gateway that take part in roll-outs. They must outlive the driver. */
  struct Gateway {
    UpstreamPool& pool;
    Forwarder& forwarder;
    StateSynchronizer& synchronizer;
    LoadReportExchange& exchange;
    Metrics& metrics;
    const RequestQuota& quota;
  };

  ServiceRolloutDriver(HttpLoop& loop,
                       ObjectStoreClient& client,
                       const GatewaySettings& settings,
                       const Gateway& gateway);
  ServiceRolloutDriver(const ServiceRolloutDriver&) = delete;
  ServiceRolloutDriver& operator=(const ServiceRolloutDriver&) = delete;

  /** Whether it is known which versions may receive requests. */
  bool ready() const { return rollouts_.ready(); }

 private:
  void run_periodically();
  // Re-reads the orders, the decisions and the versions of the upstreams.
  void refresh();
  void read_orders(Instant now);
  void read_decisions();
  // Whether the orders and decisions are current.
  bool store_current(Instant now) const;
  // Evaluates all roll-outs and starts the writes that are due.
  void advance();
  void send_reports();
  void write_decision(const std::string& service, const RolloutWrite& write);
  void write_status(const std::string& service, const RolloutWrite& write);
  // Makes a call, passes the answer to `handler`, then evaluates all roll-outs.
  template <typename Handler>
  void send(const std::string& service, platform::StoreCall call, Handler handler);
  void log_write(const std::string& service, const RolloutWrite& write);
  // Logs, once for each revision, that an object is ignored.
  void log_ignored(const platform::StoredObject& object, std::string_view reason);

  HttpLoop& loop_;
  ObjectStoreClient& client_;
  const GatewaySettings& settings_;
  Gateway gateway_;
  Clock clock_;
  ServiceRollouts rollouts_;
  std::set<std::string, std::less<>> writing_;                // Services with a call in progress.
  std::map<std::string, Instant, std::less<>> report_until_;  // By service.
  // The last logged write of each service, which is not logged again when it is repeated.
  std::map<std::string, RolloutWrite, std::less<>> logged_;
  std::map<std::string, StoreRevision, std::less<>> ignored_;  // Revisions of ignored objects.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SERVICE_ROLLOUT_SERVICE_ROLLOUT_DRIVER_H_
