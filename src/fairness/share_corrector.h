// Corrects local weights so that the shares of accounts hold over the whole pool.
//
// A fair queue shares one upstream. Where an account's prompts have their homes on few upstreams,
// equal local shares add up to unequal global ones. Heartbeats carry the served cost per account;
// from their sums each sidecar moves an account's weight by fair share / actual share.

#ifndef BLUEBELLSTEP_FAIRNESS_SHARE_CORRECTOR_H_
#define BLUEBELLSTEP_FAIRNESS_SHARE_CORRECTOR_H_

#include <cstddef>
#include <span>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "fairness/cost.h"

namespace bluebellstep {

/** What the pool did for one account since the last observation. */
struct AccountService {
  AccountId account;
  /** Cost served by all sidecars. */
  Cost served;
  /** True if requests of the account wait anywhere. Accounts that get all they ask for need no
   * correction. */
  bool backlogged = false;
};

/** Factors on local weights. */
class ShareCorrector {
 public:
  /** Bounds of the factor and of one comparison of shares. */
  static constexpr double kMaxFactor = 8;
  static constexpr double kMinFactor = 1 / kMaxFactor;

  /** Time constant of the averages and of the change of the factor. */
  static constexpr Duration kSmoothing = 5_s;

  /** Sets the configured weight of an account; 1 if never set. Must be above 0. */
  void set_weight(AccountId account, double weight);

  /** Takes in the sums of a heartbeat interval. Accounts not in `services` were served nothing and
   * are not backlogged. */
  void observe(std::span<const AccountService> services, Instant now);

  /** Returns the number to multiply the account's configured weight by. */
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

  std::vector<Account> accounts_;  // By account id, which is dense.
  Instant observed_at_;
  bool observed_ = false;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_FAIRNESS_SHARE_CORRECTOR_H_
