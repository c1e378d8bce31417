// What the commands get from their surroundings, and helpers that all command groups use.

#ifndef BLUEBELLSTEP_CLI_COMMAND_CONTEXT_H_
#define BLUEBELLSTEP_CLI_COMMAND_CONTEXT_H_

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <functional>
#include <iostream>
#include <string>

#include "base/clock.h"
#include "cli/blocking_object_client.h"
#include "cli/exit_codes.h"
#include "http/http_client.h"
#include "settings/common_settings.h"

namespace bluebellstep {

/** Surroundings of a command; tests replace the network and the clock. */
struct CommandContext {
  std::ostream& out = std::cout;
  std::ostream& err = std::cerr;
  Clock clock;
  std::function<HttpClient::Response(HttpCall)> send;
  std::function<BlockingObjectClient(const PlatformSettings&)> make_object_client;
  ExitCode exit_code = ExitCode::kSuccess;  // Set by the command that ran.
};

/** A reason to end a command, with its exit code; used as a LEAF error object. */
struct CommandFailure {
  ExitCode code = ExitCode::kFailed;
  std::string detail;
};

/** Runs `action`, which returns `boost::leaf::result<ExitCode>`, prints its error, if any, and
 * stores the exit code. */
template <typename Action>
void run_command(CommandContext& context, Action&& action) {
  context.exit_code = boost::leaf::try_handle_all(
      std::forward<Action>(action),
      [&](const SettingsErrors& errors) {
        context.err << errors.to_string();
        return ExitCode::kBadInput;
      },
      [&](const CommandFailure& failure) {
        context.err << failure.detail << "\n";
        return failure.code;
      },
      [&](const PlatformUnavailable& unavailable) {
        context.err << "platform unavailable: " << unavailable.detail << "\n";
        return ExitCode::kPlatformUnavailable;
      },
      [&] {
        context.err << "unknown error\n";
        return ExitCode::kFailed;
      });
}

/** Reads a private key file: base64 and an optional line end. */
boost::leaf::result<std::string> read_key_file(const std::string& path);

/** Writes a file; with `exclusive` only if it does not exist, readable by its owner alone. */
boost::leaf::result<void> write_file(const std::string& path,
                                     std::string_view contents,
                                     bool exclusive);

/** `text` with all but unreserved characters percent-encoded, for a query string. */
std::string percent_encode(std::string_view text);

void add_bundle_file_commands(CLI::App& bundle, CommandContext& context);
void add_bundle_platform_commands(CLI::App& bundle, CommandContext& context);
void add_zone_commands(CLI::App& app, CommandContext& context);
void add_explain_command(CLI::App& app, CommandContext& context);
void add_settings_commands(CLI::App& app, CommandContext& context);

/** Adds the commands that run an entry instance or a sidecar. */
void add_process_commands(CLI::App& app, CommandContext& context);

/** Adds all operator commands to `app`. */
void add_operator_commands(CLI::App& app, CommandContext& context);

/** Parses the command line, runs the command and returns the exit code. */
int run_command_line(CLI::App& app, CommandContext& context, int argc, const char* const* argv);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CLI_COMMAND_CONTEXT_H_
