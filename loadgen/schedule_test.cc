// Tests of the arrival schedule.

#include "loadgen/schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace bluebellstep::loadgen {
namespace {

Experiment two_accounts() {
  Experiment experiment;
  experiment.seed = 3;
  experiment.duration = 100_s;
  experiment.accounts = {{"a", "t", 50, 64, 8, 0.5, 0.2}, {"b", "u", 10, 32, 8, 0, 0}};
  return experiment;
}

std::vector<Arrival> arrivals_of(const std::vector<Arrival>& arrivals, std::size_t account) {
  std::vector<Arrival> out;
  std::copy_if(arrivals.begin(), arrivals.end(), std::back_inserter(out),
               [account](const Arrival& arrival) { return arrival.account == account; });
  return out;
}

}  // namespace

// Guards against runs that cannot be reproduced from their seed.
TEST_CASE("the schedule is a function of the seed", "[loadgen]") {
  Experiment experiment = two_accounts();
  const auto arrivals = plan_arrivals(experiment);
  CHECK(plan_arrivals(experiment) == arrivals);
  experiment.seed = 4;
  CHECK(plan_arrivals(experiment) != arrivals);
}

// Guards against a change of one account's settings that shifts the arrivals of the others.
TEST_CASE("the arrivals of an account do not depend on the other accounts", "[loadgen]") {
  Experiment experiment = two_accounts();
  const auto before = arrivals_of(plan_arrivals(experiment), 1);
  experiment.accounts[0].requests_per_s = 500;
  CHECK(arrivals_of(plan_arrivals(experiment), 1) == before);
}

// Guards against a wrong rate, sequence or share. The tolerances are 5 standard deviations.
TEST_CASE("the schedule has the configured rates and shares", "[loadgen]") {
  const auto arrivals = plan_arrivals(two_accounts());
  CHECK(std::is_sorted(arrivals.begin(), arrivals.end(),
                       [](const Arrival& a, const Arrival& b) { return a.at_us < b.at_us; }));
  CHECK(arrivals.back().at_us < 100'000'000);
  const auto first = arrivals_of(arrivals, 0);
  CHECK(std::abs(static_cast<double>(first.size()) - 5000) < 354);
  const auto orders = std::count_if(first.begin(), first.end(),
                                    [](const Arrival& arrival) { return arrival.order; });
  CHECK(std::abs(static_cast<double>(orders) - 1000) < 150);
  std::uint64_t prompts = 0;
  for (const Arrival& arrival : first) {
    prompts = std::max(prompts, arrival.prompt + 1);
  }
  CHECK(std::abs(static_cast<double>(prompts) - 2000) < 200);
}

// Guards against prompts that several accounts share, and against a returning prompt with a
// different text.
TEST_CASE("the text of a prompt depends only on its account and number", "[loadgen]") {
  const Experiment experiment = two_accounts();
  CHECK(prompt_text(experiment, 0, 5).size() == 64);
  CHECK(prompt_text(experiment, 0, 5) == prompt_text(experiment, 0, 5));
  CHECK(prompt_text(experiment, 0, 5) != prompt_text(experiment, 0, 6));
  CHECK(prompt_text(experiment, 0, 5).substr(0, 32) != prompt_text(experiment, 1, 5));
}

}  // namespace bluebellstep::loadgen
