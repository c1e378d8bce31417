// Command line of the stand-ins for the external systems that the product works with.

#include <CLI/CLI.hpp>
#include <memory>
#include <system_error>

#include "base/log_event.h"
#include "http/http_loop.h"
#include "standins/engine_standin.h"
#include "standins/engine_store_options.h"
#include "standins/fleet_standin.h"
#include "standins/orders_standin.h"
#include "standins/platform_standin.h"
#include "standins/standin_process.h"
#include "standins/store_standin.h"
#include "standins/weights_standin.h"

namespace bluebellstep::standins {
namespace {

/** Adds a subcommand that runs `Standin` with the options that `add_options` defines. */
template <typename Standin, typename Options>
void add_command(CLI::App& app,
                 const char* name,
                 const char* description,
                 void (*add_options)(CLI::App&, Options&)) {
  CLI::App* command = app.add_subcommand(name, description);
  const auto listen = std::make_shared<Endpoint>();
  const auto options = std::make_shared<Options>();
  add_listen_options(*command, *listen);
  add_options(*command, *options);
  command->callback([listen, options] {
    HttpLoop loop;
    const Standin standin(loop, *options, *listen);
    serve_until_stopped(standin.port());
  });
}

}  // namespace
}  // namespace bluebellstep::standins

int main(int argc, char** argv) {
  using namespace bluebellstep;
  using namespace bluebellstep::standins;
  start_logging(argv[0]);
  block_stop_signals();
  CLI::App app("bluebellstep-standins: stand-ins for the systems around bluebellstep");
  app.require_subcommand(1);
  add_platform_command(app);
  add_orders_command(app);
  add_weights_command(app);
  add_command<EngineStandin, EngineOptions>(app, "engine", "model engine", add_engine_options);
  add_command<StoreStandin, StoreOptions>(app, "store", "cache store", add_store_options);
  add_command<FleetStandin, FleetOptions>(
      app, "fleet", "platform used by gateways: metadata store and servers", add_fleet_options);
  try {
    // Parses the command line and runs the callback of the selected subcommand.
    CLI11_PARSE(app, argc, argv);
  } catch (const std::system_error& error) {
    LogEvent("standin_failed", LogEvent::Severity::kError).field("error", error.what());
    return 1;
  }
  return 0;
}
