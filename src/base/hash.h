// Hash functions and rendezvous scores. All are stable across processes and versions, since keys
// derived from them are exchanged between processes.

#ifndef BLUEBELLSTEP_BASE_HASH_H_
#define BLUEBELLSTEP_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace bluebellstep {

/** Returns the 64-bit XXH3 hash of `data`. An attacker who chooses `data` can cause collisions. */
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/** Combines two hashes into one. The order of the arguments matters. */
std::uint64_t combine_hashes(std::uint64_t a, std::uint64_t b);

/** Returns the rendezvous (highest random weight) score of a member for a key. The member with the
 * highest score owns the key. */
inline std::uint64_t rendezvous_score(std::uint64_t key_hash, std::uint64_t member_hash) {
  return combine_hashes(key_hash, member_hash);
}

/** Maps a hash to a number in [0, 1). */
inline double unit_interval(std::uint64_t hash) {
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_HASH_H_
