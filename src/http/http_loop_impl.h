// Implementation of `HttpLoop`, for the server and the client.

#ifndef BLUEBELLSTEP_HTTP_HTTP_LOOP_IMPL_H_
#define BLUEBELLSTEP_HTTP_HTTP_LOOP_IMPL_H_

#include <h2o.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "http/http_loop.h"

namespace bluebellstep {

/** The h2o event loop, its thread, and the tasks posted to it. */
class HttpLoop::Impl {
 public:
  Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  /** Stops the thread and joins it. */
  ~Impl();

  /** Runs `task` on the HTTP thread. May be called from any thread. */
  void post(std::function<void()> task);

  /** Runs `task` on the HTTP thread after `delay`. May be called from any thread. */
  void post_after(Duration delay, std::function<void()> task);

  /** Runs `task` on the HTTP thread and returns when it has run. Must not be called on the
   * HTTP thread. */
  void run_and_wait(std::function<void()> task);

  bool on_loop_thread() const { return std::this_thread::get_id() == thread_.get_id(); }

  /** Runs `task` immediately if called on the HTTP thread, otherwise posts it. */
  template <typename Task>
  void run_or_post(Task&& task) {
    if (on_loop_thread()) {
      task();
    } else {
      post(std::forward<Task>(task));
    }
  }

  /** Runs `task` after the current callback, before the loop waits for events again. Only on the
   * HTTP thread. */
  void defer(std::function<void()> task) { deferred_.push_back(std::move(task)); }

  /**
   * Adds `change` to the number of objects that may still have sockets on the loop after their
   * owners were destroyed. The destructor keeps the loop running until there are none, but not
   * longer than `kCloseTimeout`.
   */
  void adjust_closing_count(int change) { closing_count_ += change; }

  /** See `HttpLoop::delay`. */
  Duration delay() const { return previous_overrun_ + overrun(clock_.now()); }

  /** See `HttpLoop::poll_count`. */
  std::uint64_t poll_count() const { return poll_count_; }

  /** See `HttpLoop::take_longest_delay`. */
  Duration take_longest_delay() { return std::exchange(longest_delay_, Duration{0}); }

  /** Monotonic time. */
  Instant now() const { return clock_.now(); }

  /** The h2o loop. Only on the HTTP thread. */
  h2o_loop_t* loop() { return loop_; }

 private:
  // The destructor of a server shuts its connections down, so only a bug makes closing last this
  // long.
  static constexpr Duration kCloseTimeout{2000};
  // If an iteration is late by more than this, sockets are read before timers run.
  static constexpr Duration kMaxOverrunBeforeTimers{20};

  void open();
  void run();
  // Waits for events for up to `wait_ms` and runs their callbacks.
  void poll(std::int32_t wait_ms);
  void close();
  bool ready_to_stop();
  // Each of these returns whether a task has run.
  bool run_posted();
  bool run_due_timers();
  bool run_deferred();
  bool has_due_timer() const;
  std::int32_t time_to_next_timer();
  // Returns how far the current iteration has exceeded the wait that it was allowed.
  Duration overrun(Instant now) const;
  static void on_wake_up(h2o_multithread_receiver_t* receiver, h2o_linklist_t* messages);

  Clock clock_;
  h2o_loop_t* loop_ = nullptr;
  h2o_multithread_queue_t* queue_ = nullptr;
  h2o_multithread_receiver_t receiver_{};

  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;  // Guarded by `mutex_`.
  std::atomic<bool> stopping_{false};

  // The following members are used only on the HTTP thread.
  std::vector<std::function<void()>> running_;
  std::vector<std::function<void()>> deferred_;
  std::multimap<Instant, std::function<void()>> timers_;
  int closing_count_ = 0;
  Instant poll_started_at_;  // Of the current iteration.
  Duration poll_wait_{0};    // The wait that the current iteration was allowed.
  std::uint64_t poll_count_ = 0;
  Duration previous_overrun_{0};
  Duration longest_delay_{0};
  Instant stop_deadline_;
  std::thread thread_;  // The last member, since the thread uses the others.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_HTTP_LOOP_IMPL_H_
