// Recent load reports of the model engine stand-in, which answers load queries with an outdated
// one.

#ifndef BLUEBELLSTEP_STANDINS_LOAD_HISTORY_H_
#define BLUEBELLSTEP_STANDINS_LOAD_HISTORY_H_

#include <deque>
#include <utility>

#include "base/clock.h"
#include "standins/engine_types.h"

namespace bluebellstep::standins {

/** Load reports in order of time, at most one per 10 ms. */
class LoadHistory {
 public:
  /** Adds the report for the state at `now`, and removes those no longer needed for `lag`. */
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

  /** Returns the newest report that is at least `lag` old, or else the oldest one. Requires that
   * `record` was called. */
  const LoadReport& at(Instant now, Duration lag) const {
    std::size_t index = reports_.size() - 1;
    while (index > 0 && now < reports_[index].first + lag) {
      --index;
    }
    return reports_[index].second;
  }

 private:
  // Limits the number of reports kept. A returned report may be newer than the lag requires by up
  // to this interval.
  static constexpr Duration kMinInterval = {10};

  std::deque<std::pair<Instant, LoadReport>> reports_;  // In ascending order of time.
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_LOAD_HISTORY_H_
