// Cost of a request in tokens, the unit in which capacity is shared.

#ifndef BLUEBELLSTEP_FAIRNESS_COST_H_
#define BLUEBELLSTEP_FAIRNESS_COST_H_

#include <compare>
#include <cstdint>

namespace bluebellstep {

/** Work of an upstream in prefill-token equivalents; a difference of costs may be negative. */
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

/** Parts of the cost of one request. */
struct CostComponents {
  std::uint64_t prompt_tokens = 0;
  /** Prompt tokens that the engine reuses or that are fetched. At most `prompt_tokens`. */
  std::uint64_t cached_tokens = 0;
  std::uint64_t decode_tokens = 0;
  /** Transfers from the cache stores, in tokens that could be prefilled in the same time. */
  std::uint64_t transfer_tokens = 0;
};

/** Returns the cost to charge: prefill tokens not cached, decode tokens and transfer. */
constexpr Cost cost_of(const CostComponents& parts) {
  return {static_cast<std::int64_t>(parts.prompt_tokens - parts.cached_tokens +
                                    parts.decode_tokens + parts.transfer_tokens)};
}

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_FAIRNESS_COST_H_
