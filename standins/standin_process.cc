// Listen options and signal handling of a stand-in process.

#include "standins/standin_process.h"

#include <csignal>
#include <cstdio>

namespace bluebellstep {
namespace {

sigset_t stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void add_listen_options(CLI::App& command, Endpoint& listen) {
  listen = {"127.0.0.1", 0};
  command.add_option("--ip", listen.ip, "address to listen on")->capture_default_str();
  command.add_option("--port", listen.port, "port to listen on; 0 selects any free port")
      ->capture_default_str();
}

void block_stop_signals() {
  const sigset_t signals = stop_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void serve_until_stopped(std::uint16_t port) {
  std::printf("listening port=%u\n", static_cast<unsigned>(port));
  std::fflush(stdout);
  const sigset_t signals = stop_signals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace bluebellstep
