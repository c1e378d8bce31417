// Formats log events and hands them to glog.

#include "base/log_event.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <mutex>

#include "base/clock.h"

namespace bluebellstep {
namespace {

bool is_plain(char c) {
  return c > ' ' && c != '"' && c != '\\' && c != '=' && c != 0x7f;
}

template <typename Number>
std::string format_number(Number value) {
  std::array<char, 32> text;
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
  return {text.data(), end};
}

// Lines on standard output that are written together and never block the process.
class LineOutput {
 public:
  // Lines beyond this are dropped and counted while the reader does not keep up.
  static constexpr std::size_t kMaxBuffered = 256u << 10;
  // Larger amounts are written at once instead of at the next flush.
  static constexpr std::size_t kWriteAt = 16u << 10;

  bool enabled() const { return enabled_.load(std::memory_order_relaxed); }

  void enable() {
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
      ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    enabled_ = true;
  }

  void add(LogEvent::Severity severity, std::string_view line) {
    const std::lock_guard lock(mutex_);
    if (buffer_.size() + line.size() > kMaxBuffered) {
      ++dropped_;
      return;
    }
    const char letter = severity == LogEvent::Severity::kInfo      ? 'I'
                        : severity == LogEvent::Severity::kWarning ? 'W'
                                                                   : 'E';
    buffer_.append("t_ms=").append(format_number(Clock().wall().ms));
    buffer_.append(" severity=").append(1, letter).append(" ").append(line).append("\n");
    if (buffer_.size() >= kWriteAt) {
      write();
    }
  }

  void flush() {
    const std::lock_guard lock(mutex_);
    write();
  }

 private:
  void write() {
    if (dropped_ > 0 && buffer_.size() < kMaxBuffered / 2) {
      buffer_.append("event=log_lines_dropped count=").append(format_number(dropped_)).append("\n");
      dropped_ = 0;
    }
    if (buffer_.empty()) {
      return;
    }
    const ssize_t written = ::write(STDOUT_FILENO, buffer_.data(), buffer_.size());
    if (written > 0) {
      buffer_.erase(0, static_cast<std::size_t>(written));
    } else if (errno != EAGAIN && errno != EINTR) {
      buffer_.clear();  // Nobody can read the log any more.
    }
  }

  std::atomic<bool> enabled_{false};
  std::mutex mutex_;
  std::string buffer_;         // Guarded by `mutex_`.
  std::uint64_t dropped_ = 0;  // Guarded by `mutex_`.
};

LineOutput& line_output() {
  static LineOutput output;
  return output;
}

}  // namespace

std::string quote_log_value(std::string_view value) {
  if (!value.empty() && std::all_of(value.begin(), value.end(), is_plain)) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
      std::array<char, 8> escaped;
      std::snprintf(escaped.data(), escaped.size(), "\\x%02x", static_cast<unsigned char>(c));
      quoted += escaped.data();
    } else {
      quoted += c;
    }
  }
  quoted += '"';
  return quoted;
}

LogEvent::LogEvent(std::string_view event, Severity severity) : severity_(severity) {
  line_ = "event=";
  line_ += event;
}

LogEvent::~LogEvent() {
  if (line_output().enabled()) {
    line_output().add(severity_, line_);
    return;
  }
  switch (severity_) {
    case Severity::kInfo:
      LOG(INFO) << line_;
      return;
    case Severity::kWarning:
      LOG(WARNING) << line_;
      return;
    case Severity::kError:
      LOG(ERROR) << line_;
      return;
  }
}

LogEvent& LogEvent::field(std::string_view key, std::string_view value) {
  line_ += ' ';
  line_ += key;
  line_ += '=';
  line_ += quote_log_value(value);
  return *this;
}

LogEvent& LogEvent::field(std::string_view key, std::int64_t value) {
  return field(key, std::string_view(format_number(value)));
}

LogEvent& LogEvent::field(std::string_view key, std::uint64_t value) {
  return field(key, std::string_view(format_number(value)));
}

LogEvent& LogEvent::field(std::string_view key, double value) {
  return field(key, std::string_view(format_number(value)));
}

void start_stdout_logging() {
  line_output().enable();
}

void flush_stdout_log() {
  line_output().flush();
}

void start_logging(const char* program_name) {
  FLAGS_logtostderr = true;
  FLAGS_logbufsecs = 0;
  google::InitGoogleLogging(program_name);
}

}  // namespace bluebellstep
