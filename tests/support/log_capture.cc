// Receives the lines from glog.

#include "tests/support/log_capture.h"

#include <glog/logging.h>

#include <algorithm>
#include <mutex>
#include <string>
#include <vector>

namespace bluebellstep {

class LogCapture::Sink : public google::LogSink {
 public:
  Sink() { google::AddLogSink(this); }
  ~Sink() override { google::RemoveLogSink(this); }

  using google::LogSink::send;
  void send(google::LogSeverity /*severity*/,
            const char* /*full_filename*/,
            const char* /*base_filename*/,
            int /*line*/,
            const google::LogMessageTime& /*time*/,
            const char* message,
            std::size_t length) override {
    const std::lock_guard lock(mutex_);
    lines_.emplace_back(message, length);
  }

  std::size_t count(std::string_view part) {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        lines_.begin(), lines_.end(),
        [part](const std::string& line) { return line.find(part) != std::string::npos; }));
  }

 private:
  std::mutex mutex_;
  std::vector<std::string> lines_;  // Guarded by `mutex_`.
};

LogCapture::LogCapture() : sink_(std::make_unique<Sink>()) {}

LogCapture::~LogCapture() = default;

std::size_t LogCapture::count(std::string_view part) const {
  return sink_->count(part);
}

}  // namespace bluebellstep
