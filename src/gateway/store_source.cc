// Ranks the gateways of a zone and excludes those that failed.

#include "gateway/store_source.h"

#include <algorithm>
#include <tuple>

#include "http/socket_address.h"

namespace bluebellstep {

void StoreSource::set_gateways(const std::vector<Gateway>& gateways) {
  std::vector<const Gateway*> zone;
  for (const Gateway& gateway : gateways) {
    if (gateway.zone == own_zone_) {
      zone.push_back(&gateway);
    }
  }
  // Gateways with fast links first: a reader sends each change to all its followers.
  std::sort(zone.begin(), zone.end(), [](const Gateway* a, const Gateway* b) {
    return std::tie(b->link_mbps, a->name) < std::tie(a->link_mbps, b->name);
  });
  zone.resize(std::min(zone.size(), kReadersPerZone));
  readers_.clear();
  for (const Gateway* gateway : zone) {
    if (gateway->name == own_name_) {
      return;
    }
    readers_.push_back(gateway->endpoint);
  }
}

std::optional<Endpoint> StoreSource::reader(Instant now) const {
  for (const Endpoint& reader : readers_) {
    const auto excluded = excluded_until_.find(to_string(reader));
    if (excluded == excluded_until_.end() || now >= excluded->second) {
      return reader;
    }
  }
  return std::nullopt;
}

void StoreSource::record_failure(const Endpoint& reader, Instant now) {
  std::erase_if(excluded_until_, [now](const auto& item) { return now >= item.second; });
  excluded_until_[to_string(reader)] = now + kExclusion;
}

}  // namespace bluebellstep
