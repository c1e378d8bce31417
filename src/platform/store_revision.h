// A place in the history of the platform's store.
//
// A store that is restored from an older copy gives its revision numbers out a second time. Each
// restore therefore starts a new era, and a revision is only meaningful together with its era.

#ifndef BLUEBELLSTEP_PLATFORM_STORE_REVISION_H_
#define BLUEBELLSTEP_PLATFORM_STORE_REVISION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bluebellstep {

/** Revision of the store or of one of its objects. Revisions of a later era are greater. */
struct StoreRevision {
  std::uint64_t number = 0;  // 0 stands for an object that does not exist.
  std::uint64_t era = 0;     // Number of restores that the store has stated; 0 if it states none.

  /** Whether this is the revision of an object that does not exist. */
  constexpr bool is_absent() const { return number == 0; }

  friend constexpr bool operator==(const StoreRevision&, const StoreRevision&) = default;
  friend constexpr std::strong_ordering operator<=>(const StoreRevision& left,
                                                    const StoreRevision& right) {
    const auto eras = left.era <=> right.era;
    return eras != 0 ? eras : left.number <=> right.number;
  }
};

/** Returns the revision as NUMBER, or as ERA.NUMBER if the era is not 0. */
std::string to_string(const StoreRevision& revision);

/** Parses the result of `to_string`; nothing if the text has another format. */
std::optional<StoreRevision> parse_store_revision(std::string_view text);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PLATFORM_STORE_REVISION_H_
