// Structured logging: one line of key=value pairs for each event.

#ifndef BLUEBELLSTEP_BASE_LOG_EVENT_H_
#define BLUEBELLSTEP_BASE_LOG_EVENT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace bluebellstep {

/**
 * An event with its fields, written as one log line by the destructor. Example:
 * `LogEvent("upstream_cold").field("upstream", name).field("limit", 2);` Values that contain white
 * space, quotes, equals signs, backslashes or control characters are quoted and escaped, so that
 * every line can be parsed.
 */
class LogEvent {
 public:
  enum class Severity { kInfo, kWarning, kError };

  explicit LogEvent(std::string_view event, Severity severity = Severity::kInfo);
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;
  ~LogEvent();

  LogEvent& field(std::string_view key, std::string_view value);
  LogEvent& field(std::string_view key, const char* value) {
    return field(key, std::string_view(value));
  }
  LogEvent& field(std::string_view key, std::int64_t value);
  LogEvent& field(std::string_view key, std::uint64_t value);
  LogEvent& field(std::string_view key, int value) {
    return field(key, static_cast<std::int64_t>(value));
  }
  LogEvent& field(std::string_view key, std::uint32_t value) {
    return field(key, static_cast<std::uint64_t>(value));
  }
  LogEvent& field(std::string_view key, double value);
  LogEvent& field(std::string_view key, bool value) {
    return field(key, std::string_view(value ? "true" : "false"));
  }

 private:
  Severity severity_;
  std::string line_;
};

/** Returns `value` as it is written to a log line: unchanged, or quoted and escaped if
 * necessary. */
std::string quote_log_value(std::string_view value);

/**
 * Makes all later log events go to standard output instead of glog, and makes standard output
 * non-blocking. Lines are buffered until `flush_stdout_log` is called or 16 KB are reached. Logging
 * never blocks: if the reader of standard output is too slow, lines are dropped and counted.
 */
void start_stdout_logging();

/** Writes the buffered lines to standard output, as far as that does not block. */
void flush_stdout_log();

/** Starts glog with output to standard error. Call once, at the start of the process. */
void start_logging(const char* program_name);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_LOG_EVENT_H_
