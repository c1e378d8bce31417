// Reads the system clocks or a `ManualTime`.

#include "base/clock.h"

#include <ctime>

#include "base/overloaded.h"

namespace bluebellstep {
namespace {

Instant read_clock(clockid_t id) {
  timespec time{};
  ::clock_gettime(id, &time);
  constexpr std::int64_t kMsPerSecond = 1000;
  constexpr std::int64_t kNsPerMs = 1'000'000;
  return {static_cast<std::int64_t>(time.tv_sec) * kMsPerSecond + time.tv_nsec / kNsPerMs};
}

}  // namespace

Instant Clock::now() const {
  return std::visit(Overloaded{[](SystemTime) { return read_clock(CLOCK_BOOTTIME); },
                               [](const ManualTime* time) { return time->monotonic; }},
                    source_);
}

Instant Clock::wall() const {
  return std::visit(Overloaded{[](SystemTime) { return read_clock(CLOCK_REALTIME); },
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
