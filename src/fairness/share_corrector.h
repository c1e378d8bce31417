// Adjusts the local weights of accounts so that their shares hold over the whole pool.
//
// A fair queue divides the capacity of one upstream. If the homes of an account's prompts are on a
// few upstreams only, equal local shares add up to unequal shares of the pool. Heartbeats carry the
// served cost of each account; from the sums, each sidecar adjusts the weight of an account by
// (fair share) / (actual share).

#ifndef BLUEBELLSTEP_FAIRNESS_SHARE_CORRECTOR_H_
#define BLUEBELLSTEP_FAIRNESS_SHARE_CORRECTOR_H_

#include <cstddef>
#include <span>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "fairness/cost.h"

namespace bluebellstep {

/** Service of the pool to one account since the previous observation. */
struct AccountService {
  AccountId account;
  /** Cost served by all sidecars. */
  Cost served;
  /** Whether requests of the account are waiting at any sidecar. Accounts without a backlog get all
   * the service they request and need no correction. */
  bool backlogged = false;
};

/** Calculates factors for the local weights of accounts. */
class ShareCorrector {
 public:
  /** Bounds of the factor, and of the ratio (fair share) / (actual share) in one observation. */
  static constexpr double kMaxFactor = 8;
  static constexpr double kMinFactor = 1 / kMaxFactor;

  /** Time constant of the averaged service rates and of the adjustment of the factors. */
  static constexpr Duration kSmoothing = 5_s;

  /** Sets the configured weight of an account, which must be above 0; the default is 1. */
  void set_weight(AccountId account, double weight);

  /** Updates the factors with the service since the previous call. Accounts that are not in
   * `services` were not served and are not backlogged. */
  void observe(std::span<const AccountService> services, Instant now);

  /** Returns the factor by which to multiply the configured weight of an account. */
  double factor(AccountId account) const;

 private:
  struct Account {
    double weight = 1;
    double rate = 0;  // Cost per second, averaged over kSmoothing.
    double factor = 1;
    bool backlogged = false;
  };

  Account& account_at(AccountId account);
  void update_rates(std::span<const AccountService> services, double seconds);
  void update_factors(double step);

  std::vector<Account> accounts_;  // By account id; the ids are dense.
  Instant observed_at_;
  bool observed_ = false;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_FAIRNESS_SHARE_CORRECTOR_H_
