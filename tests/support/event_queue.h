// Virtual clock for randomized model tests. Events run in the order of their times, and all random
// numbers come from one seed, so that a run is reproducible.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_EVENT_QUEUE_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

#include "base/clock.h"
#include "base/random.h"

namespace bluebellstep {

/** Queue of scheduled events, with the random number generator that determines their delays. */
class EventQueue {
 public:
  EventQueue(std::uint64_t seed, Instant start) : random_(seed), now_(start) {}

  Instant now() const { return now_; }
  Random& random() { return random_; }

  /** Returns a uniformly distributed duration in milliseconds; both ends are included. */
  Duration random_duration(std::int64_t from_ms, std::int64_t to_ms) {
    return {from_ms + static_cast<std::int64_t>(
                          random_.below(static_cast<std::uint64_t>(to_ms - from_ms + 1)))};
  }

  /** Returns a random message delay: usually short, rarely so long that later messages overtake it.
   */
  Duration network_delay() {
    const double draw = random_.uniform();
    return draw < 0.8    ? random_duration(1, 20)
           : draw < 0.95 ? random_duration(1, 1000)
                         : random_duration(1, 8000);
  }

  /** Schedules `action` to run after `delay`. Events with equal times run in the order in which
   * they were scheduled. */
  void after(Duration delay, std::function<void()> action) {
    events_.push({now_ + delay, ++sequence_, std::move(action)});
  }

  /** Runs all events up to and including `end`, also those that are scheduled meanwhile. */
  void run_until(Instant end) {
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
  }

 private:
  struct Event {
    Instant at;
    std::uint64_t sequence;
    std::function<void()> action;
    // Reversed, because std::priority_queue returns the greatest element first.
    bool operator<(const Event& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };

  Random random_;
  Instant now_;
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_EVENT_QUEUE_H_
