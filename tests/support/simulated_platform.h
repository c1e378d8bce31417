// Simulation of the platform's object API under a virtual clock, with outages, lost answers and
// writes that take effect late.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_SIMULATED_PLATFORM_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_SIMULATED_PLATFORM_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "platform/platform_calls.h"
#include "tests/support/event_queue.h"

namespace bluebellstep {

/** Stores objects, and answers reads and conditional writes after random delays. */
class SimulatedPlatform {
 public:
  /** Share of calls whose answer is lost while the platform is up. */
  static constexpr double kLostAnswerShare = 0.15;

  explicit SimulatedPlatform(EventQueue& queue) : queue_(queue) {}

  /** Sets the period in which no call is answered; `until` is not included. */
  void set_outage(Instant from, Instant until) {
    outage_start_ = from;
    outage_end_ = until;
  }

  /** Passes the result of a conditional write to `on_result`; `PlatformUnavailable` if the answer
   * is lost. A write without an answer may still take effect, also after `on_result` was called. */
  void write(const PlatformWrite& write,
             std::function<void(const PlatformClient::WriteResult&)> on_result) {
    if (should_answer()) {
      queue_.after(queue_.random_duration(1, 20), [=, this] {
        queue_.after(queue_.random_duration(1, 20),
                     [on_result, result = apply(write)] { on_result(result); });
      });
      return;
    }
    if (queue_.random().chance(0.6)) {  // May take effect long after `on_result` was called.
      queue_.after(queue_.network_delay(), [=, this] { apply(write); });
    }
    queue_.after(queue_.random_duration(50, 500), [=] { on_result(PlatformUnavailable{}); });
  }

  /** Passes the object, or nothing if it does not exist, to `on_result`; `PlatformUnavailable` if
   * the answer is lost. */
  void read(const PlatformRead& read,
            std::function<void(const PlatformClient::ReadResult&)> on_result) {
    PlatformClient::ReadResult result = PlatformUnavailable{};
    if (should_answer()) {
      const auto found = objects_.find(read.key);
      result = found == objects_.end() ? std::nullopt : std::optional(found->second);
    }
    queue_.after(queue_.random_duration(2, 200), [=] { on_result(result); });
  }

 private:
  // Decides at random whether a call that starts now gets an answer.
  bool should_answer() {
    const bool down = queue_.now() >= outage_start_ && queue_.now() < outage_end_;
    return !down && !queue_.random().chance(kLostAnswerShare);
  }

  PlatformClient::WriteResult apply(const PlatformWrite& write) {
    const auto found = objects_.find(write.key);
    const StoreRevision current = found == objects_.end() ? StoreRevision{} : found->second.version;
    if (current != write.expected) {
      return VersionConflict{found == objects_.end() ? PlatformObject{write.key, {}, ""}
                                                     : found->second};
    }
    objects_[write.key] = {write.key, {++last_version_}, write.value};
    return StoreRevision{last_version_};
  }

  EventQueue& queue_;
  Instant outage_start_;
  Instant outage_end_;
  std::uint64_t last_version_ = 0;
  std::map<std::string, PlatformObject> objects_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_SIMULATED_PLATFORM_H_
