// Command line of the product.

#include <CLI/CLI.hpp>

#include "base/log_event.h"
#include "cli/command_context.h"
#include "cli/network_access.h"
#include "cli/platform_access.h"

int main(int argc, char** argv) {
  bluebellstep::start_logging(argv[0]);
  CLI::App app("bluebellstep: serving system for prompts that return after long gaps");
  app.set_version_flag("--version", std::string("bluebellstep ") + BLUEBELLSTEP_VERSION);
  app.require_subcommand(1);
  bluebellstep::CommandContext context;
  bluebellstep::NetworkAccess network;
  network.connect(context);
  context.open_platform = [&network](const bluebellstep::PlatformSettings& settings) {
    return bluebellstep::open_platform_objects(network.client(), settings);
  };
  bluebellstep::add_operator_commands(app, context);
  bluebellstep::add_process_commands(app, context);
  return bluebellstep::run_command_line(app, context, argc, argv);
}
