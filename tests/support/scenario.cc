// Parses and validates scenario files.

#include "tests/support/scenario.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <utility>

namespace bluebellstep::scenario {
namespace {

constexpr std::array<std::pair<std::string_view, Mechanism>, 10> kMechanisms = {{
    {"slow_start", Mechanism::kSlowStart},
    {"cold_detection", Mechanism::kColdDetection},
    {"version_check", Mechanism::kVersionCheck},
    {"account_seed", Mechanism::kAccountSeed},
    {"versioned_seed", Mechanism::kVersionedSeed},
    {"zone_check", Mechanism::kZoneCheck},
    {"pause_check", Mechanism::kPauseCheck},
    {"notice_spread", Mechanism::kNoticeSpread},
    {"leaving_check", Mechanism::kLeavingCheck},
    {"graceful_stop", Mechanism::kGracefulStop},
}};

constexpr std::array<std::pair<std::string_view, Action>, 12> kActions = {{
    {"load", Action::kLoad},
    {"zone_notice", Action::kZoneNotice},
    {"pause", Action::kPause},
    {"resume", Action::kResume},
    {"kill", Action::kKill},
    {"start", Action::kStart},
    {"drain", Action::kDrain},
    {"cut", Action::kCut},
    {"heal", Action::kHeal},
    {"go_cold", Action::kGoCold},
    {"swap", Action::kSwap},
    {"platform", Action::kPlatform},
}};

using Keys = std::set<std::string_view>;

class ScenarioReader {
 public:
  explicit ScenarioReader(const std::string& path) : path_(path) {}

  Scenario read(const YAML::Node& root) {
    check_keys(root, {"promise", "seeds", "run_ms", "jitter_ms", "entries", "sidecars", "network",
                      "steps", "checks", "fails_without"});
    Scenario scenario;
    scenario.path = path_;
    scenario.promise = value<int>(root, "promise");
    scenario.seeds = value<std::uint64_t>(root, "seeds");
    scenario.run_time = duration(root, "run_ms");
    if (root["jitter_ms"]) {
      scenario.jitter = duration(root, "jitter_ms");
    }
    scenario.entries = value<std::uint32_t>(root, "entries");
    for (const YAML::Node& sidecar : member(root, "sidecars")) {
      check_keys(sidecar, {"name", "zone"});
      scenario.sidecars.push_back(
          {value<std::string>(sidecar, "name"), value<std::string>(sidecar, "zone")});
    }
    read_network(root["network"], scenario.network);
    for (const YAML::Node& step : member(root, "steps")) {
      scenario.steps.push_back(read_step(step, scenario));
    }
    read_checks(member(root, "checks"), scenario.checks);
    for (const YAML::Node& name : member(root, "fails_without")) {
      scenario.fails_without.push_back(find_by_name(kMechanisms, name, "mechanism"));
    }
    return scenario;
  }

 private:
  [[noreturn]] void fail(const YAML::Node& node, const std::string& problem) const {
    throw ScenarioError(path_ + ":" + std::to_string(node.Mark().line + 1) + ": " + problem);
  }

  void check_keys(const YAML::Node& map, const Keys& known) const {
    if (!map.IsMap()) {
      fail(map, "a mapping is expected");
    }
    Keys seen;
    for (const auto& item : map) {
      const auto found = known.find(item.first.Scalar());
      if (found == known.end()) {
        fail(item.first, "unknown key '" + item.first.Scalar() + "'");
      }
      if (!seen.insert(*found).second) {
        fail(item.first, "key '" + item.first.Scalar() + "' appears twice");
      }
    }
  }

  YAML::Node member(const YAML::Node& map, const std::string& key) const {
    const YAML::Node node = map[key];
    if (!node) {
      fail(map, "key '" + key + "' is missing");
    }
    return node;
  }

  template <typename Value>
  Value as(const YAML::Node& node) const {
    try {
      return node.as<Value>();
    } catch (const YAML::Exception&) {
      fail(node, "'" + (node.IsScalar() ? node.Scalar() : "...") + "' has the wrong type");
    }
  }

  template <typename Value>
  Value value(const YAML::Node& map, const std::string& key) const {
    return as<Value>(member(map, key));
  }

  Duration duration(const YAML::Node& map, const std::string& key) const {
    return {value<std::int64_t>(map, key)};
  }

  template <typename Table>
  typename Table::value_type::second_type find_by_name(const Table& table,
                                                       const YAML::Node& name,
                                                       const std::string& kind) const {
    const auto found = std::find_if(table.begin(), table.end(),
                                    [&](const auto& row) { return row.first == name.Scalar(); });
    if (found == table.end()) {
      fail(name, "unknown " + kind + " '" + name.Scalar() + "'");
    }
    return found->second;
  }

  void read_network(const YAML::Node& node, NetworkSpec& network) const {
    if (!node) {
      return;
    }
    check_keys(node, {"min_ms", "max_ms", "loss"});
    network = {duration(node, "min_ms"), duration(node, "max_ms"), value<double>(node, "loss")};
    if (network.min_delay > network.max_delay) {
      fail(node, "min_ms is above max_ms");
    }
  }

