// Accumulation of service reports.

#include "fairness/service_totals.h"

#include <algorithm>

namespace bluebellstep {

bool ServiceTotals::Account::is_backlogged() const {
  return std::any_of(by_reporter.begin(), by_reporter.end(),
                     [](const auto& entry) { return entry.second.backlogged; });
}

void ServiceTotals::apply(std::string_view reporter, const AccountServiceReport& report) {
  Account& account = accounts_[report.account];
  AccountServiceReport& last = account.by_reporter[std::string(reporter)];
  const bool restarted = report.cost < last.cost;
  account.total += restarted ? report.cost : report.cost - last.cost;
  last = report;
}

std::vector<AccountServiceReport> ServiceTotals::totals() const {
  std::vector<AccountServiceReport> totals;
  totals.reserve(accounts_.size());
  for (const auto& [name, account] : accounts_) {
    totals.push_back({name, account.total, account.is_backlogged()});
  }
  return totals;
}

std::vector<AccountServiceReport> ServiceTotals::take_changes() {
  std::vector<AccountServiceReport> changes;
  for (auto& [name, account] : accounts_) {
    const std::uint64_t change = account.total - account.returned;
    if (change > 0 || account.is_backlogged()) {
      changes.push_back({name, change, account.is_backlogged()});
    }
    account.returned = account.total;
  }
  return changes;
}

std::vector<AccountServiceReport> next_reports(const std::vector<AccountServiceReport>& reports,
                                               std::size_t count,
                                               std::string& last_reported) {
  std::vector<AccountServiceReport> chosen;
  auto next = std::upper_bound(reports.begin(), reports.end(), last_reported,
                               [](const std::string& name, const AccountServiceReport& report) {
                                 return name < report.account;
                               });
  for (std::size_t i = 0; i < std::min(count, reports.size()); ++i) {
    if (next == reports.end()) {
      next = reports.begin();
    }
    chosen.push_back(*next++);
    last_reported = chosen.back().account;
  }
  return chosen;
}

}  // namespace bluebellstep
