// Simulation of the platform's object API under a virtual clock, with outages, lost answers, writes
// that take effect late, and restores from an older copy.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_SIMULATED_PLATFORM_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_SIMULATED_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/platform_calls.h"
#include "tests/support/event_queue.h"

namespace bluebellstep {

/** Stores objects, and answers reads and conditional writes after random delays. */
class SimulatedPlatform {
 public:
  /** Default share of calls whose answer is lost while the platform is up. */
  static constexpr double kLostAnswerShare = 0.15;

  explicit SimulatedPlatform(EventQueue& queue) : queue_(queue) {}

  /** Sets the period in which no call is answered; `until` is not included. */
  void set_outage(Instant from, Instant until) {
    outage_start_ = from;
    outage_end_ = until;
  }

  /** Sets the share of calls whose answer is lost while the platform is up. */
  void set_lost_answer_share(double share) { lost_answer_share_ = share; }

  /** Sets whether answers state the era. */
  void set_states_era(bool states_era) { states_era_ = states_era; }

  /** Number of restores. */
  std::uint64_t era() const { return era_; }

  /** Restores the copy that was taken at `copied_at`: all later writes are lost, and their revision
   * numbers are given out again. Writes that are on their way take effect in the new era. */
  void restore(Instant copied_at) {
    while (!history_.empty() && history_.back().at > copied_at) {
      Write& last = history_.back();
      if (last.replaced) {
        objects_[last.key] = std::move(*last.replaced);
      } else {
        objects_.erase(last.key);
      }
      --last_version_;
      history_.pop_back();
    }
    ++era_;
  }

  /** The result of a call, with the era that the answer states. Revisions in `result` have no era;
   * an answer that was lost states none. */
  template <typename Result>
  struct Answer {
    Result result;
    std::optional<std::uint64_t> era;
  };
  using WriteAnswer = Answer<PlatformClient::WriteResult>;
  using ReadAnswer = Answer<PlatformClient::ReadResult>;

  /** Passes the answer to a conditional write to `on_answer`; `PlatformUnavailable` if the answer
   * is lost. A write without an answer may still take effect, also after `on_answer` was called. */
  void call(const PlatformWrite& write, std::function<void(const WriteAnswer&)> on_answer) {
    if (should_answer()) {
      queue_.after(queue_.random_duration(1, 20), [=, this] {
        queue_.after(
            queue_.random_duration(1, 20),
            [on_answer, answer = WriteAnswer{apply(write), stated_era()}] { on_answer(answer); });
      });
      return;
    }
    if (queue_.random().chance(0.6)) {  // May take effect long after `on_answer` was called.
      queue_.after(queue_.network_delay(), [=, this] { apply(write); });
    }
    queue_.after(queue_.random_duration(50, 500), [=] {
      on_answer({PlatformUnavailable{}, std::nullopt});
    });
  }

  /** Passes the object, or nothing if it does not exist, to `on_answer`; `PlatformUnavailable` if
   * the answer is lost. */
  void call(const PlatformRead& read, std::function<void(const ReadAnswer&)> on_answer) {
    ReadAnswer answer{PlatformUnavailable{}, std::nullopt};
    if (should_answer()) {
      const auto found = objects_.find(read.key);
      answer = {found == objects_.end() ? std::nullopt : std::optional(found->second),
                stated_era()};
    }
    queue_.after(queue_.random_duration(2, 200), [=] { on_answer(answer); });
  }

  /** The same calls for a process that ignores the era. */
  void write(const PlatformWrite& write,
             std::function<void(const PlatformClient::WriteResult&)> on_result) {
    call(write, [on_result = std::move(on_result)](const WriteAnswer& answer) {
      on_result(answer.result);
    });
  }
  void read(const PlatformRead& read,
            std::function<void(const PlatformClient::ReadResult&)> on_result) {
    call(read, [on_result = std::move(on_result)](const ReadAnswer& answer) {
      on_result(answer.result);
    });
  }

 private:
  /** A write that took effect. */
  struct Write {
    Instant at;
    std::string key;
    std::optional<PlatformObject> replaced;
  };

  // Decides at random whether a call that starts now gets an answer.
  bool should_answer() {
    const bool down = queue_.now() >= outage_start_ && queue_.now() < outage_end_;
    return !down && !queue_.random().chance(lost_answer_share_);
  }

  std::optional<std::uint64_t> stated_era() const {
    return states_era_ ? std::optional(era_) : std::nullopt;
  }

  // Compares the revision numbers only, since the store is not told the era of the caller.
  PlatformClient::WriteResult apply(const PlatformWrite& write) {
    const auto found = objects_.find(write.key);
    const bool exists = found != objects_.end();
    if ((exists ? found->second.version.number : 0) != write.expected.number) {
      return VersionConflict{exists ? found->second : PlatformObject{write.key, {}, ""}};
    }
    history_.push_back(
        {queue_.now(), write.key, exists ? std::optional(found->second) : std::nullopt});
    objects_[write.key] = {write.key, {++last_version_}, write.value};
    return StoreRevision{last_version_};
  }

  EventQueue& queue_;
  Instant outage_start_;
  Instant outage_end_;
  double lost_answer_share_ = kLostAnswerShare;
  bool states_era_ = true;
  std::uint64_t era_ = 0;
  std::uint64_t last_version_ = 0;
  std::map<std::string, PlatformObject> objects_;
  std::vector<Write> history_;  // By time; all of the present state.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_SIMULATED_PLATFORM_H_
