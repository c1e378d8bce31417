// Command `explain`: asks an entry instance how it would route a request, and why.

#include <memory>

#include "cli/command_context.h"

namespace bluebellstep {
namespace {

struct Options {
  std::string entry;
  std::string account;
  std::string service_class;
  std::string model;
  std::string service;
  std::string path;
  std::string idempotency_key;
  std::string prompt;
};

std::string query_string(const Options& options) {
  std::string query;
  const std::pair<std::string_view, const std::string&> fields[] = {
      {"account", options.account}, {"class", options.service_class},
      {"model", options.model},     {"service", options.service},
      {"path", options.path},       {"idempotency_key", options.idempotency_key},
      {"prompt", options.prompt}};
  for (const auto& [name, value] : fields) {
    if (!value.empty()) {
      query += (query.empty() ? "?" : "&") + std::string(name) + "=" + percent_encode(value);
    }
  }
  return query;
}

boost::leaf::result<ExitCode> explain(CommandContext& context, const Options& options) {
  const auto endpoint = parse_endpoint(options.entry);
  if (!endpoint || options.model.empty() == options.service.empty()) {
    return boost::leaf::new_error(CommandFailure{
        ExitCode::kBadInput, "expected --entry IP:PORT and either --model or --service"});
  }
  HttpCall call;
  call.endpoint = *endpoint;
  call.path = "/admin/explain" + query_string(options);
  const HttpClient::Response response = context.send(std::move(call));
  if (const auto* failed = std::get_if<HttpClient::Failed>(&response.outcome)) {
    return boost::leaf::new_error(
        CommandFailure{ExitCode::kFailed, options.entry + ": " + failed->detail});
  }
  if (response.status != 200) {
    const bool bad_input = response.status >= 400 && response.status < 500;
    return boost::leaf::new_error(
        CommandFailure{bad_input ? ExitCode::kBadInput : ExitCode::kFailed,
                       "status " + std::to_string(response.status) + ": " + response.body});
  }
  context.out << response.body << "\n";
  return ExitCode::kSuccess;
}

}  // namespace

void add_explain_command(CLI::App& app, CommandContext& context) {
  CLI::App* const command = app.add_subcommand("explain", "explain how a request is routed");
  const auto options = std::make_shared<Options>();
  command->add_option("--entry", options->entry, "HTTP endpoint of an entry instance")->required();
  command->add_option("--account", options->account, "client account")->required();
  command->add_option("--class", options->service_class, "service class");
  command->add_option("--model", options->model, "model, for a prompt");
  command->add_option("--service", options->service, "plain service, for a call");
  command->add_option("--path", options->path, "path of a call");
  command->add_option("--idempotency-key", options->idempotency_key, "key of an order");
  command->add_option("--prompt", options->prompt, "text of a prompt");
  command->callback(
      [&context, options] { run_command(context, [&] { return explain(context, *options); }); });
}

}  // namespace bluebellstep
