// The HTTP thread: runs the h2o loop, posted tasks and timers.

#include "http/http_loop.h"

#include <algorithm>
#include <cassert>
#include <csignal>
#include <future>
#include <limits>
#include <memory>

#include "http/http_loop_impl.h"

namespace bluebellstep {

HttpLoop::Impl::Impl() {
  // Writes to a connection that the peer has closed must fail with EPIPE instead of terminating the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  // Keeps large buffers in memory, since instances have no disk for mapped files.
  h2o_socket_buffer_mmap_settings.threshold = std::numeric_limits<std::size_t>::max();
  std::promise<void> id_known;
  // Shared with the new thread, which may still run `set_value` when this thread continues.
  const auto opened = std::make_shared<std::promise<void>>();
  thread_ = std::thread([this, known = id_known.get_future(), opened]() mutable {
    known.wait();  // `on_loop_thread` reads `thread_`, which must be assigned first.
    open();
    opened->set_value();
    run();
    close();
  });
  id_known.set_value();
  opened->get_future().wait();
}

HttpLoop::Impl::~Impl() {
  assert(!on_loop_thread());
  stopping_ = true;
  post([] {});
  thread_.join();
}

// The loop and its queue are created and released on the HTTP thread. As long as a socket exists,
// h2o takes its buffers without a lock from the recycler of the thread that created it.
void HttpLoop::Impl::open() {
  loop_ = h2o_evloop_create();
  poll_started_at_ = clock_.now();
  queue_ = h2o_multithread_create_queue(loop_);
  h2o_multithread_register_receiver(queue_, &receiver_, on_wake_up);
}

void HttpLoop::Impl::close() {
  h2o_multithread_unregister_receiver(queue_, &receiver_);
  h2o_multithread_destroy_queue(queue_);
  // Releases the sockets that were closed during the last iteration, including that of the queue.
  h2o_evloop_run(loop_, 0);
  h2o_evloop_destroy(loop_);
}

void HttpLoop::Impl::post(std::function<void()> task) {
  bool wake_up = false;
  {
    const std::lock_guard lock(mutex_);
    wake_up = posted_.empty();
    posted_.push_back(std::move(task));
  }
  if (wake_up && !on_loop_thread()) {
    h2o_multithread_send_message(&receiver_, nullptr);
  }
}

void HttpLoop::Impl::run_and_wait(std::function<void()> task) {
  assert(!on_loop_thread());
  // Shared with the task, which may still run `set_value` when the waiting thread continues.
  const auto done = std::make_shared<std::promise<void>>();
  post([done, task = std::move(task)] {
    task();
    done->set_value();
  });
  done->get_future().wait();
}

void HttpLoop::Impl::post_after(Duration delay, std::function<void()> task) {
  run_or_post(
      [this, due = clock_.now() + delay, task = std::move(task)] { timers_.emplace(due, task); });
}

void HttpLoop::Impl::on_wake_up(h2o_multithread_receiver_t*, h2o_linklist_t*) {
  // `run` executes the posted tasks.
}

void HttpLoop::Impl::run() {
  while (true) {
    const bool ran_posted = run_posted();
    // A timeout must not expire while what it waits for has arrived and was not read in time.
    if (overrun(clock_.now()) > kMaxOverrunBeforeTimers && has_due_timer()) {
      poll(0);
    }
    const bool ran_timers = run_due_timers();
    const bool ran_deferred = run_deferred();
    if (stopping_ && ready_to_stop()) {
      return;
    }
    // h2o waits for events before it runs the callbacks of writes that completed immediately in a
    // task. Therefore it must not wait after tasks, which delayed such callbacks by up to 1 s.
    const bool ran_tasks = ran_posted || ran_timers || ran_deferred;
    poll(ran_tasks ? 0 : time_to_next_timer());
  }
}

void HttpLoop::Impl::poll(std::int32_t wait_ms) {
  const Instant now = clock_.now();
  const Duration last_overrun = overrun(now);
  longest_delay_ = std::max(longest_delay_, previous_overrun_ + last_overrun);
  previous_overrun_ = last_overrun;
  poll_started_at_ = now;
  ++poll_count_;
  // Runs the callbacks of writes that completed immediately in a task. If they ran only after the
  // next wait, h2o would watch their sockets for writing; with more than 256 ready sockets, those
  // whose event it has not fetched by then have no callback left when it does, and an assertion of
  // h2o ended the process.
  h2o_timeout__do_post_callback(loop_);
  if (!deferred_.empty()) {
    wait_ms = 0;  // One of these callbacks deferred a task.
  }
  poll_wait_ = Duration{wait_ms};
  h2o_evloop_run(loop_, wait_ms);
}

Duration HttpLoop::Impl::overrun(Instant now) const {
  return std::max(Duration{0}, now - poll_started_at_ - poll_wait_);
}

bool HttpLoop::Impl::ready_to_stop() {
  if (stop_deadline_ == Instant{}) {
    stop_deadline_ = clock_.now() + kCloseTimeout;
  }
  const std::lock_guard lock(mutex_);
  return posted_.empty() && (closing_count_ == 0 || clock_.now() >= stop_deadline_);
}

bool HttpLoop::Impl::run_posted() {
  {
    const std::lock_guard lock(mutex_);
    running_.swap(posted_);
  }
  if (running_.empty()) {
    return false;
  }
  for (auto& task : running_) {
    task();
  }
  running_.clear();
  return true;
}

bool HttpLoop::Impl::has_due_timer() const {
  return !timers_.empty() && timers_.begin()->first <= clock_.now();
}

bool HttpLoop::Impl::run_due_timers() {
  if (timers_.empty()) {
    return false;
  }
  const Instant now = clock_.now();
  bool ran = false;
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const auto node = timers_.extract(timers_.begin());
    node.mapped()();
    ran = true;
  }
  return ran;
}

