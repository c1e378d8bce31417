// Runs work that would block an event loop for long on a thread of its own.

#ifndef BLUEBELLSTEP_HTTP_BACKGROUND_WORKER_H_
#define BLUEBELLSTEP_HTTP_BACKGROUND_WORKER_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

#include "http/http_loop.h"

namespace bluebellstep {

/** Runs tasks one after another on a thread and passes their results to an `HttpLoop`. The tasks
 * share no data with the loop. Used and destroyed on the HTTP thread. */
class BackgroundWorker {
 public:
  explicit BackgroundWorker(HttpLoop& loop);
  BackgroundWorker(const BackgroundWorker&) = delete;
  BackgroundWorker& operator=(const BackgroundWorker&) = delete;

  /** Waits for the task that runs. The others are dropped, and no result is delivered any more. */
  ~BackgroundWorker();

  /** Runs `work` on the worker's thread, and then `deliver` with its result on the HTTP thread.
   * `work` must not throw. */
  template <typename Work, typename Deliver>
  void run(Work work, Deliver deliver) {
    enqueue([this, work = std::move(work), deliver = std::move(deliver)] {
      auto result = std::make_shared<decltype(work())>(work());
      deliver_on_loop([deliver, result = std::move(result)] { deliver(std::move(*result)); });
    });
  }

 private:
  void enqueue(std::function<void()> task);
  void deliver_on_loop(std::function<void()> delivery);
  void run_tasks();

  HttpLoop& loop_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;  // Guarded by `mutex_`, like the next member.
  bool stopping_ = false;
  // Expires with this object; deliveries check it on the HTTP thread.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::thread thread_;  // The last member, since the thread uses the others.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_BACKGROUND_WORKER_H_
