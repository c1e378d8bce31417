// Estimates of fetch and prefill times.

#include "cache/fetch_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bluebellstep {
namespace {

// Upper limit of estimates, which stands for "never" and keeps sums far from overflow.
constexpr double kNeverMs = 1e12;

Duration to_duration(double ms) {
  return {static_cast<std::int64_t>(std::ceil(std::min(ms, kNeverMs)))};
}

double duration_ms(double amount, double per_second) {
  return per_second > 0 ? amount / per_second * 1000 : (amount > 0 ? kNeverMs : 0);
}

// Estimates for a prefix that grows by one block at a time. The links of the tiers transfer in
// parallel.
class PrefixEstimate {
 public:
  explicit PrefixEstimate(const FetchQuery& query) : query_(query) {}

  void add(const BlockLocations& block) {
    // Select the tier that would deliver the block sooner.
    const std::array<bool, kTierCount> available = {block.in_memory, block.in_disk};
    double best = std::numeric_limits<double>::infinity();
    std::size_t best_tier = 0;
    for (std::size_t tier = 0; tier < kTierCount; ++tier) {
      const double delivered_ms = link_end_ms(tier, bytes_.at(tier) + block.bytes);
      if (available.at(tier) && delivered_ms < best) {
        best = delivered_ms;
        best_tier = tier;
      }
    }
    bytes_.at(best_tier) += block.bytes;
    fetch_end_ms_ = std::max(fetch_end_ms_, best);
    ++blocks_;
  }

  double fetch_ms() const { return fetch_end_ms_; }

  double total_ms() const {
    const std::uint64_t fetched = std::min(blocks_ * FetchPlanner::kBlockTokens, query_.tokens);
    return std::max(fetch_end_ms_, static_cast<double>(query_.engine_queue.ms)) +
           duration_ms(static_cast<double>(query_.tokens - fetched), query_.prefill_tokens_per_s);
  }

 private:
  double link_end_ms(std::size_t tier, std::uint64_t bytes) const {
    const LinkState& link = query_.links.at(tier);
    return duration_ms(static_cast<double>(link.queued_bytes + bytes), link.bytes_per_s);
  }

  const FetchQuery& query_;
  std::array<std::uint64_t, kTierCount> bytes_{};
  std::uint64_t blocks_ = 0;
  double fetch_end_ms_ = 0;
};

}  // namespace

FetchPlan FetchPlanner::plan(const FetchQuery& query, Instant now) const {
  const auto allowed_ms = static_cast<double>((query.deadline - now).ms);
  PrefixEstimate estimate(query);
  double best_ms = estimate.total_ms();
  FetchPlan plan{.blocks = 0, .fetch_time = {0}, .total_time = to_duration(best_ms)};
  for (std::size_t i = 0; i < query.blocks.size(); ++i) {
    const BlockLocations& block = query.blocks[i];
    if (!block.in_memory && !block.in_disk) {
      break;
    }
    estimate.add(block);
    if (estimate.fetch_ms() > allowed_ms) {
      break;
    }
    if (estimate.total_ms() <= best_ms) {
      best_ms = estimate.total_ms();
      plan.blocks = i + 1;
      plan.fetch_time = to_duration(estimate.fetch_ms());
      plan.total_time = to_duration(best_ms);
    }
  }
  plan.give_up_at = std::min(query.deadline, now + plan.fetch_time * kFetchTimeoutFactor);
  return plan;
}

}  // namespace bluebellstep
