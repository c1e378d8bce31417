// Insertion, removal and lookup of the points of a hash ring.

#include "routing/hash_ring.h"

#include <algorithm>

#include "base/hash.h"

namespace bluebellstep {

void HashRing::add(UpstreamId member, std::string_view name) {
  const std::uint64_t name_hash = hash64(name);
  const auto old_size = static_cast<std::ptrdiff_t>(points_.size());
  for (std::uint64_t i = 0; i < kPointsPerMember; ++i) {
    points_.push_back({combine_hashes(name_hash, i), member});
  }
  std::sort(points_.begin() + old_size, points_.end());
  std::inplace_merge(points_.begin(), points_.begin() + old_size, points_.end());
}

void HashRing::remove(UpstreamId member) {
  std::erase_if(points_, [&](const Point& point) { return point.member == member; });
}

std::size_t HashRing::index_at_or_after(std::uint64_t key) const {
  const auto found = std::ranges::lower_bound(points_, key, {}, &Point::hash);
  return static_cast<std::size_t>(found - points_.begin());
}

}  // namespace bluebellstep
