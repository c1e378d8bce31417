// Structured logging: one glog line of key=value pairs for each event.

#ifndef BLUEBELLSTEP_BASE_LOG_EVENT_H_
#define BLUEBELLSTEP_BASE_LOG_EVENT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace bluebellstep {

/**
 * Collects the fields of one event and writes them as one log line when it goes out of scope, for
 * example `LogEvent("upstream_cold").field("upstream", name).field("limit", 2);` Values with
 * blanks, quotes or control characters are quoted and escaped, so that a line always parses.
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

/** Returns `value` as it stands in a log line: unchanged, or quoted and escaped where needed. */
std::string quote_log_value(std::string_view value);

/**
 * Sends log lines to standard output instead of glog, gathered until `flush_stdout_log`. Never
 * blocks: lines that the reader does not take in time are dropped and counted.
 */
void start_stdout_logging();

/** Writes the gathered lines, as far as the reader takes them. */
void flush_stdout_log();

/** Starts glog with output to standard error. Call once, at the start of the process. */
void start_logging(const char* program_name);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_LOG_EVENT_H_
