// Entry point of the command-line program.

#include <CLI/CLI.hpp>

#include "base/log_event.h"
#include "cli/command_context.h"
#include "cli/command_http_client.h"
#include "cli/platform_object_client.h"

int main(int argc, char** argv) {
  bluebellstep::start_logging(argv[0]);
  CLI::App app("bluebellstep: serving system for prompts that return after long gaps");
  app.set_version_flag("--version", std::string("bluebellstep ") + BLUEBELLSTEP_VERSION);
  app.require_subcommand(1);
  bluebellstep::CommandContext context;
  bluebellstep::CommandHttpClient http_client;
  http_client.attach_to(context);
  context.make_object_client = [&http_client](const bluebellstep::PlatformSettings& settings) {
    return bluebellstep::make_platform_object_client(http_client.client(), settings);
  };
  bluebellstep::add_operator_commands(app, context);
  bluebellstep::add_process_commands(app, context);
  return bluebellstep::run_command_line(app, context, argc, argv);
}
