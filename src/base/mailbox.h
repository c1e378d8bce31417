// Queue of tasks for one event-loop thread, filled by any thread.

#ifndef BLUEBELLSTEP_BASE_MAILBOX_H_
#define BLUEBELLSTEP_BASE_MAILBOX_H_

#include <functional>
#include <mutex>
#include <vector>

namespace bluebellstep {

/**
 * Hands tasks to an event loop. The loop polls `descriptor`, which is readable while tasks wait,
 * and then calls `run_all`.
 */
class Mailbox {
 public:
  using Task = std::function<void()>;

  /** Throws `std::system_error` if no event descriptor can be had. */
  Mailbox();
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;
  ~Mailbox();

  /** Adds a task. May be called from any thread. */
  void post(Task task);

  /** Runs all tasks that wait, in the order of posting. Tasks posted meanwhile wait for the next
   * call. */
  void run_all();

  /** Descriptor that is readable while tasks wait. */
  int descriptor() const { return descriptor_; }

 private:
  int descriptor_;
  std::mutex mutex_;
  std::vector<Task> tasks_;  // Guarded by mutex_. The descriptor is readable exactly if not empty.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_MAILBOX_H_
