// The worker's thread and its queue.

#include "http/background_worker.h"

namespace bluebellstep {

BackgroundWorker::BackgroundWorker(HttpLoop& loop)
    : loop_(loop), thread_([this] { run_tasks(); }) {}

BackgroundWorker::~BackgroundWorker() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    tasks_.clear();
  }
  changed_.notify_one();
  thread_.join();
}

void BackgroundWorker::enqueue(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  changed_.notify_one();
}

void BackgroundWorker::deliver_on_loop(std::function<void()> delivery) {
  loop_.post([alive = std::weak_ptr<bool>(alive_), delivery = std::move(delivery)] {
    if (!alive.expired()) {
      delivery();
    }
  });
}

void BackgroundWorker::run_tasks() {
  while (true) {
    std::function<void()> task;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
      if (stopping_) {
        return;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task();
  }
}

}  // namespace bluebellstep