  Step read_step(const YAML::Node& node, const Scenario& scenario) const {
    if (!node.IsMap() || node.size() != 2) {
      fail(node, "a step has 'at_ms' and one action");
    }
    Step step;
    step.at = {duration(node, "at_ms").ms};
    step.line = node.Mark().line + 1;
    for (const auto& item : node) {
      if (item.first.Scalar() != "at_ms") {
        step.action = find_by_name(kActions, item.first, "action");
        read_action(item.second, scenario, step);
      }
    }
    return step;
  }

  void read_action(const YAML::Node& node, const Scenario& scenario, Step& step) const {
    switch (step.action) {
      case Action::kLoad:
        check_keys(node, {"every_ms", "prompt_blocks", "max_tokens"});
        step.load = {duration(node, "every_ms"), value<std::uint32_t>(node, "prompt_blocks"),
                     value<std::uint32_t>(node, "max_tokens")};
        return;
      case Action::kZoneNotice:
        check_keys(node, {"zone", "state", "to"});
        step.target = value<std::string>(node, "zone");
        step.value = one_of(member(node, "state"), {"in", "out"});
        step.other = read_process(member(node, "to"), scenario);
        return;
      case Action::kCut:
      case Action::kHeal:
        if (!node.IsSequence() || node.size() != 2) {
          fail(node, "a list of two processes is expected");
        }
        step.target = read_process(node[0], scenario);
        step.other = read_process(node[1], scenario);
        return;
      case Action::kSwap:
        check_keys(node, {"sidecar", "version"});
        step.target = read_sidecar(member(node, "sidecar"), scenario);
        step.value = value<std::string>(node, "version");
        return;
      case Action::kPlatform:
        step.value = one_of(node, {"up", "down"});
        return;
      case Action::kDrain:
      case Action::kGoCold:
        step.target = read_sidecar(node, scenario);
        return;
      default:
        step.target = read_process(node, scenario);
    }
  }

  // Returns the scalar if it is one of `values`.
  std::string one_of(const YAML::Node& node, const Keys& values) const {
    if (!values.contains(node.Scalar())) {
      fail(node, "'" + node.Scalar() + "' is not a value of this key");
    }
    return node.Scalar();
  }

  static bool is_sidecar(const std::string& name, const Scenario& scenario) {
    return std::any_of(scenario.sidecars.begin(), scenario.sidecars.end(),
                       [&](const SidecarSpec& spec) { return spec.name == name; });
  }

  // Returns the name of a sidecar of the scenario.
  std::string read_sidecar(const YAML::Node& node, const Scenario& scenario) const {
    const std::string name = as<std::string>(node);
    if (!is_sidecar(name, scenario)) {
      fail(node, "unknown sidecar '" + name + "'");
    }
    return name;
  }

  // Returns the name of a sidecar or an entry instance of the scenario.
  std::string read_process(const YAML::Node& node, const Scenario& scenario) const {
    const std::string name = as<std::string>(node);
    bool known = is_sidecar(name, scenario);
    for (std::uint32_t i = 1; i <= scenario.entries; ++i) {
      known = known || name == "entry-" + std::to_string(i);
    }
    if (!known) {
      fail(node, "unknown process '" + name + "'");
    }
    return name;
  }

  void read_checks(const YAML::Node& node, Checks& checks) const {
    check_keys(node, {"answered_at_least", "falls_at_most", "versions_apart", "accounts_apart",
                      "zone_out_within_ms", "leaving_within_ms", "graceful"});
    if (node["answered_at_least"]) {
      checks.answered_at_least = value<std::uint64_t>(node, "answered_at_least");
    }
    if (node["falls_at_most"]) {
      checks.falls_at_most = value<std::uint64_t>(node, "falls_at_most");
    }
    if (node["zone_out_within_ms"]) {
      checks.zone_out_within = duration(node, "zone_out_within_ms");
    }
    if (node["leaving_within_ms"]) {
      checks.leaving_within = duration(node, "leaving_within_ms");
    }
    checks.versions_apart = node["versions_apart"] && value<bool>(node, "versions_apart");
    checks.accounts_apart = node["accounts_apart"] && value<bool>(node, "accounts_apart");
    checks.graceful = node["graceful"] && value<bool>(node, "graceful");
  }

  std::string path_;
};

}  // namespace

Scenario parse_scenario(const std::string& path, const std::string& text) {
  try {
    return ScenarioReader(path).read(YAML::Load(text));
  } catch (const YAML::Exception& error) {
    throw ScenarioError(path + ":" + std::to_string(error.mark.line + 1) + ": " + error.msg);
  }
}

Scenario load_scenario(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw ScenarioError(path + ":0: the file cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parse_scenario(path, text.str());
}

std::string_view to_string(Mechanism mechanism) {
  const auto found = std::find_if(kMechanisms.begin(), kMechanisms.end(),
                                  [&](const auto& row) { return row.second == mechanism; });
  return found == kMechanisms.end() ? "none" : found->first;
}

}  // namespace bluebellstep::scenario
