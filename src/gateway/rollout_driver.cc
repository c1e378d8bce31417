// Keeps the rollout lease, requests reports and sends load commands.

#include "gateway/rollout_driver.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "base/overloaded.h"
#include "http/socket_address.h"
#include "platform/engine_calls.h"
#include "platform/object_format.h"

namespace bluebellstep {
namespace {

constexpr std::string_view kLeaseName = "weights";
// Grace of the lease where engines reject lower fencing numbers: if a holder stops right after a
// command, another gateway waits this long after the lease's term before it takes over.
constexpr Duration kFencedGrace{1000};
// An engine that was told to load weights is expected to reject requests for this time, unless it
// reports the new weights before.
constexpr Duration kExpectedLoadTime{1500};
// Reports of engines tell their state of some hundred ms ago.
constexpr Duration kReportAge{1000};

LeaseSettings lease_settings(const GatewaySettings& settings) {
  LeaseSettings lease;
  lease.object_key = std::string(kLeaseName);
  // The incarnation is left out so that a restarted gateway takes over its own lease at once. This
  // is safe: its former process has ended, since two cannot listen on one address, and the new
  // fencing number is higher.
  lease.holder = settings.name + "@" + to_string(settings.peers);
  lease.term = settings.bounds.lease_term;
  // Engines that do not check fencing numbers must not receive commands of two holders within a
  // term.
  lease.grace = settings.bounds.engines_check_fences ? kFencedGrace : settings.bounds.lease_term;
  lease.send_margin = Duration{700};
  lease.poll_interval = Duration{400};
  return lease;
}

}  // namespace

RolloutDriver::RolloutDriver(HttpLoop& loop,
                             HttpClient& client,
                             ObjectStoreClient& store_client,
                             const GatewaySettings& settings,
                             UpstreamPool& pool)
    : loop_(loop),
      client_(client),
      store_client_(store_client),
      settings_(settings),
      pool_(pool),
      lease_(lease_settings(settings)) {
  store_client_.on_era_raised([this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      advance();
    }
  });
}

RolloutDriver::~RolloutDriver() = default;

template <typename Handler>
void RolloutDriver::send(HttpCall call, Handler handler) {
  client_.send(std::move(call), [this, alive = std::weak_ptr<bool>(alive_),
                                 handler = std::move(handler)](HttpClient::Response response) {
    if (!alive.expired()) {
      handler(response);
      advance();
    }
  });
}

template <typename Handler>
void RolloutDriver::send_to_store(platform::StoreCall call, Handler handler) {
  store_client_.send(std::move(call), [this, alive = std::weak_ptr<bool>(alive_),
                                       handler = std::move(handler)](platform::StoreAnswer answer) {
    if (!alive.expired()) {
      // The lease must know the era of the answer before the answer itself: a holder that finds its
      // acquisition missing first would take it for replaced by another one.
      record_era(clock_.now());
      handler(answer);
      advance();
    }
  });
}

const UpstreamPool::OutdatedEngine* RolloutDriver::find(std::string_view id) const {
  const auto found = std::find_if(outdated_engines_.begin(), outdated_engines_.end(),
                                  [id](const auto& item) { return item.upstream_id == id; });
  return found == outdated_engines_.end() ? nullptr : &*found;
}

void RolloutDriver::refresh() {
  std::size_t engine_count = 0;
  outdated_engines_ = pool_.outdated_engines(engine_count);
  std::vector<EngineUpdate> updates;
  std::uint64_t newest_target = 0;
  for (const UpstreamPool::OutdatedEngine& item : outdated_engines_) {
    updates.push_back({.upstream_id = item.upstream_id,
                       .model = item.model,
                       .current_version = item.current_version,
                       .target_version = item.target_version,
                       .running_requests = item.running_requests,
                       .serves_until = item.serves_until});
    newest_target = std::max(newest_target, item.target_version);
  }
  candidacy_.set_pending(updates.size(), newest_target, clock_.now());
  rollout_.set_pending_updates(std::move(updates), engine_count, clock_.now());
  advance();
}

void RolloutDriver::advance() {
  const Instant now = clock_.now();
  // The lease is kept for one term after the last command, so that it changes hands at most once
  // per term.
  const bool keep_lease = last_command_at_ && now < *last_command_at_ + settings_.bounds.lease_term;
  const bool wants_lease =
      rollout_.has_pending_updates() && (candidacy_.may_compete(now) || lease_.may_act(now));
  if (wants_lease || keep_lease) {
    lease_.acquire();
  } else {
    lease_.release();
  }
  while (advance_lease(clock_.now())) {
  }
  if (lease_.may_act(now)) {
    advance_rollout(now);
  }
  if (rollout_.has_pending_updates() || keep_lease) {
    schedule(kMaxCheckInterval);
  }
}

