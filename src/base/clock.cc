// Reads the system clocks or a `ManualTime`.

#include "base/clock.h"

#include <chrono>

#include "base/overloaded.h"

namespace bluebellstep {
namespace {

template <typename SystemClock>
Instant read_system_clock() {
  const auto since_epoch = SystemClock::now().time_since_epoch();
  return {std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()};
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

}  // namespace bluebellstep
