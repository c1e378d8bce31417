// Starts, signals and reaps child processes.

#include "tests/process/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <cerrno>
#include <charconv>
#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace bluebellstep::testing {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(5);
constexpr Duration kStartTimeout = {10'000};

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

pid_t spawn(std::vector<std::string>& arguments, const std::string& out, const std::string& log) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  constexpr int kFlags = O_WRONLY | O_CREAT | O_TRUNC;
  posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, out.c_str(), kFlags, 0600);
  posix_spawn_file_actions_addopen(&files, STDERR_FILENO, log.c_str(), kFlags, 0600);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, argv[0], &files, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) {
    throw std::runtime_error("cannot start " + arguments[0]);
  }
  return pid;
}

}  // namespace

bool wait_until(Duration timeout, const std::function<bool()>& condition) {
  const Instant end = Clock().now() + timeout;
  while (!condition()) {
    if (Clock().now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

ChildProcess::ChildProcess(std::vector<std::string> arguments, const std::string& file_prefix)
    : output_file_(file_prefix + ".out") {
  pid_ = spawn(arguments, output_file_, file_prefix + ".log");
}

ChildProcess::~ChildProcess() {
  kill_now();
}

void ChildProcess::wait_for_listening() {
  const bool listens = wait_until(kStartTimeout, [this] {
    return reap(WNOHANG) || read_file(output_file_).find('\n') != std::string::npos;
  });
  if (!listens || reaped_) {
    throw std::runtime_error("process did not write its listening line, see " + output_file_);
  }
}

std::uint16_t ChildProcess::port(std::string_view name) const {
  const std::string text = read_file(output_file_);
  const std::string mark = " " + std::string(name) + "=";
  const auto at = text.find(mark);
  std::uint16_t port = 0;
  if (at != std::string::npos) {
    std::from_chars(text.data() + at + mark.size(), text.data() + text.size(), port);
  }
  return port;
}

void ChildProcess::send_signal(int signal) {
  if (!reaped_) {
    ::kill(pid_, signal);
  }
}

void ChildProcess::kill_now() {
  send_signal(SIGKILL);
  reap(0);
}

std::optional<int> ChildProcess::wait_for_exit(Duration timeout) {
  if (!wait_until(timeout, [this] { return reap(WNOHANG); })) {
    return std::nullopt;
  }
  return WIFEXITED(status_) ? WEXITSTATUS(status_) : 128 + WTERMSIG(status_);
}

bool ChildProcess::reap(int options) {
  while (!reaped_) {
    const pid_t result = ::waitpid(pid_, &status_, options);
    if (result < 0 && errno == EINTR) {
      continue;
    }
    reaped_ = result == pid_;
    break;
  }
  return reaped_;
}

}  // namespace bluebellstep::testing
