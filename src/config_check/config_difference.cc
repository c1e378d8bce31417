#include "config_check/config_difference.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "http/socket_address.h"

namespace bluebellstep {
namespace {

using Change = ConfigDifference::Change;

/** The properties of a part of a configuration as text, in the order of output. */
using Properties = std::vector<std::pair<std::string, std::string>>;
/** Properties by subject. A further part of the same name has a number in its subject. */
using Subjects = std::map<std::string, Properties>;

std::string in_ms(Duration duration) {
  return std::to_string(duration.ms) + " ms";
}

std::string yes_or_no(bool value) {
  return value ? "yes" : "no";
}

// Returns the shortest text that stands for the number.
std::string to_text(double number) {
  return nlohmann::json(number).dump();
}

std::string to_text(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "not idempotent";
    case RequestKind::kStream:
      return "stream";
  }
  return {};
}

void add_subject(Subjects& subjects, const std::string& name, Properties properties) {
  std::string subject = name;
  for (int i = 2; subjects.contains(subject); ++i) {
    subject = name + " (" + std::to_string(i) + ")";
  }
  subjects.emplace(std::move(subject), std::move(properties));
}

Properties properties_of(const RouteRule& route) {
  std::string targets;
  for (const WeightedService& target : route.targets) {
    targets += (targets.empty() ? "" : ", ") + target.service + " with weight " +
               std::to_string(target.weight);
  }
  return {{"host", route.host},
          {"path prefix", route.path_prefix},
          {"kind", to_text(route.kind)},
          {"timeout", in_ms(route.timeout)},
          {"latency goal", in_ms(route.latency_goal)},
          {"patience of callers of streams", in_ms(route.stream_patience)},
          {"priority", std::to_string(route.priority)},
          {"services", targets},
          {"attempts", std::to_string(route.max_attempts)},
          {"needs no key", yes_or_no(route.allows_anonymous)},
          {"resumable", yes_or_no(route.resumable)}};
}

Properties properties_of(const ServiceInfo& service) {
  Properties properties = {{"connections", std::to_string(service.max_connections)},
                           {"requests per second while cold", to_text(service.cold_requests_per_s)},
                           {"cold time", in_ms(service.cold_time)}};
  const EngineSpec engine = service.engine.value_or(EngineSpec{});
  properties.insert(properties.end(),
                    {{"model engine", yes_or_no(service.engine.has_value())},
                     {"slots", std::to_string(engine.slots)},
                     {"KV cache tokens", std::to_string(engine.kv_capacity_tokens)},
                     {"KV cache bytes per token", to_text(engine.kv_bytes_per_token)},
                     {"link bytes per ms", to_text(engine.link_bytes_per_ms)}});
  const CacheStoreSpec store = service.store.value_or(CacheStoreSpec{});
  properties.insert(properties.end(),
                    {{"address of the cache store", service.store ? to_string(store.endpoint) : ""},
                     {"zone of the cache store", store.zone},
                     {"tokens of the cache store", std::to_string(store.capacity_tokens)},
                     {"transfer setup ms of the cache store", to_text(store.transfer_setup_ms)},
                     {"link bytes per ms of the cache store", to_text(store.link_bytes_per_ms)}});
  return properties;
}

Subjects subjects_of(const ServingConfig& config) {
  Subjects subjects;
  for (const RouteRule& route : config.routes) {
    add_subject(subjects, "route " + route.name, properties_of(route));
  }
  for (const auto& [name, service] : config.services) {
    add_subject(subjects, "service " + name, properties_of(service));
  }
  if (config.lists_accounts) {
    add_subject(subjects, "list of accounts", {});
  }
  for (const ClientAccount& account : config.accounts) {
    add_subject(subjects, "account " + account.name,
                {{"priority", account.priority ? std::to_string(*account.priority) : "the route's"},
                 {"isolated", yes_or_no(account.isolated)}});
  }
  const CallerLimits& limits = config.limits;
  add_subject(subjects, "limits of callers",
              {{"header bytes", std::to_string(limits.max_header_bytes)},
               {"body bytes", std::to_string(limits.max_body_bytes)},
               {"time for a header", in_ms(limits.header_timeout)},
               {"idle time", in_ms(limits.idle_timeout)}});
  return subjects;
}

std::map<std::string, std::set<std::string>> keys_by_account(const ServingConfig& config) {
  std::map<std::string, std::set<std::string>> keys;
  for (const ClientAccount& account : config.accounts) {
    keys[account.name];  // Also accounts without keys.
  }
  for (const auto& [key, index] : config.account_index_by_api_key) {
    keys[config.accounts[index].name].insert(key);
  }
  return keys;
}

// Adds the numbers of keys of an account that only one of the two configurations has.
void compare_keys(const ServingConfig& current,
                  const ServingConfig& next,
                  std::vector<ConfigDifference>& differences) {
  const auto current_keys = keys_by_account(current);
  for (const auto& [account, keys] : keys_by_account(next)) {
    const auto before = current_keys.find(account);
    if (before == current_keys.end()) {
      continue;
    }
    std::vector<std::string> added;
    std::vector<std::string> removed;
    std::ranges::set_difference(keys, before->second, std::back_inserter(added));
    std::ranges::set_difference(before->second, keys, std::back_inserter(removed));
    if (!added.empty() || !removed.empty()) {
      differences.push_back({.subject = "account " + account,
                             .property = "keys",
                             .from = std::to_string(before->second.size()),
                             .to = std::to_string(keys.size()) + " (" +
                                   std::to_string(added.size()) + " added, " +
                                   std::to_string(removed.size()) + " removed)"});
    }
  }
}

}  // namespace

std::string ConfigDifference::to_string() const {
  if (change != Change::kChanged) {
    return subject + ": " + std::string(bluebellstep::to_string(change));
  }
  const auto shown = [](const std::string& value) { return value.empty() ? "nothing" : value; };
  return subject + ": " + property + " changed from " + shown(from) + " to " + shown(to);
}

std::string_view to_string(ConfigDifference::Change change) {
  switch (change) {
    case Change::kAdded:
      return "added";
    case Change::kRemoved:
      return "removed";
    case Change::kChanged:
      return "changed";
  }
  return {};
}

std::vector<ConfigDifference> compare_configs(const ServingConfig& current,
                                              const ServingConfig& next) {
  std::vector<ConfigDifference> differences;
  if (current.version != next.version) {
    differences.push_back({.subject = "configuration",
                           .property = "version",
                           .from = std::to_string(current.version),
                           .to = std::to_string(next.version)});
  }
  const Subjects before = subjects_of(current);
  const Subjects after = subjects_of(next);
  for (const auto& [subject, properties] : before) {
    const auto found = after.find(subject);
    if (found == after.end()) {
      differences.push_back({.change = Change::kRemoved, .subject = subject});
      continue;
    }
    for (std::size_t i = 0; i < properties.size(); ++i) {
      const auto& [property, from] = properties[i];
      const std::string& to = found->second[i].second;
      if (from != to) {
        differences.push_back({.subject = subject, .property = property, .from = from, .to = to});
      }
    }
  }
  for (const auto& [subject, properties] : after) {
    if (!before.contains(subject)) {
      differences.push_back({.change = Change::kAdded, .subject = subject});
    }
  }
  compare_keys(current, next, differences);
  if (current.isolated_accounts() != next.isolated_accounts()) {
    differences.push_back({.subject = "cached segments that accounts share",
                           .property = "use",
                           .from = "as before",
                           .to = "none, as the set of isolated accounts differs; engines prefill "
                                 "all shared segments anew"});
  }
  return differences;
}

}  // namespace bluebellstep
