// Lease, reports and load commands.

#include "gateway/rollout_driver.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "base/overloaded.h"
#include "platform/engine_calls.h"
#include "platform/object_format.h"

namespace bluebellstep {
namespace {

constexpr std::string_view kLeaseName = "weights";
// Where engines refuse lower fencing numbers, a holder that was stopped right after its last
// command is succeeded only this long after its term.
constexpr Duration kFencedGrace{1000};

LeaseSettings lease_settings(const GatewaySettings& settings) {
  LeaseSettings lease;
  lease.object_key = std::string(kLeaseName);
  // Without the incarnation: a gateway that starts again takes its own lease over at once. Its
  // earlier process has ended, and the new fencing number is higher.
  lease.holder = settings.name;
  lease.term = settings.bounds.lease_term;
  // Engines that do not check fencing numbers must not hear two holders within a term.
  lease.grace = settings.bounds.engines_check_fences ? kFencedGrace : settings.bounds.lease_term;
  lease.send_margin = Duration{700};
  lease.poll_interval = Duration{400};
  return lease;
}

}  // namespace

RolloutDriver::RolloutDriver(HttpLoop& loop,
                             HttpClient& client,
                             const GatewaySettings& settings,
                             UpstreamPool& pool)
    : loop_(loop),
      client_(client),
      settings_(settings),
      pool_(pool),
      lease_(lease_settings(settings)) {}

RolloutDriver::~RolloutDriver() = default;

template <typename Handler>
void RolloutDriver::send(HttpCall call, Handler handler) {
  client_.send(std::move(call), [this, alive = std::weak_ptr<bool>(alive_),
                                 handler = std::move(handler)](HttpClient::Response response) {
    if (!alive.expired()) {
      handler(response);
      step();
    }
  });
}

const UpstreamPool::Outdated* RolloutDriver::find(std::string_view id) const {
  const auto found = std::find_if(outdated_.begin(), outdated_.end(),
                                  [id](const auto& item) { return item.id == id; });
  return found == outdated_.end() ? nullptr : &*found;
}

void RolloutDriver::update() {
  std::size_t engines = 0;
  outdated_ = pool_.outdated(engines);
  std::vector<RolloutTarget> targets;
  for (const UpstreamPool::Outdated& item : outdated_) {
    targets.push_back({.upstream_id = item.id,
                       .model = item.model,
                       .current_version = item.current_version,
                       .wanted_version = item.wanted_version,
                       .load = item.load});
  }
  rollout_.set_targets(std::move(targets), engines, clock_.now());
  step();
}

void RolloutDriver::step() {
  const Instant now = clock_.now();
  // The lease is kept for a term after the last command, so that holders do not take turns faster.
  const bool keep = last_command_ && now < *last_command_ + settings_.bounds.lease_term;
  if (rollout_.needed() || keep) {
    lease_.acquire();
  } else {
    lease_.release();
  }
  while (step_lease(clock_.now())) {
  }
  if (lease_.may_act(now)) {
    step_rollout(now);
  }
  if (rollout_.needed() || keep) {
    schedule(kLongestPause);
  }
}

// Returns whether the lease's state may have changed, so that it should be asked again.
bool RolloutDriver::step_lease(Instant now) {
  return std::visit(
      Overloaded{
          [&](const PlatformRead& read) {
            send(platform::read_call(settings_.store, platform::ObjectKind::kLeases, read.key,
                                     kCallTimeout),
                 [this](const HttpClient::Response& response) {
                   lease_.on_read(platform::decode_read(response), clock_.now());
                 });
            return true;
          },
          [&](const PlatformWrite& write) {
            send(platform::write_call(settings_.store, platform::ObjectKind::kLeases, write.key,
                                      write.expected.value, write.value, kCallTimeout),
                 [this](const HttpClient::Response& response) {
                   lease_.on_write(platform::decode_write(response), clock_.now());
                 });
            return true;
          },
          [](const LeaseCallPending&) { return false; }, [](const LeaseHeld&) { return false; },
          [&](const LeaseWait& wait) {
            schedule(std::max(Duration{1}, wait.at - now));
            return false;
          },
          [](const LeaseIdle&) { return false; }},
      lease_.next(now));
}

void RolloutDriver::step_rollout(Instant now) {
  while (auto step = rollout_.next(now)) {
    if (step->kind == RolloutStep::Kind::kReport) {
      ask(*step);
    } else {
      command(std::move(*step));
    }
  }
  if (const auto at = rollout_.next_at()) {
    schedule(std::max(Duration{1}, *at - now));
  }
}

void RolloutDriver::ask(const RolloutStep& step) {
  const UpstreamPool::Outdated* engine = find(step.command.upstream_id);
  if (engine == nullptr) {
    rollout_.on_report(step.command.upstream_id, std::nullopt, clock_.now());
    return;
  }
  send(platform::report_call(engine->endpoint, kCallTimeout),
       [this, id = engine->id, model = engine->model](const HttpClient::Response& response) {
         const auto report = platform::decode_report(response, model);
         if (report && report->weight_version) {
           pool_.reported_version(id, model, *report->weight_version);
         }
         rollout_.on_report(id, report, clock_.now());
       });
}

void RolloutDriver::command(RolloutStep step) {
  const UpstreamPool::Outdated* engine = find(step.command.upstream_id);
  const Instant now = clock_.now();
  // The time is read again: the process may have been stopped since the last check.
  if (engine == nullptr || !lease_.may_act(now)) {
    rollout_.on_load(step.command.upstream_id, LoadAnswer::kRefused, now);
    return;
  }
  step.command.fencing_number = lease_.fencing_number();
  step.command.holder = settings_.name;
  last_command_ = now;
  LogEvent("load_commanded")
      .field("upstream", step.command.upstream_id)
      .field("model", step.command.model)
      .field("version", step.command.weight_version)
      .field("from_version", engine->current_version)
      .field("fence", step.command.fencing_number)
      .field("expected_sequence", step.command.expected_sequence);
  send(platform::load_call(engine->endpoint, step.command, kCallTimeout),
       [this, id = engine->id](const HttpClient::Response& response) {
         const LoadAnswer answer = platform::decode_load_answer(response);
         LogEvent("load_answered").field("upstream", id).field("status", response.status);
         if (answer == LoadAnswer::kStaleFence) {
           lease_.report_stale(lease_.fencing_number() + 1);
         }
         rollout_.on_load(id, answer, clock_.now());
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
    step();
  });
}

}  // namespace bluebellstep