bool HttpLoop::Impl::run_deferred() {
  const bool ran = !deferred_.empty();
  // A deferred task may defer another one.
  while (!deferred_.empty()) {
    std::vector<std::function<void()>> tasks;
    tasks.swap(deferred_);
    for (auto& task : tasks) {
      task();
    }
  }
  return ran;
}

std::int32_t HttpLoop::Impl::time_to_next_timer() {
  {
    // Tasks that are posted on the HTTP thread send no wake-up.
    const std::lock_guard lock(mutex_);
    if (!posted_.empty()) {
      return 0;
    }
  }
  // Limits the error of `delay`, which cannot tell whether an event ended the wait. It also lets
  // the loop stop in time if a wake-up is lost.
  constexpr std::int64_t kMaxWaitMs = 50;
  if (stopping_) {
    return 10;
  }
  if (timers_.empty()) {
    return kMaxWaitMs;
  }
  const std::int64_t wait = (timers_.begin()->first - clock_.now()).ms;
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(wait, 0, kMaxWaitMs));
}

HttpLoop::HttpLoop() : impl_(std::make_unique<Impl>()) {}

HttpLoop::~HttpLoop() = default;

void HttpLoop::post(std::function<void()> task) {
  impl_->post(std::move(task));
}

void HttpLoop::post_after(Duration delay, std::function<void()> task) {
  impl_->post_after(delay, std::move(task));
}

void HttpLoop::run_and_wait(std::function<void()> task) {
  impl_->run_and_wait(std::move(task));
}

Duration HttpLoop::delay() const {
  return impl_->delay();
}

std::uint64_t HttpLoop::poll_count() const {
  return impl_->poll_count();
}

Duration HttpLoop::take_longest_delay() {
  return impl_->take_longest_delay();
}

bool HttpLoop::on_loop_thread() const {
  return impl_->on_loop_thread();
}

}  // namespace bluebellstep
