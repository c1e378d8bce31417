// Commands that run the processes of the system.

#include <memory>
#include <stdexcept>
#include <string>

#include "cli/command_context.h"
#include "entry/entry_process.h"
#include "gateway/gateway_process.h"
#include "settings/entry_settings.h"
#include "settings/gateway_settings.h"
#include "settings/sidecar_settings.h"
#include "sidecar/sidecar_process.h"

namespace bluebellstep {
namespace {

// Runs a process until it exits. Exceptions, thrown if it cannot start (for example because an
// address is in use or a key is unreadable), become a `CommandFailure`.
template <typename Run>
boost::leaf::result<ExitCode> run_process(Run run) {
  try {
    return static_cast<ExitCode>(run());
  } catch (const std::exception& error) {
    return boost::leaf::new_error(CommandFailure{ExitCode::kFailed, error.what()});
  }
}

boost::leaf::result<ExitCode> run_entry_command(const std::string& file) {
  BOOST_LEAF_AUTO(settings, load_entry_settings(file));
  return run_process([&settings = settings] { return run_entry(settings); });
}

boost::leaf::result<ExitCode> run_sidecar_command(const std::string& file) {
  BOOST_LEAF_AUTO(settings, load_sidecar_settings(file));
  return run_process([&settings = settings] { return run_sidecar(settings); });
}

boost::leaf::result<ExitCode> run_gateway_command(const std::string& file) {
  SettingsFileWatch watch(file);
  BOOST_LEAF_AUTO(settings, load_gateway_settings(file));
  return run_process(
      [&settings = settings, &watch] { return run_gateway(settings, std::move(watch)); });
}

using RunCommand = boost::leaf::result<ExitCode> (*)(const std::string& file);

void add_process_command(CLI::App& app,
                         CommandContext& context,
                         const std::string& name,
                         const std::string& description,
                         RunCommand run) {
  CLI::App* const command = app.add_subcommand(name, description);
  const auto file = std::make_shared<std::string>();
  command->add_option("--settings", *file, "settings file")->required();
  command->callback([&context, file, run] { run_command(context, [&] { return run(*file); }); });
}

}  // namespace

void add_process_commands(CLI::App& app, CommandContext& context) {
  add_process_command(app, context, "entry", "run an entry instance", run_entry_command);
  add_process_command(app, context, "sidecar", "run the sidecar of an upstream",
                      run_sidecar_command);
  add_process_command(app, context, "gateway",
                      "run a gateway: an entry instance that calls upstreams itself",
                      run_gateway_command);
}

}  // namespace bluebellstep
