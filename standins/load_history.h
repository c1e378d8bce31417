// Past load reports of the model engine stand-in, so that it can answer with an old one.

#ifndef BLUEBELLSTEP_STANDINS_LOAD_HISTORY_H_
#define BLUEBELLSTEP_STANDINS_LOAD_HISTORY_H_

#include <deque>
#include <utility>

#include "base/clock.h"
#include "standins/engine_types.h"

namespace bluebellstep::standins {

/** Load reports by time, one for each 10 ms at most. */
class LoadHistory {
 public:
  /** Adds the state at `now`. */
  void record(LoadReport report, Instant now, Duration lag) {
    if (!reports_.empty() && now < reports_.back().first + kMinInterval) {
      reports_.back().second = std::move(report);
    } else {
      reports_.emplace_back(now, std::move(report));
    }
    while (reports_.size() > 1 && reports_[1].first + lag <= now) {
      reports_.pop_front();
    }
  }

  /** Returns the report that is `lag` old, or the oldest one. At least one must be recorded. */
  const LoadReport& at(Instant now, Duration lag) const {
    std::size_t index = reports_.size() - 1;
    while (index > 0 && now < reports_[index].first + lag) {
      --index;
    }
    return reports_[index].second;
  }

 private:
  // Limits the number of reports kept; a report may show a state up to this much too new.
  static constexpr Duration kMinInterval = {10};

  std::deque<std::pair<Instant, LoadReport>> reports_;  // By ascending time.
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_LOAD_HISTORY_H_
