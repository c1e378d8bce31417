// Fencing numbers that no two holders of a lease ever share, whatever the store forgets.
//
// A store that was restored from an older copy has lost the last acquisitions. A number counted up
// from its content alone would be given out a second time. A fencing number therefore starts with
// the era of the store, so that it rises across restores.
//
// Within an era, a late write of an earlier one may replace the object that tells the last number.
// After a restore the count is therefore above the revision number of the object that the
// acquisition replaces, which rises with each write. Before the first restore, or if the store
// states no era, the number ends with a hash of the holder instead, so that two holders differ even
// if the store was restored unnoticed.

#ifndef BLUEBELLSTEP_COMMANDS_FENCING_NUMBER_H_
#define BLUEBELLSTEP_COMMANDS_FENCING_NUMBER_H_

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "base/hash.h"

namespace bluebellstep {

/** The parts of a fencing number, from the most significant one on. */
struct FencingNumber {
  // 53 bits in all, since receivers may read JSON numbers as floating-point numbers. The holder has
  // its bits in era 0 only; in all others they belong to the count.
  static constexpr unsigned kEraBits = 12;
  static constexpr unsigned kCountBits = 24;
  static constexpr unsigned kHolderBits = 17;

  std::uint64_t era = 0;     // Of the store in which the lease was acquired.
  std::uint64_t count = 0;   // Rises with each acquisition in this era.
  std::uint64_t holder = 0;  // Hash of the holder; 0 after the first restore.

  static constexpr FencingNumber decode(std::uint64_t number) {
    const std::uint64_t era = number >> (kCountBits + kHolderBits);
    const std::uint64_t rest = number & mask(kCountBits + kHolderBits);
    return era > 0
               ? FencingNumber{.era = era, .count = rest}
               : FencingNumber{.count = rest >> kHolderBits, .holder = rest & mask(kHolderBits)};
  }

  /** Returns the number of the next acquisition by `holder` in `era`.
   *
   * @param highest   The highest number known to have been used; 0 if none is known.
   * @param replaced  Revision number of the object that the acquisition replaces; 0 if none.
   */
  static FencingNumber next(std::uint64_t era,
                            std::uint64_t highest,
                            std::string_view holder,
                            std::uint64_t replaced) {
    const FencingNumber known = decode(highest);
    // A process that does not know of the era of an earlier number must not go below it.
    const std::uint64_t limited_era = std::max(limit(era), known.era);
    const std::uint64_t count = known.era == limited_era ? known.count + 1 : 1;
    if (limited_era == 0) {
      return {.count = std::min(count, mask(kCountBits)),
              .holder = hash64(holder) & mask(kHolderBits)};
    }
    return {.era = limited_era,
            .count = std::min(std::max(count, replaced + 1), mask(kCountBits + kHolderBits))};
  }

  /** The era as it appears in a number. Eras above the largest one count as that one. */
  static constexpr std::uint64_t limit(std::uint64_t era) { return std::min(era, mask(kEraBits)); }

  constexpr std::uint64_t encode() const {
    const std::uint64_t rest = era > 0 ? count : (count << kHolderBits) | holder;
    return (era << (kCountBits + kHolderBits)) | rest;
  }

 private:
  static constexpr std::uint64_t mask(unsigned bits) { return (std::uint64_t{1} << bits) - 1; }
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_COMMANDS_FENCING_NUMBER_H_
