// Raises the era, and tells those who keep revisions of earlier ones.

#include "store_history/store_era.h"

#include "base/log_event.h"

namespace bluebellstep {

std::optional<StoreEra::Number> StoreEra::record_answer(std::optional<Number> stated, Instant now) {
  const Number era = stated.value_or(number_);
  if (era < number_) {
    return std::nullopt;
  }
  record_heard(era, now);
  return era;
}

void StoreEra::record_heard(Number era, Instant now) {
  if (era < number_ || (era == number_ && known_since_)) {
    return;
  }
  const bool raised = era > number_;
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
