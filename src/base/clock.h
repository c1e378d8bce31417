// Points in time and durations in whole milliseconds, and a clock that tests can control.

#ifndef BLUEBELLSTEP_BASE_CLOCK_H_
#define BLUEBELLSTEP_BASE_CLOCK_H_

#include <compare>
#include <cstdint>
#include <variant>

namespace bluebellstep {

/** A duration in milliseconds; may be negative. */
struct Duration {
  std::int64_t ms = 0;

  constexpr auto operator<=>(const Duration&) const = default;
};

/** A point in time in milliseconds. Its epoch depends on the clock that it was read from, see
 * `Clock`. */
struct Instant {
  std::int64_t ms = 0;

  constexpr auto operator<=>(const Instant&) const = default;
};

constexpr Duration operator+(Duration a, Duration b) {
  return {a.ms + b.ms};
}
constexpr Duration operator-(Duration a, Duration b) {
  return {a.ms - b.ms};
}
constexpr Duration operator*(Duration a, std::int64_t factor) {
  return {a.ms * factor};
}
constexpr Duration operator/(Duration a, std::int64_t divisor) {
  return {a.ms / divisor};
}
constexpr Instant operator+(Instant at, Duration span) {
  return {at.ms + span.ms};
}
constexpr Instant operator-(Instant at, Duration span) {
  return {at.ms - span.ms};
}
constexpr Duration operator-(Instant later, Instant earlier) {
  return {later.ms - earlier.ms};
}

inline namespace literals {
constexpr Duration operator""_ms(unsigned long long ms) {
  return {static_cast<std::int64_t>(ms)};
}
constexpr Duration operator""_s(unsigned long long seconds) {
  return {static_cast<std::int64_t>(seconds) * 1000};
}
}  // namespace literals

/** Time that a test sets and advances. Must outlive every `Clock` constructed from it. */
struct ManualTime {
  Instant monotonic;
  Instant unix_time;

  /** Advances both times by `span`. */
  void advance(Duration span) {
    monotonic = monotonic + span;
    unix_time = unix_time + span;
  }
};

/** Source of time: the system clocks, or a `ManualTime` in tests. Cheap to copy. */
class Clock {
 public:
  /** Constructs a clock that reads the system clocks. */
  Clock() = default;

  /** Constructs a clock that reads `time`, which must outlive the clock. */
  explicit Clock(const ManualTime& time) : source_(&time) {}

  /** Returns monotonic time, for timers and deadlines. It includes the time for which the machine
   * was suspended. It is not comparable between processes; use `wall` for that. */
  Instant now() const;

  /** Returns Unix time. It jumps when the system clock is adjusted; use `now` to measure
   * durations. */
  Instant wall() const;

  /** Returns for how long the machine was suspended since it started, to about a millisecond. 0 for
   * a `ManualTime`. */
  Duration suspended() const;

 private:
  struct SystemTime {};

  std::variant<SystemTime, const ManualTime*> source_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_CLOCK_H_
