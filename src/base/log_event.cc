// Formats log events and hands them to glog.

#include "base/log_event.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

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

void start_logging(const char* program_name) {
  FLAGS_logtostderr = true;
  FLAGS_logbufsecs = 0;
  google::InitGoogleLogging(program_name);
}

}  // namespace bluebellstep
