// Sums of the work of accounts, and the level of fair shares.

#include "overload/account_shares.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace bluebellstep {

void AccountShares::RecentWork::decay(Instant now) {
  const double factor =
      std::exp(-static_cast<double>((now - at).ms) / static_cast<double>(kWindow.ms));
  sent *= factor;
  refused *= factor;
  at = now;
}

AccountShares::Account& AccountShares::account_at(std::uint64_t service_key,
                                                  std::uint64_t account_key) {
  const auto [found, added] = services_[service_key].accounts.try_emplace(account_key);
  if (added) {
    found->second.own = {.service_key = service_key, .account_key = account_key};
  }
  return found->second;
}

void AccountShares::add(std::uint64_t service_key,
                        std::uint64_t account_key,
                        Cost sent,
                        Cost refused,
                        Instant now) {
  for (RecentWork* recent :
       {&account_at(service_key, account_key).recent, &services_[service_key].recent}) {
    recent->decay(now);
    recent->sent += static_cast<double>(sent.tokens);
    recent->refused += static_cast<double>(refused.tokens);
  }
}

void AccountShares::record_sent(std::string_view service,
                                std::string_view account,
                                Cost work,
                                Instant now) {
  Account& entry = account_at(hash64(service), hash64(account));
  entry.own.sent = entry.own.sent + work;
  entry.own_changed_at = now;
  add(entry.own.service_key, entry.own.account_key, work, {}, now);
}

void AccountShares::record_refused(std::string_view service,
                                   std::string_view account,
                                   Cost work,
                                   Instant now) {
  Account& entry = account_at(hash64(service), hash64(account));
  entry.own.refused = entry.own.refused + work;
  entry.own_changed_at = now;
  add(entry.own.service_key, entry.own.account_key, {}, work, now);
}

std::vector<AccountWork> AccountShares::recent_work(Instant now) const {
  std::vector<AccountWork> result;
  for (const auto& [service_key, service] : services_) {
    for (const auto& [account_key, account] : service.accounts) {
      if (account.own.sent + account.own.refused > Cost{} &&
          now - account.own_changed_at <= kRepeatTime) {
        result.push_back(account.own);
      }
    }
  }
  return result;
}

void AccountShares::apply(const AccountWorkReport& report, Instant now) {
  if (!peers_.contains(report.gateway)) {
    std::erase_if(peers_,
                  [now](const auto& peer) { return now - peer.second.heard_at > kPeerMemory; });
  }
  Peer& peer = peers_[report.gateway];
  if (peer.incarnation != report.incarnation) {
    peer = {.incarnation = report.incarnation};
  }
  peer.heard_at = now;
  for (const AccountWork& work : report.accounts) {
    const auto [found, added] =
        peer.last.try_emplace(combine_hashes(work.service_key, work.account_key), work);
    AccountWork& last = found->second;
    if (added || work.sent < last.sent || work.refused < last.refused) {
      continue;
    }
    add(work.service_key, work.account_key, work.sent - last.sent, work.refused - last.refused,
        now);
    last = work;
  }
}

void AccountShares::update_level(Service& service, Instant now) {
  service.level_at = now;
  service.recent.decay(now);
  std::vector<double> asked;
  for (auto& [key, account] : service.accounts) {
    account.recent.decay(now);
    asked.push_back(account.recent.asked());
  }
  std::sort(asked.begin(), asked.end());
  double remaining = service.recent.sent;
  std::size_t accounts_left = asked.size();
  for (const double work : asked) {
    service.level = remaining / static_cast<double>(accounts_left);
    if (work > service.level) {
      break;
    }
    remaining -= work;
    --accounts_left;
  }
  const bool overloaded = service.recent.refused > kOverloadedShare * service.recent.asked();
  if (!overloaded) {
    service.overloaded_since.reset();
  } else if (!service.overloaded_since) {
    service.overloaded_since = now;
  }
}

AccountStanding AccountShares::standing(std::string_view service,
                                        std::string_view account,
                                        Instant now) {
  const auto found = services_.find(hash64(service));
  if (found == services_.end()) {
    return {};
  }
  Service& info = found->second;
  if (!info.level_at || now - *info.level_at >= kReportInterval) {
    update_level(info, now);
  }
  if (!info.overloaded_since) {
    return {};
  }
  AccountStanding result{.refused_share = info.recent.refused / info.recent.asked(),
                         .overloaded_for = now - *info.overloaded_since};
  const auto entry = info.accounts.find(hash64(account));
  if (entry != info.accounts.end() && info.level > 0) {
    RecentWork recent = entry->second.recent;
    recent.decay(now);
    result.share_used = recent.sent / info.level;
  }
  return result;
}

double AccountShares::sent_share(std::string_view service) const {
  const auto found = services_.find(hash64(service));
  return found == services_.end() || found->second.recent.asked() <= 0
             ? 1
             : found->second.recent.sent / found->second.recent.asked();
}

std::optional<double> AccountShares::relative_sent_share(std::string_view service,
                                                         std::string_view account) const {
  const auto found = services_.find(hash64(service));
  if (found == services_.end()) {
    return std::nullopt;
  }
  const Service& info = found->second;
  const auto entry = info.accounts.find(hash64(account));
  if (entry == info.accounts.end() || info.recent.sent <= 0 || entry->second.recent.asked() <= 0) {
    return std::nullopt;
  }
  const RecentWork& recent = entry->second.recent;
  return std::min(1.0, recent.sent / recent.asked() * info.recent.asked() / info.recent.sent);
}

}  // namespace bluebellstep
