// Queue of tasks for an event-loop thread, to which any thread can post.

#ifndef BLUEBELLSTEP_BASE_MAILBOX_H_
#define BLUEBELLSTEP_BASE_MAILBOX_H_

#include <functional>
#include <mutex>
#include <vector>

namespace bluebellstep {

/**
 * Queue of tasks that an event loop runs on its own thread. The loop polls `descriptor`, which is
 * readable while tasks are pending, and then calls `run_all`.
 */
class Mailbox {
 public:
  using Task = std::function<void()>;

  /** Throws `std::system_error` if the eventfd cannot be created. */
  Mailbox();
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;
  ~Mailbox();

  /** Adds a task. May be called from any thread. */
  void post(Task task);

  /** Runs all pending tasks in the order in which they were posted. Tasks posted meanwhile run at
   * the next call. */
  void run_all();

  /** Returns a file descriptor that is readable while tasks are pending. */
  int descriptor() const { return descriptor_; }

 private:
  int descriptor_;
  std::mutex mutex_;
  // Guarded by `mutex_`. The descriptor is readable if and only if this is not empty.
  std::vector<Task> tasks_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_MAILBOX_H_
