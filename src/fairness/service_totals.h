// Sums of the served cost over all sidecars, calculated from the reports in heartbeats.

#ifndef BLUEBELLSTEP_FAIRNESS_SERVICE_TOTALS_H_
#define BLUEBELLSTEP_FAIRNESS_SERVICE_TOTALS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellstep {

/** Report of one process on its service to one client account. */
struct AccountServiceReport {
  std::string account;      // Name.
  std::uint64_t cost = 0;   // Tokens served since the reporting process started.
  bool backlogged = false;  // Whether requests of the account are waiting.
};

/**
 * Adds up the reports of many processes. A report covers all service since the reporter started, so
 * a lost heartbeat loses nothing. A cost below the previous one means that the reporter restarted.
 */
class ServiceTotals {
 public:
  /** Applies a report of the process named `reporter`. */
  void apply(std::string_view reporter, const AccountServiceReport& report);

  /** Returns the sums over all reporters since the construction of this object, one entry per
   * account, ordered by account name. */
  std::vector<AccountServiceReport> totals() const;

  /** Returns the cost added since the previous call, for each account that was served or is
   * backlogged. */
  std::vector<AccountServiceReport> take_changes();

 private:
  struct Account {
    std::uint64_t total = 0;
    std::uint64_t returned = 0;  // Amount of `total` already returned by `take_changes`.
    std::map<std::string, AccountServiceReport, std::less<>> by_reporter;

    bool is_backlogged() const;
  };

  std::map<std::string, Account, std::less<>> accounts_;
};

/** Returns up to `count` reports: those after the account `last_reported` in order of names, and
 * after the last one again from the first. Sets `last_reported` to the account of the last returned
 * report. Each heartbeat carries only some of the reports, to limit its size; consecutive
 * heartbeats cover all accounts. `reports` must be ordered by account name. */
std::vector<AccountServiceReport> next_reports(const std::vector<AccountServiceReport>& reports,
                                               std::size_t count,
                                               std::string& last_reported);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_FAIRNESS_SERVICE_TOTALS_H_
