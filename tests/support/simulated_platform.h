// The platform's object API under virtual time, with outages, lost answers and late writes.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_SIMULATED_PLATFORM_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_SIMULATED_PLATFORM_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "platform/platform_calls.h"
#include "tests/support/event_queue.h"

namespace bluebellstep {

/** Answers reads and conditional writes after random delays. */
class SimulatedPlatform {
 public:
  /** Share of calls that get no answer while the platform is up. */
  static constexpr double kLostAnswers = 0.15;

  explicit SimulatedPlatform(EventQueue& queue) : queue_(queue) {}

  /** Gives no answers between the two times. */
  void set_outage(Instant from, Instant until) {
    down_from_ = from;
    down_until_ = until;
  }

  void write(const PlatformWrite& write,
             std::function<void(const PlatformClient::WriteResult&)> on_result) {
    if (is_answered()) {
      queue_.after(queue_.span(1, 20), [=, this] {
        queue_.after(queue_.span(1, 20), [on_result, result = apply(write)] { on_result(result); });
      });
      return;
    }
    if (queue_.random().chance(0.6)) {  // Takes effect, perhaps long after the caller gave up.
      queue_.after(queue_.network_delay(), [=, this] { apply(write); });
    }
    queue_.after(queue_.span(50, 500), [=] { on_result(PlatformUnavailable{}); });
  }

  void read(const PlatformRead& read,
            std::function<void(const PlatformClient::ReadResult&)> on_result) {
    PlatformClient::ReadResult result = PlatformUnavailable{};
    if (is_answered()) {
      const auto found = objects_.find(read.key);
      result = found == objects_.end() ? std::nullopt : std::optional(found->second);
    }
    queue_.after(queue_.span(2, 200), [=] { on_result(result); });
  }

 private:
  bool is_answered() {
    const bool down = queue_.now() >= down_from_ && queue_.now() < down_until_;
    return !down && !queue_.random().chance(kLostAnswers);
  }

  PlatformClient::WriteResult apply(const PlatformWrite& write) {
    const auto found = objects_.find(write.key);
    const ObjectVersion current = found == objects_.end() ? ObjectVersion{} : found->second.version;
    if (current != write.expected) {
      return VersionConflict{found == objects_.end() ? PlatformObject{write.key, {}, ""}
                                                     : found->second};
    }
    objects_[write.key] = {write.key, {++versions_}, write.value};
    return ObjectVersion{versions_};
  }

  EventQueue& queue_;
  Instant down_from_;
  Instant down_until_;
  std::uint64_t versions_ = 0;
  std::map<std::string, PlatformObject> objects_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_SIMULATED_PLATFORM_H_
