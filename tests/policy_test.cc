// Tests of routing, caching and fairness in simulations under a virtual clock. The bounds are
// targets from the design document. Each test prints its results.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <vector>

#include "tests/support/policy_simulation.h"

namespace bluebellstep {
namespace {

double recomputed_share(const PolicyResults& results) {
  return static_cast<double>(results.recomputed_blocks) / static_cast<double>(results.blocks);
}

// 99th percentile of the time to the first token over the accounts from index `first` on, in
// milliseconds.
double first_token_p99(const PolicyResults& results, std::size_t first) {
  std::vector<std::int64_t> times;
  for (std::size_t a = first; a < results.first_token_ms.size(); ++a) {
    times.insert(times.end(), results.first_token_ms[a].begin(), results.first_token_ms[a].end());
  }
  REQUIRE(times.size() > 1000);
  const auto percentile = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 99 / 100);
  std::ranges::nth_element(times, percentile);
  return static_cast<double>(*percentile);
}

}  // namespace

// Guards against returning prompts whose blocks are recomputed although a store or an engine has
// them cached.
TEST_CASE("recomputed share is near that of an oracle for returning prompts", "[policy]") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    PolicyOptions options;
    options.seed = seed;
    // A few accounts are large.
    options.rates = {5, 4, 3, 1.5, 1.5, 1, 1, 1, 1, 1};
    const PolicyResults ours = PolicySimulation(options).run();
    options.route_by_prompt = false;
    const PolicyResults least_load = PolicySimulation(options).run();
    options.knows_every_block = true;
    const double oracle = recomputed_share(PolicySimulation(options).run());
    std::printf(
        "policy: seed %d: recomputed share %.4f, oracle %.4f, least load %.4f, never computed "
        "before %.4f, %d requests, %d "
        "refused\n",
        static_cast<int>(seed), recomputed_share(ours), oracle, recomputed_share(least_load),
        static_cast<double>(ours.new_blocks) / static_cast<double>(ours.blocks),
        static_cast<int>(ours.requests), static_cast<int>(ours.refused));
    CHECK(recomputed_share(ours) <= 1.1 * oracle);
    CHECK(recomputed_share(ours) <= 0.5 * recomputed_share(least_load));
    CHECK(ours.refused == 0);
  }
}

// Guards against requests of small accounts that wait behind a flood from large ones. An equal
// share is a tenth of the capacity of the pool. Each of three large accounts sends ten times its
// share, each of seven small accounts half of it.
TEST_CASE("a flood from large accounts hardly delays small accounts", "[policy]") {
  constexpr std::size_t kFirstSmall = 3;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    // The prefill of a request takes about 150 ms on average, so 12 servers sustain about 80
    // requests per second.
    constexpr double kShare = 8;
    PolicyOptions options;
    options.seed = seed;
    options.max_running = 64;
    options.max_prefilling = 1;
    options.max_prompts_per_account = 100;
    options.warm_up = 120_s;
    options.measured_time = 120_s;
    options.rates.assign(10, kShare / 2);
    std::fill_n(options.rates.begin(), kFirstSmall, 0.0);
    const double alone = first_token_p99(PolicySimulation(options).run(), kFirstSmall);
    std::fill_n(options.rates.begin(), kFirstSmall, 10 * kShare);
    const PolicyResults flood = PolicySimulation(options).run();
    const double flooded = first_token_p99(flood, kFirstSmall);
    std::printf(
        "policy: seed %d: small accounts' first token p99 alone %.0f ms, in a flood %.0f ms, ratio "
        "%.2f, large accounts' p99 %.0f ms, %d of %d requests refused\n",
        static_cast<int>(seed), alone, flooded, flooded / alone,
        first_token_p99({.first_token_ms = {flood.first_token_ms.begin(),
                                            flood.first_token_ms.begin() + kFirstSmall}},
                        0),
        static_cast<int>(flood.refused), static_cast<int>(flood.requests));
    CHECK(flooded <= 1.2 * alone);
    for (std::size_t a = kFirstSmall; a < flood.refused_by_account.size(); ++a) {
      CHECK(flood.refused_by_account[a] == 0);
    }
  }
}

}  // namespace bluebellstep
