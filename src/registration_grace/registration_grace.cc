// Records the outages of the store and the upstreams kept around them.

#include "registration_grace/registration_grace.h"

#include <algorithm>

#include "base/log_event.h"

namespace bluebellstep {

// The store was back after the last unanswered call had been sent, and at the latest when it
// answered. The middle is wrong by half of the time between two calls at most, either way.
Instant RegistrationGrace::estimated_return(Instant answered_at) const {
  if (!failed_call_at_ || *failed_call_at_ >= answered_at ||
      (answered_at_ && *failed_call_at_ < *answered_at_)) {
    return answered_at;
  }
  return *failed_call_at_ + Duration{(answered_at - *failed_call_at_).ms / 2};
}

void RegistrationGrace::record_store_answer(Instant answered_at, Instant now) {
  if (answered_at_ && answered_at >= *answered_at_ + min_outage()) {
    outage_returned_at_ = estimated_return(answered_at);
    LogEvent("store_outage_ended", LogEvent::Severity::kWarning)
        .field("silent_ms", (answered_at - *answered_at_).ms)
        .field("returned_ms_ago", (now - *outage_returned_at_).ms);
  }
  if (heard_at_ && now >= *heard_at_ + limits_.max_answer_gap) {
    for (auto& [id, until] : kept_) {
      until = estimated_return(answered_at) + limits_.reregistration_time;
    }
  }
  if (!answered_at_ || answered_at > *answered_at_) {
    answered_at_ = answered_at;
    const Instant heard_at = std::min(now, answered_at + limits_.max_answer_gap);
    heard_at_ = std::max(heard_at, heard_at_.value_or(heard_at));
  }
}

void RegistrationGrace::record_failed_call(Instant sent_at) {
  failed_call_at_ = std::max(sent_at, failed_call_at_.value_or(sent_at));
}

bool RegistrationGrace::keep(std::string_view id, Instant now) {
  if (is_kept(id)) {
    return true;
  }
  const bool in_outage = heard_at_ && now >= *heard_at_ + min_outage();
  const bool after_outage =
      outage_returned_at_ && now < *outage_returned_at_ + limits_.reregistration_time;
  if (!in_outage && !after_outage) {
    return false;
  }
  const Instant until = (in_outage ? now : *outage_returned_at_) + limits_.reregistration_time;
  kept_.emplace(id, until);
  LogEvent("removed_upstream_kept", LogEvent::Severity::kWarning)
      .field("upstream", id)
      .field("in_outage", in_outage)
      .field("store_heard_ms_ago", (now - *heard_at_).ms)
      .field("kept_ms", (until - now).ms);
  return true;
}

void RegistrationGrace::forget(std::string_view id) {
  if (const auto found = kept_.find(id); found != kept_.end()) {
    kept_.erase(found);
  }
}

bool RegistrationGrace::has_ended(std::string_view id, Instant now) const {
  const auto until = kept_until(id);
  return until && now >= *until && now < *heard_at_ + limits_.max_answer_gap;
}

std::optional<Instant> RegistrationGrace::kept_until(std::string_view id) const {
  const auto found = kept_.find(id);
  return found == kept_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace bluebellstep
