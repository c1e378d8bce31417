// The roll-outs of all services, as far as a gateway knows them, without calls to the store.

#ifndef BLUEBELLSTEP_SERVICE_ROLLOUT_SERVICE_ROLLOUTS_H_
#define BLUEBELLSTEP_SERVICE_ROLLOUT_SERVICE_ROLLOUTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "gateway/request_quota.h"
#include "service_rollout/service_rollout.h"

namespace bluebellstep {

/** Decides which versions of each service receive requests, and counts the requests. All times are
 * read from one monotonic clock. */
class ServiceRollouts {
 public:
  template <typename Value>
  using ByService = std::map<std::string, Value, std::less<>>;

  /** @param gateway  Name of this gateway.
   * @param quota    Divides the slack among the gateways. Must outlive this object. */
  ServiceRollouts(std::string gateway, RolloutLimits limits, const RequestQuota& quota)
      : gateway_(std::move(gateway)), limits_(limits), quota_(quota) {}

  /** Sets the complete lists of orders and decisions. The first list of orders has orders that were
   * given at an unknown time before.
   *
   * @param era  Of the store that has these lists. */
  void set_orders(const ByService<RolloutOrder>& orders, std::uint64_t era, Instant now);
  void set_decisions(const ByService<RolloutDecision>& decisions, std::uint64_t era);
  /** Sets the versions of the registered upstreams of all services. */
  void set_registered_versions(const ByService<VersionNames>& versions);

  /** Whether both lists were set. Until then, services with upstreams of more than one version
   * receive nothing. */
  bool ready() const { return orders_set_ && decisions_set_; }

  /** A call to the store told a newer order or decision of one service. */
  void update_order(std::string_view service, const RolloutOrder& order, Instant now);
  void update_decision(std::string_view service, const RolloutDecision& decision);

  /** Whether a request to `service` may be sent to an upstream of `version` now. */
  bool allows(std::string_view service, std::string_view version) const;
  /** See `ServiceRollout::avoids`. */
  bool avoids(std::string_view service, std::string_view version) const;

  /** Sets for how long new servers of a service are slower than usual. */
  void set_cold_time(std::string_view service, Duration cold_time) {
    at(service).set_cold_time(cold_time);
  }

  /** A request is sent to an upstream. Returns the phase of the roll-out, for `record_finished`. */
  RolloutPhase record_sent(std::string_view service, std::string_view version) {
    return at(service).record_sent(version);
  }

  /** What became of a request that was sent. */
  enum class Outcome {
    kAnswered,
    kFailed,      // Error response of the upstream, lost connection or unusable response.
    kNotReached,  // The request did not reach the upstream.
    kNotCounted,  // Rejected, or given up by its caller.
  };
  /** A request that has ended. */
  struct FinishedRequest {
    std::string_view service;
    std::string_view version;
    std::string_view route;
    RolloutPhase phase = RolloutPhase::kCanary;  // In which it was sent.
    Outcome outcome = Outcome::kNotCounted;
    // Time from sending to the first byte of the answer, or of the first event of a stream.
    std::optional<Duration> first_byte;
  };
  void record_finished(const FinishedRequest& request);

  /** Takes in the report of another gateway. */
  void on_report(const VersionReport& report, Instant now);

  /** Calls `visit(ServiceRollout&)` for each service with requests, upstreams or an order. */
  template <typename Visitor>
  void visit(Visitor visit) {
    for (auto& [service, rollout] : rollouts_) {
      visit(rollout);
    }
  }

 private:
  ServiceRollout& at(std::string_view service);
  const ServiceRollout* find(std::string_view service) const;
  std::uint32_t slack_part(std::string_view service, Instant now) const;

  std::string gateway_;
  RolloutLimits limits_;
  const RequestQuota& quota_;
  ByService<ServiceRollout> rollouts_;
  ByService<VersionNames> registered_versions_;
  bool orders_set_ = false;
  bool decisions_set_ = false;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SERVICE_ROLLOUT_SERVICE_ROLLOUTS_H_
