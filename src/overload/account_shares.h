// Work that the client accounts ask of each service, summed over all gateways, and the fair share
// of an account in what is served.
//
// Load pattern: one account sends many times its usual load. Requests are admitted in the order of
// their arrival, so the account gets the same part of the capacity as of the arrivals, and the
// requests of the others are refused. Each gateway sees too few requests of an account to tell.
// Therefore gateways tell each other the work of each account that they sent and refused.
//
// `ServiceTotals` is not used for the sums: it visits every reporter of every account when they are
// taken, which is too slow for 300 gateways and 840 accounts. `ShareCorrector` is not used for the
// shares: it adjusts over 5 s, the time within which an account must have its share.

#ifndef BLUEBELLSTEP_OVERLOAD_ACCOUNT_SHARES_H_
#define BLUEBELLSTEP_OVERLOAD_ACCOUNT_SHARES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "fairness/cost.h"

namespace bluebellstep {

/** Work of one account at one service since a gateway started. */
struct AccountWork {
  std::uint64_t service_key = 0;
  std::uint64_t account_key = 0;
  Cost sent;
  Cost refused;
};

/** The message that a gateway sends to the others. */
struct AccountWorkReport {
  std::string gateway;
  std::uint64_t incarnation = 0;
  std::vector<AccountWork> accounts;
  // `OverloadRequest::id_hash` of requests that were refused since the last report.
  std::vector<std::uint64_t> refused_requests;
};

/** How an account, and the service that it uses, are served at present. */
struct AccountStanding {
  // Work that was sent for the account, relative to its fair share. At most 1 unless requests to
  // the service are refused.
  double share_used = 0;
  double refused_share = 0;    // Part of the work asked of the service that was refused.
  Duration overloaded_for{0};  // Since the service began to refuse work.
};

/**
 * Sums the work of accounts, with recent work counting most.
 *
 * The fair share is the level at which the work sent would be used up if each account got what it
 * asked for, but no more than the level. An account that asks for less than the level leaves the
 * rest to the others.
 *
 * A report contains sums since the gateway started, so a lost one loses nothing. The first sums
 * heard of an account at a gateway are not counted, since it is unknown how old they are; lower
 * sums, of reports that were overtaken, are ignored. The work of a gateway that is not heard of any
 * more fades within `kWindow`. A gateway without connection to the others applies the shares to its
 * own requests.
 */
class AccountShares {
 public:
  /** Time constant of the decay of earlier work. */
  static constexpr Duration kWindow{2000};
  /** Interval of the reports under overload, and of the calculation of the level. */
  static constexpr Duration kReportInterval{250};
  /** An account is repeated in the reports for this long, since reports may be lost. */
  static constexpr Duration kRepeatTime{2500};
  /** The sums of a gateway that is not heard of for this long are dropped, since gateways that are
   * replaced leave their names behind. */
  static constexpr Duration kPeerMemory{60'000};
  /** Accounts in one report; a datagram of that many has less than 8 KB. */
  static constexpr std::size_t kMaxReportedAccounts = 200;
  /** A service is overloaded while more than this part of the work is refused. */
  static constexpr double kOverloadedShare = 0.01;

  /** Records the work of a request of this gateway. */
  void record_sent(std::string_view service, std::string_view account, Cost work, Instant now);
  void record_refused(std::string_view service, std::string_view account, Cost work, Instant now);

  /** Returns the work of the accounts with recent requests at this gateway. */
  std::vector<AccountWork> recent_work(Instant now) const;
  /** Takes in the report of another gateway. */
  void apply(const AccountWorkReport& report, Instant now);

  /** Returns the part of the account's requests that was sent, relative to that of all requests to
   * the service, at most 1. Returns nothing if the account has no requests. */
  std::optional<double> relative_sent_share(std::string_view service,
                                            std::string_view account) const;

  /** Returns the part of the work asked of the service that was sent; 1 if none was asked. */
  double sent_share(std::string_view service) const;

  /** Takes O(log n) for n accounts, and O(n log n) once in each `kReportInterval`. */
  AccountStanding standing(std::string_view service, std::string_view account, Instant now);

 private:
  // Sums of work, of which earlier work counts less.
  struct RecentWork {
    double sent = 0;
    double refused = 0;
    Instant at;

    void decay(Instant now);
    double asked() const { return sent + refused; }
  };
  struct Account {
    AccountWork own;  // Of this gateway.
    Instant own_changed_at;
    RecentWork recent;  // Of all gateways.
  };
  struct Service {
    std::map<std::uint64_t, Account> accounts;
    RecentWork recent;  // Of all accounts.
    double level = 0;
    std::optional<Instant> level_at;
    std::optional<Instant> overloaded_since;
  };
  struct Peer {
    std::uint64_t incarnation = 0;
    Instant heard_at;
    std::unordered_map<std::uint64_t, AccountWork> last;  // By service and account.
  };

  Account& account_at(std::uint64_t service_key, std::uint64_t account_key);
  void add(std::uint64_t service_key,
           std::uint64_t account_key,
           Cost sent,
           Cost refused,
           Instant now);
  static void update_level(Service& service, Instant now);

  std::map<std::uint64_t, Service> services_;
  std::map<std::string, Peer, std::less<>> peers_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_OVERLOAD_ACCOUNT_SHARES_H_
