#include "config_check/config_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <variant>

#include "platform/config_fields.h"
#include "platform/object_format.h"

namespace bluebellstep {
namespace {

// Each gateway opens at least so many connections to an upstream if it needs them, whatever its
// part of the limit is; see `UpstreamPool::connection_limit`.
constexpr std::size_t kMinConnections = 2;

std::string in_ms(Duration duration) {
  return std::to_string(duration.ms) + " ms";
}

/** Collects findings on a decoded configuration. */
class Checker {
 public:
  Checker(const ServingConfig& config,
          const DeploymentFacts& facts,
          std::vector<ConfigFinding>& findings)
      : config_(config), facts_(facts), findings_(findings) {}

  void run() {
    check_matches();
    for (const RouteRule& route : config_.routes) {
      check_targets(route);
      check_times(route);
    }
    check_services();
    check_accounts();
    if (config_.limits.max_header_bytes > config_.limits.max_body_bytes) {
      add("the limit of a header", "(" + std::to_string(config_.limits.max_header_bytes) +
                                       " bytes) is above that of a body (" +
                                       std::to_string(config_.limits.max_body_bytes) + " bytes)");
    }
  }

 private:
  void add(std::string subject, std::string problem) {
    findings_.push_back({.subject = std::move(subject), .problem = std::move(problem)});
  }

  void check_matches() {
    std::map<std::pair<std::string_view, std::string_view>, std::string_view> first_routes;
    std::set<std::string_view> names;
    for (const RouteRule& route : config_.routes) {
      const std::string subject = "route " + route.name;
      if (!names.insert(route.name).second) {
        add(subject, "has the name of another route; logs and metrics show them as one");
      }
      const auto [first, is_new] =
          first_routes.try_emplace({route.host, route.path_prefix}, route.name);
      if (!is_new) {
        add(subject, "never matches, since route " + std::string(first->second) +
                         " before it has the same host and path prefix");
      }
      check_pattern(route, subject);
    }
  }

  // Paths of requests begin with a slash and are compared without their query, hosts without port.
  void check_pattern(const RouteRule& route, const std::string& subject) {
    const std::string& prefix = route.path_prefix;
    const std::string quoted = "\"" + prefix + "\"";
    if (!prefix.starts_with('/')) {
      add(subject, "never matches, since its path prefix " + quoted + " begins with no slash");
    } else if (prefix.find_first_of("?# \t\r\n") != std::string::npos) {
      add(subject, "never matches, since no path can contain a character of its prefix " + quoted);
    } else if (!prefix.ends_with('/')) {
      add(subject,
          "also matches longer names, since its path prefix " + quoted + " ends with no slash");
    }
    if (route.host.empty() || route.host.find_first_of(":/ \t\r\n") != std::string::npos) {
      add(subject, "never matches, since no request has the host \"" + route.host + "\"");
    }
  }

  void check_targets(const RouteRule& route) {
    const std::string subject = "route " + route.name;
    std::uint64_t weights = 0;
    for (const WeightedService& target : route.targets) {
      weights += target.weight;
      const ServiceInfo* service = config_.find_service(target.service);
      if (service == nullptr) {
        add(subject, "leads to the unknown service " + target.service);
      } else if (service->store) {
        add(subject, "leads to " + target.service + ", a cache store, which answers no requests");
      }
    }
    if (weights == 0) {
      add(subject, "leads nowhere, since the weights of its services sum to 0");
    }
  }

  void check_times(const RouteRule& route) {
    const std::string subject = "route " + route.name;
    if (route.latency_goal > route.timeout) {
      add(subject, "has a latency goal (" + in_ms(route.latency_goal) + ") above its timeout (" +
                       in_ms(route.timeout) + ")");
    }
    if (facts_.stop_limit && route.timeout > *facts_.stop_limit) {
      add(subject, "has a timeout (" + in_ms(route.timeout) + ") above the stop limit (" +
                       in_ms(*facts_.stop_limit) + "); its requests are refused during a stop");
    }
  }

  void check_services() {
    std::set<std::string_view> targets;
    for (const RouteRule& route : config_.routes) {
      for (const WeightedService& target : route.targets) {
        targets.insert(target.service);
      }
    }
    std::map<std::string_view, const ServiceInfo*> services;  // Sorted, for the same output always.
    for (const auto& [name, service] : config_.services) {
      services.emplace(name, &service);
    }
    for (const auto& [name, service] : services) {
      if (service->store) {
        continue;
      }
      const std::string subject = "service " + service->name;
      const std::string limit =
          std::to_string(service->max_connections) + " connections to each upstream";
      if (!targets.contains(name)) {
        add(subject, "has no route");
      }
      if (service->max_connections == 0) {
        add(subject, "has no limit of connections above 0");
      } else if (facts_.gateways && service->max_connections < *facts_.gateways * kMinConnections) {
        add(subject, "allows " + limit + ", too few for " + std::to_string(*facts_.gateways) +
                         " gateways, each of which may use " + std::to_string(kMinConnections));
      }
      if (service->engine && service->max_connections < service->engine->slots) {
        add(subject, "allows " + limit + ", fewer than its " +
                         std::to_string(service->engine->slots) + " slots");
      }
    }
  }

  void check_accounts() {
    if (config_.lists_accounts && config_.account_index_by_api_key.empty()) {
      add("the list of accounts", "has no key, so that only anonymous requests can be served");
    }
    std::vector<std::size_t> keys(config_.accounts.size());
    for (const auto& [key, index] : config_.account_index_by_api_key) {
      ++keys[index];
      if (key.empty()) {
        add("account " + config_.accounts[index].name, "has an empty key");
      }
    }
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < keys.size(); ++i) {
      const std::string subject = "account " + config_.accounts[i].name;
      if (keys[i] == 0) {
        add(subject, "has no key of its own, so that no request can belong to it");
      }
      if (!names.insert(config_.accounts[i].name).second) {
        add(subject, "has the name of another account");
      }
    }
  }

  const ServingConfig& config_;
  const DeploymentFacts& facts_;
  std::vector<ConfigFinding>& findings_;
};

}  // namespace

std::string ConfigFinding::to_string() const {
  const std::string position =
      line == 0 ? "" : std::to_string(line) + ":" + std::to_string(column) + ": ";
  return position + subject + " " + problem;
}

ConfigReport check_config(std::string_view content, const DeploymentFacts& facts) {
  ConfigReport report;
  const platform::ConfigText text = platform::inspect_config(content);
  for (const platform::FieldFault& fault : text.faults) {
    report.findings.push_back({.subject = fault.field.empty() ? "the text" : fault.field,
                               .line = fault.line,
                               .column = fault.column,
                               .problem = fault.problem});
  }
  auto decoded = platform::decode_config(content);
  if (const auto* error = std::get_if<platform::DecodeError>(&decoded)) {
    report.findings.push_back(
        {.subject = "the configuration", .problem = "is refused by gateways: " + error->reason});
    return report;
  }
  report.config = std::get<ServingConfig>(std::move(decoded));
  for (const std::string& service : text.repeated_services) {
    report.findings.push_back(
        {.subject = "service " + service, .problem = "is listed twice; only the first is used"});
  }
  for (const platform::SharedKey& key : text.shared_keys) {
    report.findings.push_back(
        {.subject = "account " + key.account,
         .problem = "has as key " + std::to_string(key.position) + " a key that account " +
                    key.later_account + " has as well, and requests with it belong to the latter"});
  }
  Checker(*report.config, facts, report.findings).run();
  return report;
}

}  // namespace bluebellstep
