// Environment of the commands, and helpers that all command groups share.

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

/** Environment of a command. Tests replace the output streams, the clock and the network calls. */
struct CommandContext {
  std::ostream& out = std::cout;
  std::ostream& err = std::cerr;
  Clock clock;
  // Sends an HTTP request and blocks until the response is complete or the request has failed.
  std::function<HttpClient::Response(HttpCall)> send;
  // Creates a client of the platform's object API.
  std::function<BlockingObjectClient(const PlatformSettings&)> make_object_client;
  ExitCode exit_code = ExitCode::kSuccess;  // Set by `run_command`.
};

/** LEAF error object that ends a command. */
struct CommandFailure {
  ExitCode code = ExitCode::kFailed;
  std::string detail;  // Printed to standard error.
};

/** Runs `action`, which returns `boost::leaf::result<ExitCode>`. Prints its error, if any, and sets
 * `context.exit_code`. */
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

/** Returns the contents of a private key file (base64) without line ends at its end. Fails with
 * `SettingsErrors`. */
boost::leaf::result<std::string> read_key_file(const std::string& path);

/** Writes a file. With `exclusive`, the file must not exist, and only its owner may read it. Fails
 * with `CommandFailure`. */
boost::leaf::result<void> write_file(const std::string& path,
                                     std::string_view contents,
                                     bool exclusive);

/** Returns `text` with all but unreserved characters percent-encoded, for a query string. */
std::string percent_encode(std::string_view text);

/** Adds the bundle commands that need only files: keygen, validate and sign. */
void add_bundle_file_commands(CLI::App& bundle, CommandContext& context);

/** Adds the bundle commands that need the platform: propose, sign-off, roll-out and status. */
void add_bundle_platform_commands(CLI::App& bundle, CommandContext& context);

/** Adds the commands that take a zone out of service and put it back in. */
void add_zone_commands(CLI::App& app, CommandContext& context);

/** Adds the command that explains how a request is routed. */
void add_explain_command(CLI::App& app, CommandContext& context);

/** Adds the command that checks a settings file. */
void add_settings_commands(CLI::App& app, CommandContext& context);

/** Adds the command that checks a configuration of gateways. */
void add_config_commands(CLI::App& app, CommandContext& context);

/** Adds the commands that run an entry instance, a sidecar or a gateway. */
void add_process_commands(CLI::App& app, CommandContext& context);

/** Adds all operator commands to `app`. */
void add_operator_commands(CLI::App& app, CommandContext& context);

/** Parses the command line, runs the command and returns the exit code. */
int run_command_line(CLI::App& app, CommandContext& context, int argc, const char* const* argv);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CLI_COMMAND_CONTEXT_H_
