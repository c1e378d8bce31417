// Selects the table entry by the key's creation time, and the owner by rendezvous hashing.

#include "orders/order_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/hash.h"

namespace bluebellstep {

OrderTable::OrderTable(std::vector<OrderTableEntry> entries) : entries_(std::move(entries)) {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    assert(!entries_[i].upstreams.empty());
    assert(i == 0 || entries_[i - 1].effective < entries_[i].effective);
  }
}

const OrderTableEntry* OrderTable::find_entry(const OrderKey& key) const {
  if (!key.creation_time()) {
    return entries_.empty() ? nullptr : &entries_.back();
  }
  const auto after = std::upper_bound(entries_.begin(), entries_.end(), *key.creation_time(),
                                      [](Instant creation_time, const OrderTableEntry& entry) {
                                        return creation_time < entry.effective;
                                      });
  return after == entries_.begin() ? nullptr : &*std::prev(after);
}

std::optional<std::string_view> OrderTable::owner(const OrderKey& key) const {
  const OrderTableEntry* const entry = find_entry(key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  // Equal scores are decided by name, so that the result does not depend on the order of the list.
  std::pair<std::uint64_t, std::string_view> best{0, {}};
  for (const std::string& upstream : entry->upstreams) {
    best = std::max(best, {rendezvous_score(key.digest().low, hash64(upstream)), upstream});
  }
  return best.second;
}

std::optional<std::string> OrderTable::find_succession_error(const OrderTable& next,
                                                             Instant wall_now) const {
  if (next.entries_.size() < entries_.size() ||
      !std::equal(entries_.begin(), entries_.end(), next.entries_.begin())) {
    return "an existing order table was changed or removed; tables may only be appended";
  }
  for (std::size_t i = entries_.size(); i < next.entries_.size(); ++i) {
    if (next.entries_[i].effective < wall_now + kMinLeadTime) {
      return "a new order table must take effect at least 30 s from now";
    }
  }
  return std::nullopt;
}

}  // namespace bluebellstep
