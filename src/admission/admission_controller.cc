// Admission decisions and bookkeeping of slots.

#include "admission/admission_controller.h"

#include <algorithm>
#include <cassert>

namespace bluebellstep {
namespace {

// Half a heartbeat interval, after which an entry instance has received new hints from about half
// of the upstreams.
constexpr Duration kRetryOtherUpstream = 250_ms;

// The limit of a cold upstream doubles every 2 s, so an earlier retry at the same upstream is
// rarely admitted.
constexpr Duration kRetryColdUpstream = 2_s;

}  // namespace

AdmissionController::AdmissionController(const AdmissionLimits& limits, Instant now)
    : limits_(limits), slow_start_(limits.slow_start, now) {
  assert(limits.max_running > 0);
}

std::uint32_t AdmissionController::limit(Instant now) const {
  return slow_start_.limit(limits_.max_running, now);
}

void AdmissionController::set_weight_version(ModelId model, std::string_view version) {
  weight_versions_[model] = version;
}

std::optional<Verdict> AdmissionController::find_refusal(const AdmissionRequest& request) const {
  if (leaving_) {
    return Verdict::not_run(Reason::kUpstreamLeaving, "the upstream is shutting down",
                            kRetryOtherUpstream);
  }
  if (zone_out_of_service_) {
    return Verdict::not_run(Reason::kZoneOut, "the upstream's availability zone is out of service",
                            kRetryOtherUpstream);
  }
  if (request.model) {
    const auto version = weight_versions_.find(*request.model);
    if (version == weight_versions_.end()) {
      return Verdict::not_run(Reason::kUnknownModel, "the upstream does not serve this model",
                              kRetryOtherUpstream);
    }
    if (request.weight_version != version->second) {
      return Verdict::not_run(Reason::kWeightVersionChanged,
                              "the upstream serves another weight version", kRetryOtherUpstream);
    }
  }
  if (limits_.kv_tokens > 0 && request.kv_tokens > limits_.kv_tokens) {
    return Verdict::not_run(Reason::kBadRequest,
                            "the request needs more KV memory than the upstream has");
  }
  return std::nullopt;
}

bool AdmissionController::has_capacity(const AdmissionRequest& request, Instant now) const {
  return running_ < limit(now) &&
         (limits_.max_prefilling == 0 || request.within_share ||
          prefilling_ < limits_.max_prefilling) &&
         (limits_.kv_tokens == 0 || request.kv_tokens <= limits_.kv_tokens - kv_tokens_used_);
}

bool AdmissionController::may_wait(const AdmissionRequest& request, Instant now) const {
  const std::uint64_t max_queued = std::uint64_t{limits_.waiting_per_slot} * limit(now);
  if (request.waiting < max_queued) {
    return true;
  }
  // The queue grows to at most twice the maximum: a full queue plus the share of every other
  // account. An account without queued requests is not in `waiting_accounts` and is added here.
  const std::size_t accounts = request.waiting_accounts + (request.account_waiting == 0 ? 1 : 0);
  return accounts > 1 && request.account_waiting < max_queued / accounts;
}

void AdmissionController::report_alive(Instant now) {
  if (!last_alive_at_) {
    held_until_ = now + kHoldAfterStart;
  } else if (now - *last_alive_at_ > kPauseThreshold) {
    held_until_ = now + kHoldAfterPause;
  }
  last_alive_at_ = now;
}

Admission AdmissionController::try_admit(const AdmissionRequest& request, Instant now) {
  if (last_alive_at_) {
    report_alive(now);
  }
  if (auto verdict = find_refusal(request)) {
    return Refused{std::move(*verdict)};
  }
  if (held_until_ && now < *held_until_) {
    if (request.from_queue) {
      return Queued{};
    }
    // The retry delay covers the rest of the hold, so that the entry instance does not use up its
    // retries on this sidecar.
    return Refused{Verdict::not_run(
        Reason::kOverloaded,
        "the sidecar has just started or was paused, and waits for the state of its zone",
        *held_until_ - now)};
  }
  const bool may_skip_queue = request.from_queue || request.within_share || request.waiting == 0;
  if (may_skip_queue && has_capacity(request, now)) {
    return Admitted{take_slot(request, now)};
  }
  if (request.from_queue || may_wait(request, now)) {
    return Queued{};
  }
  if (is_cold(now)) {
    return Refused{
        Verdict::not_run(Reason::kColdUpstream, "the upstream is warming up", kRetryColdUpstream)};
  }
  return Refused{
      Verdict::not_run(Reason::kOverloaded, "the upstream's queue is full", kRetryOtherUpstream)};
}

SlotId AdmissionController::take_slot(const AdmissionRequest& request, Instant now) {
  if (free_slots_.empty()) {
    free_slots_.push_back(static_cast<std::uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  const std::uint32_t index = free_slots_.back();
  free_slots_.pop_back();
  Slot& slot = slots_[index];
  slot = {.use_count = slot.use_count + 1,
          .in_use = true,
          .has_first_token = false,
          .admitted_warm = !is_cold(now),
          .start_count = start_count_,
          .kv_tokens = request.kv_tokens};
  ++running_;
  ++prefilling_;
  kv_tokens_used_ += request.kv_tokens;
  return {std::uint64_t{slot.use_count} << 32 | index};
}

AdmissionController::Slot* AdmissionController::find_slot(SlotId slot) {
  const auto index = static_cast<std::uint32_t>(slot.value);
  if (index >= slots_.size() || !slots_[index].in_use ||
      slots_[index].use_count != slot.value >> 32) {
    return nullptr;
  }
  return &slots_[index];
}

std::optional<ColdSignal> AdmissionController::first_token(SlotId id,
                                                           Instant now,
                                                           const FirstTokenReport& report) {
  Slot* const slot = find_slot(id);
  if (slot == nullptr) {
    return std::nullopt;
  }
  if (!slot->has_first_token) {
    slot->has_first_token = true;
    --prefilling_;
  }
  // The blocks known at dispatch are meaningless if the upstream has restarted since. Requests that
  // were admitted to a cold upstream are expected to be slow; counting them would restart slow
  // start over and over.
  const bool same_incarnation = slot->start_count == start_count_;
  const auto signal =
      cold_detector_.first_token(report, same_incarnation, same_incarnation && slot->admitted_warm);
  if (signal) {
    upstream_restarted(now);
  }
  return signal;
}

std::optional<ColdSignal> AdmissionController::finish(SlotId id, Instant now, Outcome outcome) {
  Slot* const slot = find_slot(id);
  if (slot == nullptr) {
    return std::nullopt;
  }
  // Requests admitted before a restart do not contribute to the warm-up after it.
  if (outcome == Outcome::kCompleted && slot->start_count == start_count_) {
    slow_start_.request_completed();
  }
  --running_;
  prefilling_ -= slot->has_first_token ? 0 : 1;
  kv_tokens_used_ -= slot->kv_tokens;
  slot->in_use = false;
  free_slots_.push_back(static_cast<std::uint32_t>(id.value));
  if (outcome != Outcome::kConnectionFailed) {
    return std::nullopt;
  }
  upstream_restarted(now);
  return ColdSignal::kConnectionFailed;
}

void AdmissionController::upstream_restarted(Instant now) {
  ++start_count_;
  slow_start_.restart(now);
  cold_detector_.reset();
}

}  // namespace bluebellstep
