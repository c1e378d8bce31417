// Command line of the product.

#include <CLI/CLI.hpp>

#include "cli/command_context.h"
#include "cli/network_access.h"

int main(int argc, char** argv) {
  CLI::App app("bluebellstep: serving system for prompts that return after long gaps");
  app.set_version_flag("--version", std::string("bluebellstep ") + BLUEBELLSTEP_VERSION);
  app.require_subcommand(1);
  bluebellstep::CommandContext context;
  bluebellstep::NetworkAccess network;
  network.connect(context);
  // Commands on the platform's objects follow once `PlatformClient` is implemented, with
  // `add_operator_commands` in place of these.
  CLI::App* const bundle = app.add_subcommand("bundle", "work on the configuration bundle");
  bundle->require_subcommand(1);
  bluebellstep::add_bundle_file_commands(*bundle, context);
  bluebellstep::add_zone_commands(app, context);
  bluebellstep::add_explain_command(app, context);
  bluebellstep::add_settings_commands(app, context);
  return bluebellstep::run_command_line(app, context, argc, argv);
}
