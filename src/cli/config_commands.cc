// Commands on the configuration of gateways.

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "base/json_text.h"
#include "cli/command_context.h"
#include "config_check/config_check.h"
#include "config_check/config_difference.h"
#include "platform/object_format.h"
#include "settings/gateway_settings.h"

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr Duration kStoreTimeout{2000};

struct Options {
  std::string file;
  std::string against;
  bool in_force = false;
  std::string store;
  std::string settings;
  std::size_t gateways = 0;
  bool json = false;
};

/** The version to compare with. */
struct Reference {
  std::string name;  // For messages.
  std::string content;
};

platform::StoreAnswer send(CommandContext& context, platform::StoreCall call) {
  return {.response = context.send(std::move(call.call))};
}

// Reads the configuration in force; nothing if the store has none.
boost::leaf::result<std::optional<Reference>> read_in_force(CommandContext& context,
                                                            const Endpoint& store) {
  const auto result = platform::decode_read(
      send(context, platform::read_call(store, platform::ObjectKind::kConfiguration,
                                        platform::config_object_name(), kStoreTimeout)));
  if (const auto* unavailable = std::get_if<PlatformUnavailable>(&result)) {
    return boost::leaf::new_error(*unavailable);
  }
  const auto& object = std::get<std::optional<PlatformObject>>(result);
  if (!object) {
    context.err << "the store has no configuration\n";
    return std::nullopt;
  }
  return Reference{"the configuration in force", object->value};
}

// Returns the number of registered gateways.
boost::leaf::result<std::size_t> count_gateways(CommandContext& context, const Endpoint& store) {
  std::size_t count = 0;
  std::optional<std::string> after = "";
  while (after) {
    const auto result = platform::decode_page(
        send(context,
             platform::list_call(store, platform::ObjectKind::kGateways, *after, kStoreTimeout)));
    if (const auto* unavailable = std::get_if<PlatformUnavailable>(&result)) {
      return boost::leaf::new_error(*unavailable);
    }
    const auto& page = std::get<platform::ObjectPage>(result);
    count += page.objects.size();
    after = page.continue_after;
  }
  return count;
}

/** What the command reports. */
struct Output {
  ConfigReport report;
  std::vector<ConfigDifference> differences;
  bool differs_elsewhere = false;  // Only in fields that gateways do not use.
};

Json to_json(const Options& options, const Output& output) {
  Json findings = Json::array();
  for (const ConfigFinding& finding : output.report.findings) {
    Json item = {{"subject", finding.subject}, {"problem", finding.problem}};
    if (finding.line > 0) {
      item["line"] = finding.line;
      item["column"] = finding.column;
    }
    findings.push_back(std::move(item));
  }
  Json differences = Json::array();
  for (const ConfigDifference& difference : output.differences) {
    Json item = {{"change", to_string(difference.change)}, {"subject", difference.subject}};
    if (difference.change == ConfigDifference::Change::kChanged) {
      item.update(
          {{"property", difference.property}, {"from", difference.from}, {"to", difference.to}});
    }
    differences.push_back(std::move(item));
  }
  return {{"file", options.file},
          {"readable", output.report.config.has_value()},
          {"findings", std::move(findings)},
          {"differences", std::move(differences)},
          {"differs_in_unused_fields", output.differs_elsewhere}};
}

void print(CommandContext& context, const Options& options, const Output& output) {
  if (options.json) {
    // Parts of a text that is no UTF-8 are replaced.
    context.out << to_json(options, output).dump(2, ' ', false, Json::error_handler_t::replace)
                << "\n";
    return;
  }
  for (const ConfigFinding& finding : output.report.findings) {
    context.out << options.file << ":" << (finding.line == 0 ? " " : "") << finding.to_string()
                << "\n";
  }
  for (const ConfigDifference& difference : output.differences) {
    context.out << difference.to_string() << "\n";
  }
  if (output.differs_elsewhere) {
    context.out << "the versions differ only in fields that gateways do not use\n";
  }
  if (output.report.findings.empty()) {
    context.out << options.file << ": no findings, version " << output.report.config->version
                << "\n";
  }
}

boost::leaf::result<ExitCode> check(CommandContext& context, const Options& options) {
  const auto store = parse_endpoint(options.store);
  if (options.in_force != store.has_value() || (options.in_force && !options.against.empty())) {
    return boost::leaf::new_error(CommandFailure{
        ExitCode::kBadInput, "expected --against FILE, or --in-force with --store IP:PORT"});
  }
  BOOST_LEAF_AUTO(content, read_settings_file(options.file));
  DeploymentFacts facts;
  std::optional<Reference> reference;
  if (!options.against.empty()) {
    BOOST_LEAF_AUTO(text, read_settings_file(options.against));
    reference = Reference{options.against, text};
  }
  if (store) {
    BOOST_LEAF_ASSIGN(reference, read_in_force(context, *store));
    BOOST_LEAF_ASSIGN(facts.gateways, count_gateways(context, *store));
  }
  if (options.gateways > 0) {
    facts.gateways = options.gateways;
  }
  if (!options.settings.empty()) {
    BOOST_LEAF_AUTO(settings, load_gateway_settings(options.settings));
    facts.stop_limit = settings.bounds.stop_limit;
  }
  Output output{.report = check_config(content, facts)};
  if (reference && output.report.config) {
    const auto current = platform::decode_config(reference->content);
    if (const auto* error = std::get_if<platform::DecodeError>(&current)) {
      return boost::leaf::new_error(CommandFailure{
          ExitCode::kBadInput, reference->name + " cannot be decoded: " + error->reason});
    }
    output.differences = compare_configs(std::get<ServingConfig>(current), *output.report.config);
    output.differs_elsewhere =
        output.differences.empty() && parse_json(reference->content) != parse_json(content);
  }
  print(context, options, output);
  if (!output.report.config) {
    return ExitCode::kBadInput;
  }
  return output.report.findings.empty() ? ExitCode::kSuccess : ExitCode::kFailed;
}

}  // namespace

void add_config_commands(CLI::App& app, CommandContext& context) {
  CLI::App* const config = app.add_subcommand("config", "work on the configuration of gateways");
  config->require_subcommand(1);
  CLI::App* const command = config->add_subcommand("check", "check a configuration");
  const auto options = std::make_shared<Options>();
  command->add_option("file", options->file, "file with the configuration as JSON")->required();
  command->add_option("--against", options->against, "file with the version to compare with");
  command->add_flag("--in-force", options->in_force, "compare with the version in the store");
  command->add_option("--store", options->store, "endpoint of the metadata store");
  command->add_option("--settings", options->settings,
                      "settings of a gateway, to check time limits against its stop");
  command->add_option("--gateways", options->gateways,
                      "number of gateways, to check limits that they share");
  command->add_flag("--json", options->json, "print JSON");
  command->callback(
      [&context, options] { run_command(context, [&] { return check(context, *options); }); });
}

}  // namespace bluebellstep
