// A process that a test started, and that is gone when its owner is.

#ifndef BLUEBELLSTEP_TESTS_PROCESS_CHILD_PROCESS_H_
#define BLUEBELLSTEP_TESTS_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace bluebellstep::testing {

/** Polls `condition` until it holds; false once `limit` has passed. */
bool wait_until(Duration timeout, const std::function<bool()>& condition);

/** A child process. The destructor kills and reaps it. */
class ChildProcess {
 public:
  /** Starts `arguments`, with output in `file_prefix` + `.out` and `.log`. Throws if it fails. */
  ChildProcess(std::vector<std::string> arguments, const std::string& file_prefix);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  /** Waits for the line `listening ...`; throws if it does not come in time. */
  void wait_for_listening();

  /** Port that the line `listening ...` gives as `name`; 0 if it has none. */
  std::uint16_t port(std::string_view name) const;

  /** Sends a signal, unless the process was reaped. */
  void send_signal(int signal);

  /** Kills the process with SIGKILL and reaps it. */
  void kill_now();

  /** Waits for the end of the process. Returns its exit code, 128 + signal if a signal ended it, or
   * nothing if it still runs after `limit`. */
  std::optional<int> wait_for_exit(Duration timeout);

 private:
  bool reap(int options);

  pid_t pid_ = 0;
  bool reaped_ = false;
  int status_ = 0;
  std::string output_file_;
};

}  // namespace bluebellstep::testing

#endif  // BLUEBELLSTEP_TESTS_PROCESS_CHILD_PROCESS_H_
