// Generates arrivals and prompts from the seed.

#include "loadgen/schedule.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "base/random.h"

namespace bluebellstep::loadgen {
namespace {

// Appends the arrivals of the account with the index `index`.
void plan_account(const Experiment& experiment, std::size_t index, std::vector<Arrival>& out) {
  const AccountLoad& account = experiment.accounts[index];
  if (account.requests_per_s <= 0) {
    return;
  }
  Random random(combine_hashes(experiment.seed, index));
  const double end_us = static_cast<double>(experiment.duration.ms) * 1000;
  std::uint64_t prompts = 0;
  double at_us = 0;
  while (true) {
    at_us -= std::log(1 - random.uniform()) / account.requests_per_s * 1e6;
    if (at_us >= end_us) {
      return;
    }
    Arrival arrival{static_cast<std::int64_t>(at_us), index, random.chance(account.order_share), 0};
    if (!arrival.order) {
      const bool is_returning = random.chance(account.returning_share) && prompts > 0;
      arrival.prompt = is_returning ? random.below(prompts) : prompts++;
    }
    out.push_back(arrival);
  }
}

}  // namespace

std::vector<Arrival> plan_arrivals(const Experiment& experiment) {
  std::vector<Arrival> arrivals;
  for (std::size_t i = 0; i < experiment.accounts.size(); ++i) {
    plan_account(experiment, i, arrivals);
  }
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at_us < b.at_us; });
  return arrivals;
}

std::string prompt_text(const Experiment& experiment, std::size_t account, std::uint64_t prompt) {
  Random random(combine_hashes(combine_hashes(experiment.seed, account), prompt));
  std::string text(experiment.accounts[account].prompt_bytes, ' ');
  for (char& c : text) {
    c = static_cast<char>('a' + random.below(26));
  }
  return text;
}

}  // namespace bluebellstep::loadgen
