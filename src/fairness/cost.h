// Cost of a request in tokens, the unit in which the capacity of an upstream is shared.

#ifndef BLUEBELLSTEP_FAIRNESS_COST_H_
#define BLUEBELLSTEP_FAIRNESS_COST_H_

#include <compare>
#include <cstdint>

namespace bluebellstep {

/** Amount of work, as the number of tokens that could be prefilled instead. A difference of two
 * costs may be negative. */
struct Cost {
  std::int64_t tokens = 0;

  constexpr auto operator<=>(const Cost&) const = default;
};

constexpr Cost operator+(Cost a, Cost b) {
  return {a.tokens + b.tokens};
}
constexpr Cost operator-(Cost a, Cost b) {
  return {a.tokens - b.tokens};
}

/** Quantities that determine the cost of one request, in tokens. */
struct CostComponents {
  std::uint64_t prompt_tokens = 0;
  /** Prompt tokens that are reused from the engine's cache or fetched from a cache store. At most
   * `prompt_tokens`. */
  std::uint64_t cached_tokens = 0;
  std::uint64_t decode_tokens = 0;
  /** Tokens that could be prefilled in the time taken by transfers from the cache stores. */
  std::uint64_t transfer_tokens = 0;
};

/** Returns the cost to charge: prompt tokens that are not cached, decode tokens and transfer
 * tokens.
 */
constexpr Cost cost_of(const CostComponents& components) {
  return {static_cast<std::int64_t>(components.prompt_tokens - components.cached_tokens +
                                    components.decode_tokens + components.transfer_tokens)};
}

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_FAIRNESS_COST_H_
