// Consistent hash ring over upstreams.

#ifndef BLUEBELLSTEP_ROUTING_HASH_RING_H_
#define BLUEBELLSTEP_ROUTING_HASH_RING_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/id.h"

namespace bluebellstep {

/** Consistent hash ring. The positions of its points are hashes of member names, so every entry
 * instance builds the same ring whatever its local ids are. */
class HashRing {
 public:
  /** Points per member. With 64, the part of the ring that a member covers varies by about one
   * eighth. */
  static constexpr std::uint64_t kPointsPerMember = 64;

  /** Adds a member, which must not be on the ring. */
  void add(UpstreamId member, std::string_view name);

  /** Removes a member; does nothing if it is not on the ring. */
  void remove(UpstreamId member);

  std::size_t point_count() const { return points_.size(); }

  /** Calls `visit(UpstreamId)` with the member of each point in ring order, starting at the first
   * point at or after `key`, until `visit` returns false or all points were visited. A member is
   * visited once for each of its points. */
  template <typename Visitor>
  void walk(std::uint64_t key, Visitor visit) const {
    std::size_t index = index_at_or_after(key);
    for (std::size_t step = 0; step < points_.size(); ++step, ++index) {
      if (index == points_.size()) {
        index = 0;
      }
      if (!visit(points_[index].member)) {
        return;
      }
    }
  }

 private:
  struct Point {
    std::uint64_t hash;
    UpstreamId member;

    auto operator<=>(const Point&) const = default;
  };

  std::size_t index_at_or_after(std::uint64_t key) const;

  std::vector<Point> points_;  // Sorted by hash.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ROUTING_HASH_RING_H_
