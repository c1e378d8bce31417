// Registered gateways and when they were heard.

#include "gateway/gateway_membership.h"

#include <algorithm>
#include <cstddef>

namespace bluebellstep {

void GatewayMembership::set_registered(const std::set<std::string, std::less<>>& names,
                                       Instant now) {
  std::map<std::string, Gateway, std::less<>> next;
  for (const std::string& name : names) {
    const auto known = registered_.find(name);
    next.emplace(name, known == registered_.end() ? Gateway{.registered_at = now} : known->second);
  }
  registered_ = std::move(next);
  registered_before_ = registered_before_ || registered_.contains(own_name_);
}

void GatewayMembership::heard(std::string_view name, Instant now) {
  if (const auto gateway = registered_.find(name); gateway != registered_.end()) {
    gateway->second.heard_at = now;
  }
}

std::vector<std::string> GatewayMembership::gone(Instant now) const {
  std::vector<std::string> names;
  std::size_t alive = 0;
  bool first = true;
  for (const auto& [name, gateway] : registered_) {
    if (name == own_name_) {
      continue;
    }
    const Instant last = std::max(gateway.registered_at, gateway.heard_at.value_or(Instant{}));
    if (gateway.heard_at && now < *gateway.heard_at + kAliveWithin) {
      ++alive;
      first = first && own_name_ < name;
    } else if (now >= last + kGoneAfter) {
      names.push_back(name);
    }
  }
  const std::size_t others = registered_.size() - (registered_.contains(own_name_) ? 1 : 0);
  return first && 2 * alive > others ? names : std::vector<std::string>{};
}

}  // namespace bluebellstep
