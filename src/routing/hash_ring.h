// Consistent hash ring over upstreams.

#ifndef BLUEBELLSTEP_ROUTING_HASH_RING_H_
#define BLUEBELLSTEP_ROUTING_HASH_RING_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/id.h"

namespace bluebellstep {

/** Ring of hash points. Points derive from names, so every entry instance builds the same ring
 * whatever its local ids are. */
class HashRing {
 public:
  /** Points per member. With 64, the share of a member varies by about one eighth. */
  static constexpr std::uint64_t kPointsPerMember = 64;

  /** Adds a member, which must not be on the ring. */
  void add(UpstreamId member, std::string_view name);

  /** Removes a member; does nothing if it is not on the ring. */
  void remove(UpstreamId member);

  std::size_t point_count() const { return points_.size(); }

  /** Calls `visit(UpstreamId)` for the members of successive points from `key` on, at most once
   * around, until it returns false. A member comes up once for each of its points. */
  template <typename Visitor>
  void walk(std::uint64_t key, Visitor visit) const {
    std::size_t at = first_at_or_after(key);
    for (std::size_t step = 0; step < points_.size(); ++step, ++at) {
      if (at == points_.size()) {
        at = 0;
      }
      if (!visit(points_[at].member)) {
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

  std::size_t first_at_or_after(std::uint64_t key) const;

  std::vector<Point> points_;  // Sorted by hash.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ROUTING_HASH_RING_H_
