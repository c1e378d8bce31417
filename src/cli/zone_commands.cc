// Commands that take an availability zone out of service and put it back in. They send the notice
// directly to a process of the system, so that they work while the platform is unavailable.

#include <memory>

#include "cli/command_context.h"
#include "zones/zone_notice.h"

namespace bluebellstep {
namespace {

struct Options {
  std::string zone;
  std::string operator_name;
  std::string key;
  std::vector<std::string> processes;
  std::uint64_t serial = 0;
};

boost::leaf::result<ZoneNotice> make_notice(CommandContext& context,
                                            const Options& options,
                                            bool in_service) {
  BOOST_LEAF_AUTO(key, read_key_file(options.key));
  ZoneNotice notice{options.zone, in_service, options.serial, options.operator_name, ""};
  if (notice.serial == 0) {
    notice.serial = static_cast<std::uint64_t>(context.clock.wall().ms);
  }
  if (!sign_zone_notice(notice, key)) {
    return boost::leaf::new_error(CommandFailure{
        ExitCode::kBadInput, options.key + ": not an Ed25519 private key in base64"});
  }
  return notice;
}

// Prints the response of a process and returns the exit code for it.
ExitCode print_response(CommandContext& context,
                        const ZoneNotice& notice,
                        const HttpClient::Response& response) {
  const std::string our_notice = zone_notice_to_json(notice);
  if (response.status == 200) {
    context.out << response.body << "\n";
    return ExitCode::kSuccess;
  }
  if (response.status == 409) {
    context.err << "conflict: the process has a state with a higher serial\n"
                << "ours:   " << our_notice << "\n"
                << "theirs: " << response.body << "\n"
                << "to override it, use --serial with a higher number\n";
    return ExitCode::kConflict;
  }
  context.err << "refused with status " << response.status << ": " << response.body << "\n";
  return response.status == 400 || response.status == 403 ? ExitCode::kBadInput : ExitCode::kFailed;
}

boost::leaf::result<ExitCode> send_notice(CommandContext& context,
                                          const Options& options,
                                          bool in_service) {
  BOOST_LEAF_AUTO(notice, make_notice(context, options, in_service));
  ExitCode code = ExitCode::kFailed;
  // Any one process suffices, so the next one is tried if one fails. A process may receive the same
  // notice twice without harm.
  for (const std::string& process : options.processes) {
    const auto endpoint = parse_endpoint(process);
    if (!endpoint) {
      return boost::leaf::new_error(CommandFailure{
          ExitCode::kBadInput, process + ": expected an IP address and port such as 10.0.0.1:80"});
    }
    HttpCall call;
    call.endpoint = *endpoint;
    call.method = "POST";
    call.path = "/admin/zone-notice";
    call.headers = {{"content-type", "application/json"}};
    call.body = zone_notice_to_json(notice);
    call.idle_timeout = 2_s;
    const HttpClient::Response response = context.send(std::move(call));
    if (const auto* failed = std::get_if<HttpClient::Failed>(&response.outcome)) {
      context.err << process << ": " << failed->detail << "\n";
      continue;
    }
    code = print_response(context, notice, response);
    if (code != ExitCode::kFailed) {
      return code;
    }
  }
  return code;
}

}  // namespace

void add_zone_commands(CLI::App& app, CommandContext& context) {
  CLI::App* const zone = app.add_subcommand("zone", "take a zone out of service or back in");
  zone->require_subcommand(1);
  for (const bool in_service : {false, true}) {
    CLI::App* const command =
        zone->add_subcommand(in_service ? "in" : "out", in_service ? "put a zone back into service"
                                                                   : "take a zone out of service");
    const auto options = std::make_shared<Options>();
    command->add_option("zone", options->zone, "name of the zone")->required();
    command->add_option("--operator", options->operator_name, "name of the operator")->required();
    command->add_option("--key", options->key, "file with the operator's private key")->required();
    command
        ->add_option("--process", options->processes,
                     "HTTP endpoint of any process; may be repeated")
        ->required();
    command->add_option("--serial", options->serial,
                        "serial number of the notice; default: Unix time in milliseconds");
    command->callback([&context, options, in_service] {
      run_command(context, [&] { return send_notice(context, *options, in_service); });
    });
  }
}

}  // namespace bluebellstep
