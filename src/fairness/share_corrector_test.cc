// Tests of account shares over several sidecars.

#include "fairness/share_corrector.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <vector>

#include "base/random.h"
#include "fairness/fair_queue.h"

namespace bluebellstep {
namespace {

// A pool of sidecars. Each serves `kRate` tokens per second in the order of its fair queue, and
// receives the service of the whole pool to each account once per heartbeat interval.
class Pool {
 public:
  static constexpr std::int64_t kRate = 20'000;
  static constexpr Duration kHeartbeat = 500_ms;

  // homes[s][a] is true if sidecar s is a home of account a.
  Pool(std::vector<std::vector<bool>> homes, std::vector<double> weights, std::uint64_t seed)
      : homes_(std::move(homes)),
        weights_(std::move(weights)),
        random_(seed),
        sidecars_(homes_.size()) {
    for (Sidecar& sidecar : sidecars_) {
      for (std::uint32_t a = 0; a < weights_.size(); ++a) {
        sidecar.corrector.set_weight({a}, weights_[a]);
        sidecar.queue.set_weight({a}, weights_[a]);
      }
    }
  }

  // Runs for `span` and returns each account's share of the cost served in that time.
  std::vector<double> run(Duration span, bool corrected) {
    std::vector<double> sums(weights_.size(), 0);
    for (const Instant end = now_ + span; now_ < end; now_ = now_ + kHeartbeat) {
      const auto services = serve_interval();
      for (const AccountService& service : services) {
        sums[service.account.value] += static_cast<double>(service.served.tokens);
      }
      if (corrected) {
        apply_heartbeat(services);
      }
    }
    const double total = std::accumulate(sums.begin(), sums.end(), 0.0);
    for (double& sum : sums) {
      sum /= total;
    }
    return sums;
  }

 private:
  struct Sidecar {
    FairQueue queue;
    ShareCorrector corrector;
    std::int64_t budget = 0;
  };

  void refill_queue(std::size_t s) {
    for (std::uint32_t a = 0; a < weights_.size(); ++a) {
      while (homes_[s][a] && sidecars_[s].queue.size(AccountId{a}) < 3) {
        const auto cost = static_cast<std::int64_t>(50 + random_.below(1500));
        requests_.push_back({AccountId{a}, {cost}});
        sidecars_[s].queue.push({a}, {requests_.size() - 1}, {cost}, Priority::kNormal);
      }
    }
  }

  std::vector<AccountService> serve_interval() {
    std::vector<AccountService> services;
    for (std::uint32_t a = 0; a < weights_.size(); ++a) {
      services.push_back({{a}, {0}, true});
    }
    for (std::size_t s = 0; s < sidecars_.size(); ++s) {
      sidecars_[s].budget += kRate * kHeartbeat.ms / 1000;
      while (sidecars_[s].budget > 0) {
        refill_queue(s);
        const auto [account, cost] = requests_[sidecars_[s].queue.pop()->value];
        sidecars_[s].budget -= cost.tokens;
        services[account.value].served = services[account.value].served + cost;
      }
    }
    return services;
  }

  void apply_heartbeat(const std::vector<AccountService>& services) {
    for (Sidecar& sidecar : sidecars_) {
      sidecar.corrector.observe(services, now_);
      for (std::uint32_t a = 0; a < weights_.size(); ++a) {
        sidecar.queue.set_weight({a}, weights_[a] * sidecar.corrector.factor({a}));
      }
    }
  }

  std::vector<std::vector<bool>> homes_;
  std::vector<double> weights_;
  Random random_;
  std::vector<Sidecar> sidecars_;
  std::vector<std::pair<AccountId, Cost>> requests_;
  Instant now_{0};
};

}  // namespace

// Guards against shares of the pool that depend on the number of sidecars that are homes of an
// account's prompts.
TEST_CASE("shares of the pool converge if homes are distributed unevenly", "[fairness]") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    // Account 0 has homes on all eight sidecars, the other accounts on five each. The homes
    // are spread so that every sidecar serves some of these too; otherwise no correction of weights
    // could reach fair shares.
    std::vector<std::vector<bool>> homes(8, std::vector<bool>(5, false));
    std::vector<double> weights;
    const std::size_t offset = random.below(8);
    for (std::size_t a = 0; a < 5; ++a) {
      weights.push_back(1 + random.uniform());
      for (std::size_t k = 0; k < (a == 0 ? 8u : 5u); ++k) {
        homes[(offset + 2 * a + k) % 8][a] = true;
      }
    }
    const double weight_sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    const auto largest_error = [&](const std::vector<double>& shares) {
      double largest = 0;
      for (std::size_t a = 0; a < shares.size(); ++a) {
        largest = std::max(largest, std::abs(shares[a] * weight_sum / weights[a] - 1));
      }
      return largest;
    };

    Pool uncorrected(homes, weights, seed);
    CHECK(largest_error(uncorrected.run(60_s, false)) > 0.05);
    Pool corrected(homes, weights, seed);
    corrected.run(60_s, true);
    CHECK(largest_error(corrected.run(60_s, true)) < 0.05);
  }
}

// Guards against a factor that stays in force without a backlog, or that leaves its bounds.
TEST_CASE("factors stay in bounds and return to one", "[fairness]") {
  ShareCorrector corrector;
  Instant now{0};
  std::vector<AccountService> services = {{{0}, {1'000'000}, true}, {{1}, {0}, true}};
  for (int i = 0; i < 200; ++i, now = now + 500_ms) {
    corrector.observe(services, now);
  }
  CHECK(corrector.factor({0}) >= ShareCorrector::kMinFactor);
  CHECK(corrector.factor({1}) == ShareCorrector::kMaxFactor);
  services[0].backlogged = services[1].backlogged = false;
  for (int i = 0; i < 200; ++i, now = now + 500_ms) {
    corrector.observe(services, now);
  }
  CHECK(corrector.factor({0}) == Approx(1).epsilon(0.01));
  CHECK(corrector.factor({1}) == Approx(1).epsilon(0.01));
}

}  // namespace bluebellstep
