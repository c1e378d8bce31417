// Reads orders and decisions, writes decisions and status, and sends reports.

#include "service_rollout/service_rollout_driver.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "base/overloaded.h"
#include "platform/rollout_format.h"

namespace bluebellstep {
namespace {

using platform::ObjectKind;

RolloutLimits rollout_limits(const GatewayBounds& bounds) {
  return {.exposure = {.share = bounds.expose_share, .slack = bounds.expose_slack},
          .rollback_after = bounds.rollback_after};
}

}  // namespace

ServiceRolloutDriver::ServiceRolloutDriver(HttpLoop& loop,
                                           ObjectStoreClient& client,
                                           const GatewaySettings& settings,
                                           const Gateway& gateway)
    : loop_(loop),
      client_(client),
      settings_(settings),
      gateway_(gateway),
      rollouts_(settings.name, rollout_limits(settings.bounds), gateway.quota) {
  gateway_.pool.set_rollouts(rollouts_);
  gateway_.forwarder.set_rollouts(rollouts_);
  gateway_.exchange.on_version_report(
      [this](const VersionReport& report) { rollouts_.on_report(report, clock_.now()); });
  gateway_.synchronizer.on_rollouts_changed([this] {
    refresh();
    advance();
  });
  run_periodically();
}

void ServiceRolloutDriver::run_periodically() {
  refresh();
  advance();
  send_reports();
  loop_.post_after(kInterval, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      run_periodically();
    }
  });
}

void ServiceRolloutDriver::refresh() {
  ServiceRollouts::ByService<VersionNames> versions;
  gateway_.pool.visit_registrations([&](const UpstreamRegistration& upstream) {
    versions[upstream.service].insert(upstream.software_version);
  });
  rollouts_.set_registered_versions(versions);
  read_decisions();
  read_orders(clock_.now());
}

void ServiceRolloutDriver::read_orders(Instant now) {
  const ObjectReplica& replica = gateway_.synchronizer.replica(ObjectKind::kRollouts);
  const auto& config = gateway_.forwarder.config();
  if (replica.revision().is_absent() || config == nullptr) {
    return;
  }
  ServiceRollouts::ByService<RolloutOrder> orders;
  for (const auto& [name, object] : replica.objects()) {
    auto decoded = platform::decode_rollout_order(object);
    if (const auto* fault = std::get_if<platform::DecodeError>(&decoded)) {
      log_ignored(object, fault->reason);
    } else if (config->find_service(name) == nullptr) {
      log_ignored(object, "unknown service");
    } else {
      orders.emplace(name, std::move(std::get<RolloutOrder>(decoded)));
      rollouts_.set_cold_time(name, config->find_service(name)->cold_time);
    }
  }
  rollouts_.set_orders(orders, replica.revision().era, now);
}

void ServiceRolloutDriver::read_decisions() {
  const ObjectReplica& replica = gateway_.synchronizer.replica(ObjectKind::kRolloutDecisions);
  if (replica.revision().is_absent()) {
    return;
  }
  ServiceRollouts::ByService<RolloutDecision> decisions;
  for (const auto& [name, object] : replica.objects()) {
    auto decoded = platform::decode_rollout_decision(object);
    if (const auto* fault = std::get_if<platform::DecodeError>(&decoded)) {
      log_ignored(object, fault->reason);
    } else {
      decisions.emplace(name, std::move(std::get<RolloutDecision>(decoded)));
    }
  }
  rollouts_.set_decisions(decisions, replica.revision().era);
}

bool ServiceRolloutDriver::store_current(Instant now) const {
  const auto& synchronizer = gateway_.synchronizer;
  return now < std::min(synchronizer.current_at(ObjectKind::kRollouts),
                        synchronizer.current_at(ObjectKind::kRolloutDecisions)) +
                   kMaxAge;
}

void ServiceRolloutDriver::advance() {
  if (!rollouts_.ready()) {
    return;
  }
  const Instant now = clock_.now();
  VersionNames gateways;
  for (const auto& [name, object] : gateway_.synchronizer.objects(ObjectKind::kGateways)) {
    gateways.insert(name);
  }
  const bool current = store_current(now);
  rollouts_.visit([&](ServiceRollout& rollout) {
    if (!rollout.active()) {
      return;
    }
    const auto write = rollout.advance(gateways, current, now);
    if (!write || !current || !gateway_.synchronizer.store_reachable() ||
        !writing_.insert(rollout.service()).second) {
      return;
    }
    if (write->is_status) {
      write_status(rollout.service(), *write);
    } else {
      write_decision(rollout.service(), *write);
    }
  });
}

