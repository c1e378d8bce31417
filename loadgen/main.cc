// Entry point of the load tool.

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iostream>

#include "base/log_event.h"
#include "loadgen/load_run.h"
#include "settings/common_settings.h"
#include "settings/settings_reader.h"

namespace bluebellstep::loadgen {
namespace {

struct RunOptions {
  std::string file;
  std::vector<std::string> entries;
  std::string direct;
  std::string out;
};

std::optional<Experiment> load_experiment(const std::string& path) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Experiment>> {
        BOOST_LEAF_AUTO(text, read_settings_file(path));
        BOOST_LEAF_AUTO(experiment, parse_experiment(path, text));
        return std::optional<Experiment>(std::move(experiment));
      },
      [](const SettingsErrors& errors) {
        std::cerr << errors.to_string();
        return std::optional<Experiment>();
      },
      [&] {
        std::cerr << path << ": cannot be read\n";
        return std::optional<Experiment>();
      });
}

std::optional<Targets> read_targets(const RunOptions& options) {
  Targets targets;
  for (const std::string& text : options.entries) {
    const auto endpoint = parse_endpoint(text);
    if (!endpoint) {
      return std::nullopt;
    }
    targets.entries.push_back(*endpoint);
  }
  if (!options.direct.empty()) {
    targets.direct = parse_endpoint(options.direct);
    if (!targets.direct) {
      return std::nullopt;
    }
  }
  return targets.entries.empty() && !targets.direct ? std::nullopt : std::optional(targets);
}

int run(const RunOptions& options) {
  const auto experiment = load_experiment(options.file);
  if (!experiment) {
    return 2;
  }
  const auto targets = read_targets(options);
  if (!targets) {
    std::cerr << "expected --entry IP:PORT or --direct IP:PORT\n";
    return 2;
  }
  std::ofstream out(options.out);
  LoadRun load(*experiment, *targets);
  const std::vector<RequestRecord> records = load.run();
  for (const RequestRecord& record : records) {
    out << record_line(*experiment, record) << '\n';
  }
  const std::string summary = summary_line(*experiment, records);
  out << summary << '\n';
  out.close();
  std::cout << summary << '\n';
  if (!out) {
    std::cerr << options.out << ": cannot be written\n";
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace bluebellstep::loadgen

int main(int argc, char** argv) {
  using namespace bluebellstep;
  using namespace bluebellstep::loadgen;
  start_logging(argv[0]);
  CLI::App app("bluebellstep-load: open-loop load generator for entry instances and engines");
  app.require_subcommand(1);
  RunOptions options;
  CLI::App* command = app.add_subcommand("run", "Run an experiment");
  command->add_option("file", options.file, "Experiment (YAML)")->required();
  command->add_option("--entry", options.entries, "IP:PORT of an entry instance; may be repeated");
  command->add_option("--direct", options.direct, "IP:PORT of a model engine");
  command->add_option("--out", options.out, "File for one JSON line per request")->required();
  CLI11_PARSE(app, argc, argv);
  return run(options);
}
