// Mailbox implemented with an eventfd.

#include "base/mailbox.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>
#include <utility>

namespace bluebellstep {

Mailbox::Mailbox() : descriptor_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (descriptor_ < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
}

Mailbox::~Mailbox() {
  ::close(descriptor_);
}

void Mailbox::post(Task task) {
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    wake = tasks_.empty();
    tasks_.push_back(std::move(task));
  }
  if (wake) {
    const std::uint64_t one = 1;
    // Cannot block: the counter is at most 1.
    [[maybe_unused]] const auto written = ::write(descriptor_, &one, sizeof(one));
  }
}

void Mailbox::run_all() {
  std::vector<Task> ready;
  {
    const std::lock_guard lock(mutex_);
    std::uint64_t count = 0;
    [[maybe_unused]] const auto bytes_read = ::read(descriptor_, &count, sizeof(count));
    ready.swap(tasks_);
  }
  for (Task& task : ready) {
    task();
  }
}

}  // namespace bluebellstep
