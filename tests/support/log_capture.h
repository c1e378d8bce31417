// Collects the log lines of the process, for tests of what is logged and how often.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_LOG_CAPTURE_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_LOG_CAPTURE_H_

#include <cstddef>
#include <memory>
#include <string_view>

namespace bluebellstep {

/** Collects all lines from its construction to its destruction. */
class LogCapture {
 public:
  LogCapture();
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;
  ~LogCapture();

  /** Number of lines that contain `part`. */
  std::size_t count(std::string_view part) const;

 private:
  class Sink;  // Its header has macros with the names of Catch2's.
  std::unique_ptr<Sink> sink_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_LOG_CAPTURE_H_
