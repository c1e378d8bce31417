// Process under a virtual clock that stops for a time and then goes on where it stopped.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_PAUSING_PROCESS_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_PAUSING_PROCESS_H_

#include <algorithm>
#include <functional>
#include <utility>

#include "base/clock.h"
#include "tests/support/event_queue.h"

namespace bluebellstep {

/** A process with random pauses. Actions that are due during a pause run at its end. */
class PausingProcess {
 public:
  explicit PausingProcess(EventQueue& queue) : queue_(queue) {}

  void pause(Duration duration) {
    paused_until_ = std::max(paused_until_, queue_.now() + duration);
  }

  void after(Duration delay, std::function<void()> action) {
    queue_.after(delay, [this, action = std::move(action)]() mutable { run(std::move(action)); });
  }

 private:
  void run(std::function<void()> action) {
    if (queue_.now() < paused_until_) {
      after(paused_until_ - queue_.now(), std::move(action));
    } else {
      action();
    }
  }

  EventQueue& queue_;
  Instant paused_until_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_PAUSING_PROCESS_H_
