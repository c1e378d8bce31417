// Corrections of weights from global shares.

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
  const Duration since = now - observed_at_;
  if (!observed_) {
    // The first interval has no known length.
    observed_ = true;
    observed_at_ = now;
    return;
  }
  if (since.ms <= 0) {
    return;
  }
  observed_at_ = now;
  update_rates(services, static_cast<double>(since.ms) / 1000);
  update_factors(std::min(1.0, static_cast<double>(since.ms) / static_cast<double>(kSmoothing.ms)));
}

void ShareCorrector::update_rates(std::span<const AccountService> services, double seconds) {
  const double keep = std::exp(-seconds * 1000 / static_cast<double>(kSmoothing.ms));
  for (Account& account : accounts_) {
    account.rate *= keep;
    account.backlogged = false;
  }
  for (const AccountService& service : services) {
    Account& account = account_at(service.account);
    account.rate += (1 - keep) * static_cast<double>(service.served.tokens) / seconds;
    account.backlogged = service.backlogged;
  }
}

void ShareCorrector::update_factors(double step) {
  // Accounts without backlog are satisfied; the fair shares divide what the others got.
  double weights = 0;
  double rates = 0;
  for (const Account& account : accounts_) {
    weights += account.backlogged ? account.weight : 0;
    rates += account.backlogged ? account.rate : 0;
  }
  for (Account& account : accounts_) {
    // Without a backlog the factor returns to 1.
    double change = 1 / account.factor;
    if (account.backlogged && rates > 0) {
      const double fair = rates * account.weight / weights;
      change = account.rate > 0 ? fair / account.rate : kMaxFactor;
    }
    // Changes accumulate. A factor of fair / actual alone would stop short of the fair share.
    account.factor *= std::pow(std::clamp(change, kMinFactor, kMaxFactor), step);
    account.factor = std::clamp(account.factor, kMinFactor, kMaxFactor);
  }
}

}  // namespace bluebellstep
