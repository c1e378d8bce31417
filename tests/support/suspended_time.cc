// Replaces the C library's `clock_gettime` in the test program.

#include "tests/support/suspended_time.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <ctime>

namespace {

std::atomic<std::int64_t> suspended_ms{0};

}  // namespace

extern "C" int clock_gettime(clockid_t id, timespec* time) noexcept {
  const auto result = static_cast<int>(::syscall(SYS_clock_gettime, id, time));
  if (result == 0 && id == CLOCK_BOOTTIME) {
    constexpr std::int64_t kMsPerSecond = 1000;
    constexpr std::int64_t kNsPerMs = 1'000'000;
    const std::int64_t ms = suspended_ms + time->tv_nsec / kNsPerMs;
    time->tv_sec += ms / kMsPerSecond;
    time->tv_nsec = (ms % kMsPerSecond) * kNsPerMs + time->tv_nsec % kNsPerMs;
  }
  return result;
}

namespace bluebellstep {

void simulate_suspension(Duration duration) {
  suspended_ms += duration.ms;
}

}  // namespace bluebellstep