void ServiceRolloutDriver::send_reports() {
  const Instant now = clock_.now();
  rollouts_.visit([&](const ServiceRollout& rollout) {
    if (!rollout.order()) {
      return;
    }
    // Of the last service with an order, if there are several.
    gateway_.metrics.set("bluebellstep_gateway_rollout_old_in_flight",
                         static_cast<double>(rollout.old_in_flight()));
    gateway_.metrics.set("bluebellstep_gateway_rollout_new_requests",
                         static_cast<double>(rollout.new_requests()));
    gateway_.metrics.set("bluebellstep_gateway_rollout_all_requests",
                         static_cast<double>(rollout.all_requests()));
    Instant& until = report_until_[rollout.service()];
    if (rollout.active()) {
      until = now + kReportAfterEnd;
    }
    if (now < until) {
      gateway_.exchange.send_version_report(rollout.make_report(now));
    }
  });
}

template <typename Handler>
void ServiceRolloutDriver::send(const std::string& service,
                                platform::StoreCall call,
                                Handler handler) {
  client_.send(std::move(call),
               [this, service, alive = std::weak_ptr<bool>(alive_),
                handler = std::move(handler)](const platform::StoreAnswer& response) {
                 if (alive.expired()) {
                   return;
                 }
                 writing_.erase(service);
                 // A failed call is made again at the next evaluation.
                 if (handler(response)) {
                   advance();
                 }
               });
}

void ServiceRolloutDriver::write_decision(const std::string& service, const RolloutWrite& write) {
  log_write(service, write);
  send(service,
       platform::write_call(settings_.store, ObjectKind::kRolloutDecisions, service,
                            write.decision.revision,
                            platform::encode_rollout_decision(write.decision), kCallTimeout),
       [this, service, write](const platform::StoreAnswer& response) {
         const auto result = platform::decode_write(response);
         return std::visit(
             Overloaded{[&](StoreRevision version) {
                          RolloutDecision written = write.decision;
                          written.revision = version;
                          gateway_.metrics.count("bluebellstep_gateway_rollout_decisions_total",
                                                 std::string(name_of(written.state)));
                          rollouts_.update_decision(service, written);
                          return true;
                        },
                        [&](const VersionConflict& conflict) {
                          // Another gateway has decided, or the answer to an earlier write was
                          // lost.
                          const auto current = platform::decode_rollout_decision(
                              {.name = service,
                               .revision = conflict.current.version,
                               .content = conflict.current.value});
                          if (const auto* known = std::get_if<RolloutDecision>(&current)) {
                            rollouts_.update_decision(service, *known);
                            return true;
                          }
                          return false;
                        },
                        [](const PlatformUnavailable&) { return false; }},
             result);
       });
}

void ServiceRolloutDriver::write_status(const std::string& service, const RolloutWrite& write) {
  log_write(service, write);
  send(service,
       platform::write_status_call(
           settings_.store, ObjectKind::kRollouts, service, write.order_revision,
           platform::encode_rollout_status(write.decision.state, write.decision.id.to),
           kCallTimeout),
       [this, service](const platform::StoreAnswer& response) {
         const auto result = platform::decode_status_write(response);
         const auto* object = std::get_if<platform::StoredObject>(&result);
         if (object == nullptr) {
           return false;
         }
         const auto order = platform::decode_rollout_order(*object);
         if (const auto* known = std::get_if<RolloutOrder>(&order)) {
           rollouts_.update_order(service, *known, clock_.now());
           return true;
         }
         return false;
       });
}

void ServiceRolloutDriver::log_write(const std::string& service, const RolloutWrite& write) {
  const auto last = logged_.find(service);
  if (last != logged_.end() && last->second.is_status == write.is_status &&
      last->second.decision == write.decision) {
    return;
  }
  logged_.insert_or_assign(service, write);
  LogEvent(write.is_status ? "rollout_status" : "rollout_decided")
      .field("service", service)
      .field("to", write.decision.id.to)
      .field("state", name_of(write.decision.state))
      .field("why", write.reason)
      .field("judged", write.verdict.reason)
      .field("route", write.verdict.route)
      .field("answers", write.verdict.answers)
      .field("failures", write.verdict.failures)
      .field("old_failure_share", write.verdict.old_failure_share)
      .field("old_ms", write.verdict.old_ms)
      .field("new_ms", write.verdict.new_ms)
      .field("revision",
             to_string(write.is_status ? write.order_revision : write.decision.revision));
}

void ServiceRolloutDriver::log_ignored(const platform::StoredObject& object,
                                       std::string_view reason) {
  StoreRevision& revision = ignored_[object.name];
  if (revision != object.revision) {
    revision = object.revision;
    LogEvent("rollout_ignored", LogEvent::Severity::kError)
        .field("name", object.name)
        .field("revision", to_string(object.revision))
        .field("why", reason);
  }
}

}  // namespace bluebellstep
