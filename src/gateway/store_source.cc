// Ranks the gateways of a zone and excludes those that failed.

#include "gateway/store_source.h"

#include <algorithm>
#include <tuple>

#include "http/socket_address.h"

namespace bluebellstep {

namespace {

// Whether `a` ranks before `b`. Gateways with fast links come first: each sends changes to all that
// follow it.
bool ranks_before(const StoreSource::Gateway& a, const StoreSource::Gateway& b) {
  return std::tie(b.link_mbps, a.name) < std::tie(a.link_mbps, b.name);
}

}  // namespace

void StoreSource::set_gateways(const std::vector<Gateway>& gateways) {
  const Gateway* first = nullptr;
  const Gateway* first_of_zone = nullptr;
  for (const Gateway& gateway : gateways) {
    if (first == nullptr || ranks_before(gateway, *first)) {
      first = &gateway;
    }
    if (gateway.zone == own_zone_ &&
        (first_of_zone == nullptr || ranks_before(gateway, *first_of_zone))) {
      first_of_zone = &gateway;
    }
  }
  readers_.clear();
  if (first == nullptr || first->name == own_name_) {
    return;
  }
  if (first_of_zone != nullptr && first_of_zone != first && first_of_zone->name != own_name_) {
    readers_.push_back(first_of_zone->endpoint);
  }
  readers_.push_back(first->endpoint);
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
