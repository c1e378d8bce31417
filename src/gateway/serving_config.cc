// Lookups of routes, accounts and services in a configuration.

#include "gateway/serving_config.h"

namespace bluebellstep {

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

}  // namespace bluebellstep
