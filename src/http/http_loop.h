// The HTTP thread: an h2o event loop that runs all HTTP sockets of a process.

#ifndef BLUEBELLSTEP_HTTP_HTTP_LOOP_H_
#define BLUEBELLSTEP_HTTP_HTTP_LOOP_H_

#include <functional>
#include <memory>

#include "base/clock.h"

namespace bluebellstep {

/**
 * Owns the HTTP thread, on which `HttpServer` and `HttpClient` run. Their listeners are called on
 * this thread; their methods may be called from any thread.
 */
class HttpLoop {
 public:
  /** Starts the thread. */
  HttpLoop();
  HttpLoop(const HttpLoop&) = delete;
  HttpLoop& operator=(const HttpLoop&) = delete;

  /** Stops the loop and joins the thread. Servers and clients on this loop must be destroyed
   * before. */
  ~HttpLoop();

  /** Runs `task` on the HTTP thread, after the tasks posted earlier. May be called from any thread.
   */
  void post(std::function<void()> task);

  /** Runs `task` on the HTTP thread after `delay`. May be called from any thread. */
  void post_after(Duration delay, std::function<void()> task);

  /** Runs `task` on the HTTP thread and returns when it has run. Must not be called on the HTTP
   * thread. */
  void run_and_wait(std::function<void()> task);

  /** Returns how long what is handled now may have waited for the loop, up to 0.1 s less: the time
   * that its previous and its current iteration have taken beyond the waits that they were allowed.
   * Only on the HTTP thread. */
  Duration delay() const;

  /** Number of times that the sockets were polled. Only on the HTTP thread. */
  std::uint64_t poll_count() const;

  /** Returns the longest delay since the last call. Only on the HTTP thread. */
  Duration take_longest_delay();

  /** Whether the caller is on the HTTP thread. */
  bool on_loop_thread() const;

  class Impl;

  /** For `HttpServer`, `HttpClient` and other users of the h2o loop. */
  Impl& impl() { return *impl_; }

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_HTTP_LOOP_H_
