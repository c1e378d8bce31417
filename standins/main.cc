// Command line of the stand-ins for the systems around the product.

#include <pthread.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdint>
#include <string_view>
#include <system_error>

#include "base/log_event.h"
#include "http/http_loop.h"
#include "standins/engine_command.h"
#include "standins/engine_standin.h"
#include "standins/store_standin.h"

namespace bluebellstep::standins {
namespace {

/** Address of a subcommand's `--ip` and `--port`. */
void add_listen_options(CLI::App& command, Endpoint& listen) {
  command.add_option("--ip", listen.ip, "Address to listen on");
  command.add_option("--port", listen.port, "Port to listen on; 0 takes any free one");
}

/** Logs the port, then waits for SIGTERM or SIGINT. */
void wait_for_stop(std::string_view standin, std::uint16_t port) {
  LogEvent("standin_listening").field("standin", standin).field("port", static_cast<int>(port));
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
}

/** Leaves SIGTERM and SIGINT to `wait_for_stop`. Call before any thread starts. */
void block_stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

}  // namespace
}  // namespace bluebellstep::standins

int main(int argc, char** argv) {
  using namespace bluebellstep;
  using namespace bluebellstep::standins;
  start_logging(argv[0]);
  CLI::App app("bluebellstep-standins: stand-ins for the systems around bluebellstep");
  app.require_subcommand(1);
  Endpoint listen{"127.0.0.1", 0};
  EngineOptions engine_options;
  StoreOptions store_options;
  CLI::App* const engine = app.add_subcommand("engine", "Model engine");
  add_listen_options(*engine, listen);
  add_engine_options(*engine, engine_options);
  CLI::App* const store = app.add_subcommand("store", "Cache store");
  add_listen_options(*store, listen);
  add_store_options(*store, store_options);
  CLI11_PARSE(app, argc, argv);

  block_stop_signals();
  HttpLoop loop;
  try {
    if (engine->parsed()) {
      const EngineStandin standin(loop, engine_options, listen);
      wait_for_stop("engine", standin.port());
    } else if (store->parsed()) {
      const StoreStandin standin(loop, store_options, listen);
      wait_for_stop("store", standin.port());
    }
  } catch (const std::system_error& error) {
    LogEvent("standin_failed", LogEvent::Severity::kError).field("error", error.what());
    return 1;
  }
  return 0;
}
