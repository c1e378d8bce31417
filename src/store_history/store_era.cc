// Raises the era, and tells those who keep revisions of earlier ones.

#include "store_history/store_era.h"

#include "base/log_event.h"

namespace bluebellstep {

void StoreEra::log_implausible(Number era) const {
  LogEvent("store_era_implausible", LogEvent::Severity::kError)
      .field("stated", era)
      .field("era", number_);
}

std::optional<StoreEra::Number> StoreEra::record_answer(std::optional<Number> stated, Instant now) {
  const Number era = stated && is_plausible(*stated) ? *stated : number_;
  if (stated && era != *stated) {
    log_implausible(*stated);
  }
  if (era < number_) {
    return std::nullopt;
  }
  raise_to(era, now);
  return era;
}

void StoreEra::record_heard(Number era, Instant now) {
  if (!is_plausible(era)) {
    log_implausible(era);
    return;
  }
  // A gateway that has not heard of the store yet says 0.
  if (era > 0) {
    raise_to(era, now);
  }
}

void StoreEra::raise_to(Number era, Instant now) {
  if (era < number_ || (era == number_ && known_since_)) {
    return;
  }
  const bool raised = era > number_;
  restored_ = restored_ || (raised && known_since_);
  known_since_ = now;
  if (!raised) {
    return;
  }
  LogEvent("store_era_raised").field("from", number_).field("to", era);
  number_ = era;
  for (const auto& callback : callbacks_) {
    callback();
  }
}

}  // namespace bluebellstep
