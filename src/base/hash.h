// Hashes and rendezvous scores. All are stable across processes and versions, since keys derived
// from them are exchanged between processes.

#ifndef BLUEBELLSTEP_BASE_HASH_H_
#define BLUEBELLSTEP_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace bluebellstep {

/** 64-bit XXH3 of `data`. Not for use against an adversary who may choose colliding data. */
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/** Mixes two 64-bit values into one. */
std::uint64_t combine_hashes(std::uint64_t a, std::uint64_t b);

/** Rendezvous (highest random weight) score of a member for a key: the member with the highest
 * score owns the key. */
inline std::uint64_t rendezvous_score(std::uint64_t key_hash, std::uint64_t member_hash) {
  return combine_hashes(key_hash, member_hash);
}

/** Maps a hash to a number from 0 to 1, 1 excluded. */
inline double unit_interval(std::uint64_t hash) {
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_HASH_H_
