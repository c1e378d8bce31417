// Runs the kj event loop and the tasks posted by other threads.

#include "rpc/rpc_loop.h"

#include <utility>

#include "base/log_event.h"

namespace bluebellstep {

/** Logs failures of background promises. */
class RpcLoop::BackgroundErrors : public kj::TaskSet::ErrorHandler {
 public:
  void taskFailed(kj::Exception&& exception) override {
    // Lost connections are expected and are logged by their owners.
    if (exception.getType() != kj::Exception::Type::DISCONNECTED) {
      LogEvent("background_task_failed", LogEvent::Severity::kWarning)
          .field("detail", exception.getDescription().cStr());
    }
  }
};

RpcLoop::RpcLoop() {
  std::promise<void> started;
  std::future<void> running = started.get_future();
  thread_ =
      std::thread([this, started = std::move(started)]() mutable { run(std::move(started)); });
  running.get();
}

RpcLoop::~RpcLoop() {
  post([this] { stop_->fulfill(); });
  thread_.join();
}

void RpcLoop::run_and_wait(std::function<void()> task) {
  std::promise<void> done;
  std::future<void> finished = done.get_future();
  post([&] {
    try {
      task();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  finished.get();
}

void RpcLoop::post_after(Duration delay, std::function<void()> task) {
  add_background(timer().afterDelay(delay.ms * kj::MILLISECONDS).then(std::move(task)));
}

kj::Promise<void> RpcLoop::repeat_every(Duration period, std::function<void()> task) {
  return repeat(period, std::move(task)).eagerlyEvaluate([](kj::Exception&& exception) {
    LogEvent("periodic_task_failed", LogEvent::Severity::kError)
        .field("detail", exception.getDescription().cStr());
  });
}

kj::Promise<void> RpcLoop::repeat(Duration period, std::function<void()> task) {
  return timer()
      .afterDelay(period.ms * kj::MILLISECONDS)
      .then([this, period, task = std::move(task)]() mutable {
        task();
        return repeat(period, std::move(task));
      });
}

void RpcLoop::add_background(kj::Promise<void> promise) {
  background_->add(kj::mv(promise));
}

kj::Promise<void> RpcLoop::read_mailbox(kj::UnixEventPort::FdObserver& observer) {
  mailbox_.run_all();
  return observer.whenBecomesReadable().then([this, &observer] { return read_mailbox(observer); });
}

void RpcLoop::run(std::promise<void> started) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  BackgroundErrors errors;
  kj::TaskSet background(errors);
  auto stop = kj::newPromiseAndFulfiller<void>();
  io_ = &io;
  background_ = &background;
  stop_ = stop.fulfiller.get();
  kj::UnixEventPort::FdObserver observer(io.unixEventPort, mailbox_.descriptor(),
                                         kj::UnixEventPort::FdObserver::OBSERVE_READ);
  started.set_value();
  kj::Promise<void> reading = read_mailbox(observer).eagerlyEvaluate([](kj::Exception&& exception) {
    LogEvent("control_loop_failed", LogEvent::Severity::kError)
        .field("detail", exception.getDescription().cStr());
  });
  stop.promise.wait(io.waitScope);
}

}  // namespace bluebellstep
