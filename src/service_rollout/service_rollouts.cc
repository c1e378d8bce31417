// Passes lists, requests and reports on to the roll-out of each service.

#include "service_rollout/service_rollouts.h"

#include "base/hash.h"

namespace bluebellstep {

ServiceRollout& ServiceRollouts::at(std::string_view service) {
  const auto found = rollouts_.find(service);
  if (found != rollouts_.end()) {
    return found->second;
  }
  return rollouts_
      .emplace(std::string(service), ServiceRollout(std::string(service), gateway_, limits_))
      .first->second;
}

const ServiceRollout* ServiceRollouts::find(std::string_view service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

std::uint32_t ServiceRollouts::slack_part(std::string_view service, Instant now) const {
  // An order in the first list may have been seen before a restart, and its part be used up.
  const bool divisible = limits_.exposure.slack >= 1;
  return orders_set_ && divisible ? quota_.allowance(hash64(service), limits_.exposure.slack, now)
                                  : 0;
}

void ServiceRollouts::set_orders(const ByService<RolloutOrder>& orders,
                                 std::uint64_t era,
                                 Instant now) {
  for (auto& [service, rollout] : rollouts_) {
    if (!orders.contains(service)) {
      rollout.set_order(std::nullopt, 0, era, now);
    }
  }
  for (const auto& [service, order] : orders) {
    at(service).set_order(order, slack_part(service, now), era, now);
  }
  orders_set_ = true;
}

void ServiceRollouts::set_decisions(const ByService<RolloutDecision>& decisions,
                                    std::uint64_t era) {
  for (const auto& [service, decision] : decisions) {
    at(service).set_decision(decision);
  }
  for (auto& [service, rollout] : rollouts_) {
    if (!decisions.contains(service)) {
      rollout.on_decision_removed(era);
    }
  }
  decisions_set_ = true;
}

void ServiceRollouts::set_registered_versions(const ByService<VersionNames>& versions) {
  registered_versions_ = versions;
  for (const auto& [service, names] : versions) {
    at(service).set_registered_versions(names);
  }
  for (auto& [service, rollout] : rollouts_) {
    if (!versions.contains(service)) {
      rollout.set_registered_versions({});
    }
  }
}

void ServiceRollouts::update_order(std::string_view service,
                                   const RolloutOrder& order,
                                   Instant now) {
  at(service).set_order(order, slack_part(service, now), order.revision.era, now);
}

void ServiceRollouts::update_decision(std::string_view service, const RolloutDecision& decision) {
  at(service).set_decision(decision);
}

bool ServiceRollouts::allows(std::string_view service, std::string_view version) const {
  if (!ready()) {
    const auto registered = registered_versions_.find(service);
    return registered == registered_versions_.end() || registered->second.size() <= 1;
  }
  const ServiceRollout* rollout = find(service);
  return rollout == nullptr || rollout->allows(version);
}

bool ServiceRollouts::avoids(std::string_view service, std::string_view version) const {
  const ServiceRollout* rollout = find(service);
  return rollout != nullptr && rollout->avoids(version);
}

void ServiceRollouts::record_finished(const FinishedRequest& request) {
  ServiceRollout& rollout = at(request.service);
  if (request.outcome == Outcome::kNotReached) {
    rollout.record_not_reached(request.version);
  } else if (request.outcome != Outcome::kNotCounted) {
    rollout.record_outcome(request.version, {.route = request.route,
                                             .phase = request.phase,
                                             .failed = request.outcome == Outcome::kFailed,
                                             .first_byte = request.first_byte});
  }
  rollout.record_finished(request.version);
}

void ServiceRollouts::on_report(const VersionReport& report, Instant now) {
  if (const auto found = rollouts_.find(report.service); found != rollouts_.end()) {
    found->second.on_report(report, now);
  }
}

}  // namespace bluebellstep
