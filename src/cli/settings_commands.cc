// Commands on settings files.

#include <memory>

#include "cli/command_context.h"
#include "settings/entry_settings.h"
#include "settings/gateway_settings.h"
#include "settings/operator_settings.h"
#include "settings/sidecar_settings.h"

namespace bluebellstep {
namespace {

struct CheckOptions {
  std::string role;
  std::string file;
};

boost::leaf::result<ExitCode> check(CommandContext& context, const CheckOptions& options) {
  if (options.role == "entry") {
    BOOST_LEAF_CHECK(load_entry_settings(options.file));
  } else if (options.role == "gateway") {
    BOOST_LEAF_CHECK(load_gateway_settings(options.file));
  } else if (options.role == "sidecar") {
    BOOST_LEAF_CHECK(load_sidecar_settings(options.file));
  } else {
    BOOST_LEAF_CHECK(load_operator_settings(options.file));
  }
  context.out << options.file << ": valid " << options.role << " settings\n";
  return ExitCode::kSuccess;
}

}  // namespace

void add_settings_commands(CLI::App& app, CommandContext& context) {
  CLI::App* const settings = app.add_subcommand("settings", "work on settings files");
  settings->require_subcommand(1);
  CLI::App* const command = settings->add_subcommand("check", "check a settings file");
  const auto options = std::make_shared<CheckOptions>();
  command->add_option("--role", options->role, "role that the file is for")
      ->required()
      ->check(CLI::IsMember({"entry", "gateway", "sidecar", "operator"}));
  command->add_option("file", options->file, "settings file")->required();
  command->callback(
      [&context, options] { run_command(context, [&] { return check(context, *options); }); });
}

}  // namespace bluebellstep