void RolloutDriver::record_era(Instant now) {
  const StoreEra& era = store_client_.era();
  if (era.known_since()) {
    lease_.record_era(era.number(), *era.known_since(), now);
  }
}

// Makes the lease's next platform call, if any. Returns whether the lease must be advanced again.
bool RolloutDriver::advance_lease(Instant now) {
  record_era(now);
  return std::visit(
      Overloaded{[&](const PlatformRead& read) {
                   send_to_store(platform::read_call(settings_.store, platform::ObjectKind::kLeases,
                                                     read.key, kCallTimeout),
                                 [this](const platform::StoreAnswer& answer) {
                                   lease_.on_read(platform::decode_read(answer), clock_.now());
                                 });
                   return true;
                 },
                 [&](const PlatformWrite& write) {
                   send_to_store(
                       platform::write_call(settings_.store, platform::ObjectKind::kLeases,
                                            write.key, write.expected, write.value, kCallTimeout),
                       [this](const platform::StoreAnswer& answer) {
                         lease_.on_write(platform::decode_write(answer), clock_.now());
                       });
                   return true;
                 },
                 [](const LeaseCallPending&) { return false; },
                 [](const LeaseHeld&) { return false; },
                 [&](const LeaseWait& wait) {
                   schedule(std::max(Duration{1}, wait.at - now));
                   return false;
                 },
                 [](const LeaseIdle&) { return false; }},
      lease_.next(now));
}

void RolloutDriver::advance_rollout(Instant now) {
  while (auto engine_call = rollout_.next(now)) {
    if (engine_call->kind == EngineCall::Kind::kRequestReport) {
      request_report(*engine_call);
    } else {
      send_load_command(std::move(*engine_call));
    }
  }
  if (const auto at = rollout_.next_due()) {
    schedule(std::max(Duration{1}, *at - now));
  }
}

void RolloutDriver::request_report(const EngineCall& engine_call) {
  const UpstreamPool::OutdatedEngine* engine = find(engine_call.command.upstream_id);
  if (engine == nullptr) {
    rollout_.on_report(engine_call.command.upstream_id, std::nullopt, clock_.now());
    return;
  }
  send(platform::report_call(engine->endpoint, kCallTimeout),
       [this, id = engine->upstream_id, model = engine->model,
        as_of = clock_.now() - kReportAge](const HttpClient::Response& response) {
         const auto report = platform::decode_report(response, model);
         if (report && report->weight_version) {
           pool_.record_weight_version(id, model, *report->weight_version, as_of, clock_.now());
         }
         rollout_.on_report(id, report, clock_.now());
       });
}

void RolloutDriver::send_load_command(EngineCall engine_call) {
  const UpstreamPool::OutdatedEngine* engine = find(engine_call.command.upstream_id);
  const Instant now = clock_.now();
  // Re-checks the lease at the current time: the process may have been paused since the last check.
  if (engine == nullptr || !lease_.may_act(now)) {
    rollout_.on_load_answer(engine_call.command.upstream_id, WeightLoadAnswer::kRefused, now);
    return;
  }
  engine_call.command.fencing_number = lease_.fencing_number();
  engine_call.command.holder = settings_.name;
  last_command_at_ = now;
  LogEvent("load_commanded")
      .field("upstream", engine_call.command.upstream_id)
      .field("model", engine_call.command.model)
      .field("version", engine_call.command.weight_version)
      .field("from_version", engine->current_version)
      .field("fence", engine_call.command.fencing_number)
      .field("expected_sequence", engine_call.command.expected_sequence);
  pool_.record_loading(engine->upstream_id, now + kExpectedLoadTime);
  send(platform::load_call(engine->endpoint, engine_call.command, kCallTimeout),
       [this, id = engine->upstream_id,
        fence = engine_call.command.fencing_number](const HttpClient::Response& response) {
         const WeightLoadAnswer answer = platform::decode_load_answer(response);
         LogEvent("load_answered").field("upstream", id).field("status", response.status);
         if (answer == WeightLoadAnswer::kStaleFencingNumber) {
           lease_.report_rejected(fence);
         }
         rollout_.on_load_answer(id, answer, clock_.now());
       });
}

void RolloutDriver::schedule(Duration delay) {
  const Instant at = clock_.now() + delay;
  if (scheduled_for_ && *scheduled_for_ <= at) {
    return;
  }
  scheduled_for_ = at;
  loop_.post_after(delay, [this, at, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired() || scheduled_for_ != at) {
      return;
    }
    scheduled_for_.reset();
    advance();
  });
}

}  // namespace bluebellstep
