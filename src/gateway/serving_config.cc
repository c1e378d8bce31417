// Lookups of routes, accounts and services in a configuration.

#include "gateway/serving_config.h"

#include <algorithm>

namespace bluebellstep {

ServingConfig::AccountPriorities ServingConfig::account_priorities() const {
  AccountPriorities priorities;
  for (const auto& [api_key, index] : account_index_by_api_key) {
    const auto& own = accounts[index].priority;
    if (own) {
      priorities.most_urgent = std::min(*own, priorities.most_urgent.value_or(*own));
    } else {
      priorities.some_use_the_routes = true;
    }
  }
  return priorities;
}

std::int64_t ServingConfig::most_urgent_priority(const RouteRule& route,
                                                 const AccountPriorities& priorities) const {
  if (!requires_api_key(route) || !priorities.most_urgent) {
    return route.priority;
  }
  return priorities.some_use_the_routes ? std::min(route.priority, *priorities.most_urgent)
                                        : *priorities.most_urgent;
}

void ServingConfig::set_urgent_goals() {
  for (auto& [name, service] : services) {
    service.urgent_latency_goal = Duration{0};
  }
  const AccountPriorities priorities = account_priorities();
  for (const RouteRule& route : routes) {
    const std::int64_t priority = most_urgent_priority(route, priorities);
    for (const WeightedService& target : route.targets) {
      const auto service = services.find(target.service);
      if (service == services.end()) {
        continue;
      }
      ServiceInfo& info = service->second;
      const bool first = info.urgent_latency_goal == Duration{0};
      if (first || priority < info.urgent_priority) {
        info.urgent_priority = priority;
        info.urgent_latency_goal = route.latency_goal;
      } else if (priority == info.urgent_priority) {
        info.urgent_latency_goal = std::min(info.urgent_latency_goal, route.latency_goal);
      }
    }
  }
}

const RouteRule* ServingConfig::find_route(std::string_view host, std::string_view path) const {
  const RouteRule* best = nullptr;
  for (const RouteRule& route : routes) {
    if (route.host == host && path.starts_with(route.path_prefix) &&
        (best == nullptr || route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const ClientAccount* ServingConfig::find_account(std::string_view api_key) const {
  const auto found = account_index_by_api_key.find(api_key);
  return found == account_index_by_api_key.end() ? nullptr : &accounts[found->second];
}

const ServiceInfo* ServingConfig::find_service(std::string_view name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

IsolatedAccounts ServingConfig::isolated_accounts() const {
  IsolatedAccounts names;
  for (const ClientAccount& account : accounts) {
    if (account.isolated) {
      names.insert(account.name);
    }
  }
  return names;
}

}  // namespace bluebellstep
