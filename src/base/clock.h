// The clock type of the project: points in time and spans in whole milliseconds, and a clock that
// tests can set.

#ifndef BLUEBELLSTEP_BASE_CLOCK_H_
#define BLUEBELLSTEP_BASE_CLOCK_H_

#include <compare>
#include <cstdint>
#include <variant>

namespace bluebellstep {

/** A span of time in milliseconds; may be negative. */
struct Duration {
  std::int64_t ms = 0;

  constexpr auto operator<=>(const Duration&) const = default;
};

/** A point in time in milliseconds. Its origin depends on the clock that it came from, see `Clock`.
 */
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

/** Time that a test sets and advances by hand. Must outlive every `Clock` made from it. */
struct ManualTime {
  Instant monotonic;
  Instant unix_time;

  /** Moves both times forward by `span`. */
  void advance(Duration span) {
    monotonic = monotonic + span;
    unix_time = unix_time + span;
  }
};

/** Source of time: the machine's clocks, or a `ManualTime` in tests. Cheap to copy. */
class Clock {
 public:
  /** The machine's clocks. */
  Clock() = default;

  /** A clock that reads `time`, which the caller keeps alive. */
  explicit Clock(const ManualTime& time) : source_(&time) {}

  /** Monotonic time for timers and deadlines. Not comparable between processes; use `wall` for
   * that. */
  Instant now() const;

  /** Unix time. It may step; use `now` for spans. */
  Instant wall() const;

 private:
  struct SystemTime {};

  std::variant<SystemTime, const ManualTime*> source_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_CLOCK_H_
