// Reads the system clocks or a `ManualTime`.

#include "base/clock.h"

#include <chrono>
#include <ctime>

#include "base/overloaded.h"

namespace bluebellstep {
namespace {

template <typename SystemClock>
Instant read_system_clock() {
  const auto since_epoch = SystemClock::now().time_since_epoch();
  return {std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()};
}

Instant read_clock(clockid_t id) {
  timespec time{};
  ::clock_gettime(id, &time);
  constexpr std::int64_t kMsPerSecond = 1000;
  constexpr std::int64_t kNsPerMs = 1'000'000;
  return {static_cast<std::int64_t>(time.tv_sec) * kMsPerSecond + time.tv_nsec / kNsPerMs};
}

}  // namespace

Instant Clock::now() const {
  return std::visit(
      Overloaded{[](SystemTime) { return read_system_clock<std::chrono::steady_clock>(); },
                 [](const ManualTime* time) { return time->monotonic; }},
      source_);
}

Instant Clock::wall() const {
  return std::visit(
      Overloaded{[](SystemTime) { return read_system_clock<std::chrono::system_clock>(); },
                 [](const ManualTime* time) { return time->unix_time; }},
      source_);
}

Duration Clock::suspended() const {
  return std::visit(Overloaded{[](SystemTime) {
                                 return read_clock(CLOCK_BOOTTIME) - read_clock(CLOCK_MONOTONIC);
                               },
                               [](const ManualTime*) { return Duration{0}; }},
                    source_);
}

}  // namespace bluebellstep
