// Command line of the stand-ins for the systems around the product.

#include <CLI/CLI.hpp>
#include <system_error>

#include "base/log_event.h"
#include "standins/engine_command.h"
#include "standins/orders_standin.h"
#include "standins/platform_standin.h"
#include "standins/standin_options.h"
#include "standins/weights_standin.h"

int main(int argc, char** argv) {
  bluebellstep::start_logging(argv[0]);
  bluebellstep::block_stop_signals();
  CLI::App app("bluebellstep-standins: stand-ins for the systems around bluebellstep");
  app.require_subcommand(1);
  bluebellstep::add_platform_command(app);
  bluebellstep::add_orders_command(app);
  bluebellstep::add_weights_command(app);
  bluebellstep::standins::add_engine_command(app);
  bluebellstep::standins::add_store_command(app);
  try {
    CLI11_PARSE(app, argc, argv);
  } catch (const std::system_error& error) {
    bluebellstep::LogEvent("standin_failed", bluebellstep::LogEvent::Severity::kError)
        .field("error", error.what());
    return 1;
  }
  return 0;
}
