// Sums of served cost over all sidecars, put together from heartbeats.

#ifndef BLUEBELLSTEP_FAIRNESS_SERVICE_TOTALS_H_
#define BLUEBELLSTEP_FAIRNESS_SERVICE_TOTALS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellstep {

/** What one process reports of one client account. */
struct AccountServiceReport {
  std::string account;
  std::uint64_t cost = 0;  // Tokens served since the reporter started.
  bool backlogged = false;
};

/**
 * Adds up the reports of many processes. A report counts from the reporter's start, so a lost
 * heartbeat loses nothing; a cost below the last one means that the reporter restarted.
 */
class ServiceTotals {
 public:
  /** Takes in a report of `reporter`. */
  void apply(std::string_view reporter, const AccountServiceReport& report);

  /** Sums over all reporters since this object was made, one entry for each account, in order of
   * names. */
  std::vector<AccountServiceReport> totals() const;

  /** Returns what came in since the last call of this function. */
  std::vector<AccountServiceReport> take_changes();

 private:
  struct Account {
    std::uint64_t total = 0;
    std::uint64_t taken = 0;  // Part of the total that `take_changes` has returned.
    std::map<std::string, AccountServiceReport, std::less<>> by_reporter;

    bool is_backlogged() const;
  };

  std::map<std::string, Account, std::less<>> accounts_;
};

/** Returns up to `count` reports that follow `last_reported` in the order of names, and from the
 * start again after the end; sets `last_reported` to the last one. So that heartbeats stay small,
 * each carries a part and all come round. */
std::vector<AccountServiceReport> next_reports(const std::vector<AccountServiceReport>& reports,
                                               std::size_t count,
                                               std::string& last_reported);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_FAIRNESS_SERVICE_TOTALS_H_
