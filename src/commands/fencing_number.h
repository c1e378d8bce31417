// Fencing numbers that no two holders of a lease ever share, whatever the store forgets.
//
// A store that was restored from an older copy has lost the last acquisitions. A number counted up
// from its content alone would be given out a second time. A fencing number therefore starts with
// the era of the store, so that it rises across restores, and ends with a hash of the holder, so
// that two holders differ even if the store states no era.

#ifndef BLUEBELLSTEP_COMMANDS_FENCING_NUMBER_H_
#define BLUEBELLSTEP_COMMANDS_FENCING_NUMBER_H_

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "base/hash.h"

namespace bluebellstep {

/** The parts of a fencing number, from the most significant one on. */
struct FencingNumber {
  // 53 bits in all, since receivers may read JSON numbers as floating-point numbers.
  static constexpr unsigned kEraBits = 12;
  static constexpr unsigned kCountBits = 24;
  static constexpr unsigned kHolderBits = 17;

  std::uint64_t era = 0;     // Of the store in which the lease was acquired.
  std::uint64_t count = 0;   // Of acquisitions in this era, from 1.
  std::uint64_t holder = 0;  // Hash of the holder.

  static constexpr FencingNumber decode(std::uint64_t number) {
    return {.era = number >> (kCountBits + kHolderBits),
            .count = (number >> kHolderBits) & mask(kCountBits),
            .holder = number & mask(kHolderBits)};
  }

  /** Returns the number of the next acquisition by `holder` in `era`.
   *
   * @param highest  The highest number known to have been used; 0 if none is known.
   */
  static FencingNumber next(std::uint64_t era, std::uint64_t highest, std::string_view holder) {
    const FencingNumber known = decode(highest);
    const std::uint64_t limited_era = limit(era);
    return {.era = limited_era,
            .count = std::min(known.era == limited_era ? known.count + 1 : 1, mask(kCountBits)),
            .holder = hash64(holder) & mask(kHolderBits)};
  }

  /** The era as it appears in a number. Eras above the largest one count as that one. */
  static constexpr std::uint64_t limit(std::uint64_t era) { return std::min(era, mask(kEraBits)); }

  constexpr std::uint64_t encode() const {
    return (era << (kCountBits + kHolderBits)) | (count << kHolderBits) | holder;
  }

 private:
  static constexpr std::uint64_t mask(unsigned bits) { return (std::uint64_t{1} << bits) - 1; }
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_COMMANDS_FENCING_NUMBER_H_
