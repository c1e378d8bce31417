// Lending of parts of a common limit between gateways for a short time.
//
// Load pattern: the requests that a cold upstream bears are divided evenly among the gateways, but
// the load balancer distributes callers unevenly and prompts prefer the upstream that has them
// cached. The busiest gateways refuse requests while the parts of others are unused. Parts that
// followed estimates of the traffic would exceed the limit whenever the estimates differ. Therefore
// a gateway that has used up its part asks others, and each lends what it does not use: the sum
// over all gateways stays the same, whichever messages are lost, late or duplicated.

#ifndef BLUEBELLSTEP_COLD_LIMIT_QUOTA_LENDING_H_
#define BLUEBELLSTEP_COLD_LIMIT_QUOTA_LENDING_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"

namespace bluebellstep {

/** A number of requests to one upstream within the window of a limit. */
struct QuotaAmount {
  std::uint64_t upstream_hash = 0;
  std::uint32_t requests = 0;

  bool operator==(const QuotaAmount&) const = default;
};

/** A gateway asks another one to lend it parts of the limits of some upstreams. */
struct QuotaRequest {
  std::uint64_t borrower = 0;  // Incarnation of the gateway that asks.
  std::uint64_t id = 0;        // Increases with each request of the incarnation.
  std::vector<QuotaAmount> wanted;
};

/** The answer to a `QuotaRequest`. Replaces what the same gateway lent before. */
struct QuotaGrant {
  std::uint64_t lender = 0;  // Incarnation of the gateway that answers.
  std::uint64_t borrower = 0;
  std::uint64_t request_id = 0;
  std::vector<QuotaAmount> granted;
};

/** Encode and decode the messages as datagrams. Nothing is returned for other datagrams. */
std::string encode_quota_request(const QuotaRequest& request);
std::optional<QuotaRequest> decode_quota_request(std::span<const std::uint8_t> bytes);
std::string encode_quota_grant(const QuotaGrant& grant);
std::optional<QuotaGrant> decode_quota_grant(std::span<const std::uint8_t> bytes);

/** What one gateway has lent to others and borrowed from them.
 *
 * A loan ends for the borrower `kTerm` after it sent its request. The lender counts it as lent for
 * `kTerm` and one window of the limit after it received the request, which is later: until then the
 * requests that the borrower sent may count towards the limit. A gateway that restarts forgets what
 * it lent, so it must not use its part for `kHoldTime` after its start.
 *
 * All times are read from one monotonic clock.
 */
class QuotaLending {
 public:
  /** For how long a borrower may use a loan. */
  static constexpr Duration kTerm{800};
  /** For how long the lender does not use it. The limits apply to windows of a second; requests may
   * arrive 0.3 s after they were counted. */
  static constexpr Duration kHoldTime{2100};
  /** A part that was needed within this time is neither lent nor given up. */
  static constexpr Duration kDemandTime{300};
  /** Upper bound on what is asked of one gateway for one upstream. */
  static constexpr std::uint32_t kMaxWanted = 64;
  /** Upper bound on the upstreams in a request, so that it fits into a datagram. */
  static constexpr std::size_t kMaxUpstreams = 64;
  /** Number of gateways that are asked at a time. */
  static constexpr std::size_t kMaxLenders = 16;

  /** @param incarnation  Random number that names this start of the gateway. */
  explicit QuotaLending(std::uint64_t incarnation) : incarnation_(incarnation) {}

  /** The number of requests that this gateway may send within a window, given its own part. */
  std::uint32_t allowance(std::uint64_t upstream_hash, std::uint32_t own_part, Instant now);

  /** A request could not be sent, because the allowance of the upstream was used up. */
  void record_denied(std::uint64_t upstream_hash, Instant now);
  /** A request was sent that the own part without loans would not have allowed. */
  void record_borrowed_use(std::uint64_t upstream_hash, Instant now);

  /** Returns the request to send to `lenders` other gateways, or nothing if none is needed. */
  std::optional<QuotaRequest> make_request(std::size_t lenders, Instant now);

  /** Lends what is left of the own part. Returns the granted number.
   *
   * @param own_part  Of the limit of the upstream; 0 while this gateway may not use it.
   * @param own_use   Requests of this gateway within the last window.
   */
  std::uint32_t lend(std::uint64_t borrower,
                     const QuotaAmount& wanted,
                     std::uint32_t own_part,
                     std::uint32_t own_use,
                     Instant now);

  /** Accepts a loan. Grants that answer no request of the last `kTerm` are ignored. */
  void apply(const QuotaGrant& grant, Instant now);

  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct Lent {
    std::uint64_t borrower = 0;
    std::uint32_t requests = 0;
    Instant until;
  };
  struct Loan {
    std::uint64_t lender = 0;
    std::uint64_t request_id = 0;  // Of the latest grant; earlier ones are ignored.
    std::uint32_t requests = 0;
    Instant until;
  };
  struct Upstream {
    std::vector<Lent> lent;
    std::vector<Loan> loans;
    std::optional<Instant> denied_at;
    std::optional<Instant> needed_at;  // Denied, or sent by a loan.
    std::uint32_t wanted = 1;          // In all; doubles while requests are denied.
  };
  struct SentRequest {
    std::uint64_t id = 0;
    Instant sent_at;
  };

  static void remove_expired(Upstream& upstream, Instant now);
  static std::uint32_t borrowed(const Upstream& upstream);

  std::uint64_t incarnation_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Upstream> upstreams_;  // Only those with loans or demand.
  std::deque<SentRequest> sent_requests_;        // Within the last `kTerm`.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_COLD_LIMIT_QUOTA_LENDING_H_
