// Seeded pseudo-random numbers, so that a run can be reproduced from its seed.

#ifndef BLUEBELLSTEP_BASE_RANDOM_H_
#define BLUEBELLSTEP_BASE_RANDOM_H_

#include <cassert>
#include <cstdint>

namespace bluebellstep {

/** SplitMix64 generator: small state, same sequence on every machine. Not suitable for secrets; use
 * OpenSSL's RAND_bytes for those. */
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  /** Returns the next 64 random bits. */
  std::uint64_t next() {
    state_ += 0x9e3779b97f4a7c15;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
  }

  /** Returns a uniformly distributed number in [0, `bound`). `bound` must not be 0. */
  std::uint64_t below(std::uint64_t bound) {
    assert(bound > 0);
    return static_cast<std::uint64_t>((static_cast<unsigned __int128>(next()) * bound) >> 64);
  }

  /** Returns a uniformly distributed number in [0, 1). */
  double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

  /** Returns true with the given probability. */
  bool chance(double probability) { return uniform() < probability; }

 private:
  std::uint64_t state_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_RANDOM_H_
