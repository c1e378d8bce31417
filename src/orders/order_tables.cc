// Builds the order tables from a bundle.

#include "orders/order_tables.h"

#include <utility>
#include <vector>

namespace bluebellstep {

OrderTables::OrderTables(const Bundle& bundle) {
  for (const BundleService& service : bundle.services) {
    std::vector<OrderTableEntry> entries;
    for (const BundleOrderTable& table : service.order_tables) {
      entries.push_back({table.effective, table.upstreams});
    }
    if (!entries.empty()) {
      tables_.emplace(service.name, OrderTable(std::move(entries)));
    }
  }
}

std::optional<std::string_view> OrderTables::owner(std::string_view service,
                                                   const OrderKey& key) const {
  const auto found = tables_.find(service);
  return found == tables_.end() ? std::nullopt : found->second.owner(key);
}

}  // namespace bluebellstep
