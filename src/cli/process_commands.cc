// Commands that run an entry instance or a sidecar.

#include <memory>

#include "cli/command_context.h"
#include "entry/entry_process.h"
#include "settings/entry_settings.h"
#include "settings/sidecar_settings.h"
#include "sidecar/sidecar_process.h"

namespace bluebellstep {

void add_process_commands(CLI::App& app, CommandContext& context) {
  const auto file = std::make_shared<std::string>();
  CLI::App* const entry = app.add_subcommand("entry", "run an entry instance");
  entry->add_option("--settings", *file, "settings file")->required();
  entry->callback([&context, file] {
    run_command(context, [&]() -> boost::leaf::result<ExitCode> {
      BOOST_LEAF_AUTO(settings, load_entry_settings(*file));
      return static_cast<ExitCode>(run_entry(settings));
    });
  });
  CLI::App* const sidecar = app.add_subcommand("sidecar", "run the sidecar of an upstream");
  sidecar->add_option("--settings", *file, "settings file")->required();
  sidecar->callback([&context, file] {
    run_command(context, [&]() -> boost::leaf::result<ExitCode> {
      BOOST_LEAF_AUTO(settings, load_sidecar_settings(*file));
      return static_cast<ExitCode>(run_sidecar(settings));
    });
  });
}

}  // namespace bluebellstep
