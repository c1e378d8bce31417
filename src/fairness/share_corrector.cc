// Calculation of weight factors from the shares of the pool.

#include "fairness/share_corrector.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bluebellstep {

ShareCorrector::Account& ShareCorrector::account_at(AccountId account) {
  if (account.value >= accounts_.size()) {
    accounts_.resize(account.value + 1);
  }
  return accounts_[account.value];
}

void ShareCorrector::set_weight(AccountId account, double weight) {
  assert(weight > 0);
  account_at(account).weight = weight;
}

double ShareCorrector::factor(AccountId account) const {
  return account.value < accounts_.size() ? accounts_[account.value].factor : 1;
}

void ShareCorrector::observe(std::span<const AccountService> services, Instant now) {
  const Duration elapsed = now - observed_at_;
  if (!observed_) {
    // The length of the first interval is unknown.
    observed_ = true;
    observed_at_ = now;
    return;
  }
  if (elapsed.ms <= 0) {
    return;
  }
  observed_at_ = now;
  update_rates(services, static_cast<double>(elapsed.ms) / 1000);
  update_factors(
      std::min(1.0, static_cast<double>(elapsed.ms) / static_cast<double>(kSmoothing.ms)));
}

void ShareCorrector::update_rates(std::span<const AccountService> services, double seconds) {
  const double decay = std::exp(-seconds * 1000 / static_cast<double>(kSmoothing.ms));
  for (Account& account : accounts_) {
    account.rate *= decay;
    account.backlogged = false;
  }
  for (const AccountService& service : services) {
    Account& account = account_at(service.account);
    account.rate += (1 - decay) * static_cast<double>(service.served.tokens) / seconds;
    account.backlogged = service.backlogged;
  }
}

void ShareCorrector::update_factors(double step) {
  // Accounts without a backlog get all the service they request. The fair shares therefore divide
  // the service that the backlogged accounts received.
  double weight_sum = 0;
  double rate_sum = 0;
  for (const Account& account : accounts_) {
    weight_sum += account.backlogged ? account.weight : 0;
    rate_sum += account.backlogged ? account.rate : 0;
  }
  for (Account& account : accounts_) {
    // The factor of an account without a backlog returns to 1.
    double change = 1 / account.factor;
    if (account.backlogged && rate_sum > 0) {
      const double fair_rate = rate_sum * account.weight / weight_sum;
      change = account.rate > 0 ? fair_rate / account.rate : kMaxFactor;
    }
    // The ratio is applied to the previous factor. A factor of fair / actual alone would not reach
    // the fair share.
    account.factor *= std::pow(std::clamp(change, kMinFactor, kMaxFactor), step);
    account.factor = std::clamp(account.factor, kMinFactor, kMaxFactor);
  }
}

}  // namespace bluebellstep
