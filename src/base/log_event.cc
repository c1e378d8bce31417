// Formats log events and writes them to glog or to standard output.

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

bool needs_no_quoting(char c) {
  return c > ' ' && c != '"' && c != '\\' && c != '=' && c != 0x7f;
}

template <typename Number>
std::string format_number(Number value) {
  std::array<char, 32> text;
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
  return {text.data(), end};
}

// Buffers log lines and writes them to standard output without blocking the process.
class StdoutLog {
 public:
  // While standard output is blocked, lines that would exceed this are dropped and counted.
  static constexpr std::size_t kMaxBufferedBytes = 256u << 10;
  // A buffer of at least this size is written at once instead of at the next flush.
  static constexpr std::size_t kWriteThresholdBytes = 16u << 10;

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
    if (buffer_.size() + line.size() > kMaxBufferedBytes) {
      ++dropped_;
      return;
    }
    const char severity_letter = severity == LogEvent::Severity::kInfo      ? 'I'
                                 : severity == LogEvent::Severity::kWarning ? 'W'
                                                                            : 'E';
    buffer_.append("t_ms=").append(format_number(Clock().wall().ms));
    buffer_.append(" severity=").append(1, severity_letter).append(" ").append(line).append("\n");
    if (buffer_.size() >= kWriteThresholdBytes) {
      write();
    }
  }

  void flush() {
    const std::lock_guard lock(mutex_);
    write();
  }

 private:
  void write() {
    if (dropped_ > 0 && buffer_.size() < kMaxBufferedBytes / 2) {
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
      buffer_.clear();  // Not temporary, for example a closed pipe.
    }
  }

  std::atomic<bool> enabled_{false};
  std::mutex mutex_;
  std::string buffer_;         // Guarded by `mutex_`.
  std::uint64_t dropped_ = 0;  // Guarded by `mutex_`.
};

StdoutLog& stdout_log() {
  static StdoutLog output;
  return output;
}

}  // namespace

std::string quote_log_value(std::string_view value) {
  if (!value.empty() && std::all_of(value.begin(), value.end(), needs_no_quoting)) {
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
  if (stdout_log().enabled()) {
    stdout_log().add(severity_, line_);
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
  stdout_log().enable();
}

void flush_stdout_log() {
  stdout_log().flush();
}

void start_logging(const char* program_name) {
  FLAGS_logtostderr = true;
  FLAGS_logbufsecs = 0;
  google::InitGoogleLogging(program_name);
}

}  // namespace bluebellstep
