// The control thread: a kj event loop that runs all RPC connections of a process. The state on
// which the process bases its decisions is used only on this thread.

#ifndef BLUEBELLSTEP_RPC_RPC_LOOP_H_
#define BLUEBELLSTEP_RPC_RPC_LOOP_H_

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <functional>
#include <future>
#include <thread>

#include "base/clock.h"
#include "base/mailbox.h"

namespace bluebellstep {

/** Owns the control thread. Objects that are used on this thread must be created and destroyed on
 * it, see `run_and_wait`. */
class RpcLoop {
 public:
  /** Starts the thread. */
  RpcLoop();
  RpcLoop(const RpcLoop&) = delete;
  RpcLoop& operator=(const RpcLoop&) = delete;

  /** Stops the loop after the tasks posted so far and joins the thread. */
  ~RpcLoop();

  /** Runs `task` on the control thread. May be called from any thread. */
  void post(std::function<void()> task) { mailbox_.post(std::move(task)); }

  /** Runs `task` on the control thread and returns when it has run. Rethrows its exception. Must
   * not be called on the control thread. */
  void run_and_wait(std::function<void()> task);

  /** Runs `task` on the control thread after `delay`. Only on the control thread. */
  void post_after(Duration delay, std::function<void()> task);

  /** Runs `task` every `period`, starting after one period, until the returned promise is
   * destroyed.
   * `task` must not destroy it. Only on the control thread. */
  [[nodiscard]] kj::Promise<void> repeat_every(Duration period, std::function<void()> task);

  /** Keeps `promise` alive until it is resolved, and logs its failure unless a connection was lost.
   * Only on the control thread. */
  void add_background(kj::Promise<void> promise);

  /** The timer of the loop. Only on the control thread. */
  kj::Timer& timer() { return io_->provider->getTimer(); }

  /** The network interface of the loop. Only on the control thread. */
  kj::Network& network() { return io_->provider->getNetwork(); }

 private:
  class BackgroundErrors;

  void run(std::promise<void> started);
  kj::Promise<void> read_mailbox(kj::UnixEventPort::FdObserver& observer);
  kj::Promise<void> repeat(Duration period, std::function<void()> task);

  Mailbox mailbox_;
  // Set while the thread runs. Used only on the control thread.
  kj::AsyncIoContext* io_ = nullptr;
  kj::TaskSet* background_ = nullptr;
  kj::PromiseFulfiller<void>* stop_ = nullptr;
  std::thread thread_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_RPC_RPC_LOOP_H_
