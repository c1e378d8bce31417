// The era of the platform's store: the number of times that it was restored from an older copy.
//
// What a store answered before a restore may be gone from it, and it gives the revision numbers of
// that time out again. A process that knows of a restore therefore ignores answers from before it,
// which may still be on their way.

#ifndef BLUEBELLSTEP_STORE_HISTORY_STORE_ERA_H_
#define BLUEBELLSTEP_STORE_HISTORY_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace bluebellstep {

/** The newest era that this process knows of. Network-free. */
class StoreEra {
 public:
  using Number = std::uint64_t;

  /** Records the era that an answer of the store states. Returns the era of the answer, which is
   * the newest one if the answer states none or an implausible one; nothing if the answer is from
   * before a restore that is known. */
  std::optional<Number> record_answer(std::optional<Number> stated, Instant now);

  /** Records an era that another gateway has told of. One that is implausibly late is ignored: a
   * later era cannot be taken back, since all answers of earlier ones are ignored. */
  void record_heard(Number era, Instant now);

  /** Whether this process has known an earlier era. */
  bool restored() const { return restored_; }

  /** The newest era; 0 if none was stated. */
  Number number() const { return number_; }

  /** When this process first knew of the era; nothing before the first answer or message that tells
   * one. */
  std::optional<Instant> known_since() const { return known_since_; }

  /** Adds a callback for each newer era. Callbacks must not be added within a callback. */
  void on_raised(std::function<void()> callback) { callbacks_.push_back(std::move(callback)); }

 private:
  // Restores are drills or accidents; a larger step is an error of whoever states it.
  static constexpr Number kMaxStep = 1000;

  void log_implausible(Number era) const;
  void raise_to(Number era, Instant now);
  bool is_plausible(Number era) const { return number_ == 0 || era <= number_ + kMaxStep; }

  Number number_ = 0;
  bool restored_ = false;
  std::optional<Instant> known_since_;
  std::vector<std::function<void()>> callbacks_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STORE_HISTORY_STORE_ERA_H_
