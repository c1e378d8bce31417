// Tracks reports of registered gateways and selects registrations to remove.

#include "gateway/gateway_membership.h"

#include <algorithm>
#include <cstddef>

#include "base/hash.h"

namespace bluebellstep {

void GatewayMembership::set_registered(const std::set<std::string, std::less<>>& names,
                                       Instant now) {
  std::map<std::string, Gateway, std::less<>> next;
  for (const std::string& name : names) {
    const auto known = registered_.find(name);
    next.emplace(name, known == registered_.end() ? Gateway{.registered_at = now} : known->second);
  }
  registered_ = std::move(next);
  was_registered_ = was_registered_ || registered_.contains(own_name_);
}

void GatewayMembership::on_report(std::string_view name, Instant now) {
  if (const auto gateway = registered_.find(name); gateway != registered_.end()) {
    gateway->second.last_report_at = now;
  }
}

std::size_t GatewayMembership::own_rank(std::uint64_t key_hash) const {
  const std::uint64_t own_score = rendezvous_score(key_hash, hash64(own_name_));
  return static_cast<std::size_t>(
      std::count_if(registered_.begin(), registered_.end(), [&](const auto& gateway) {
        return rendezvous_score(key_hash, hash64(gateway.first)) > own_score;
      }));
}

std::vector<std::string> GatewayMembership::registrations_to_remove(Instant now) const {
  std::vector<std::string> names;
  std::size_t live_peers = 0;
  bool is_first = true;
  for (const auto& [name, gateway] : registered_) {
    if (name == own_name_) {
      continue;
    }
    const Instant last_seen_at =
        std::max(gateway.registered_at, gateway.last_report_at.value_or(Instant{}));
    if (gateway.last_report_at && now < *gateway.last_report_at + kReportTimeout) {
      ++live_peers;
      is_first = is_first && own_name_ < name;
    } else if (now >= last_seen_at + kRemovalTimeout) {
      names.push_back(name);
    }
  }
  const std::size_t peers = registered_.size() - (registered_.contains(own_name_) ? 1 : 0);
  return is_first && 2 * live_peers > peers ? names : std::vector<std::string>{};
}

}  // namespace bluebellstep
