// Decides which requests to a model engine are sent and which are refused when the engines of a
// service have too little capacity.
//
// Load pattern: more prefill is asked of a service than its engines can do. `AdmissionControl`
// looks at one request and one engine: less urgent requests fill the queues up to its limit, urgent
// ones that arrive behind them are late, an account with many requests takes the place of the
// others, and refused callers return while there is still no room. Therefore the limits are
// tightened by what is refused at all gateways together.

#ifndef BLUEBELLSTEP_OVERLOAD_OVERLOAD_POLICY_H_
#define BLUEBELLSTEP_OVERLOAD_OVERLOAD_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "fairness/cost.h"
#include "overload/account_shares.h"
#include "overload/admission_control.h"

namespace bluebellstep {

/** A request that is sent to an engine or refused. */
struct OverloadRequest {
  std::string_view service;
  std::string_view account;          // Name; empty for callers without an account.
  std::int64_t priority = 0;         // 0 is the most urgent.
  std::int64_t urgent_priority = 0;  // Of the most urgent requests to the service.
  std::uint32_t prompt_tokens = 0;
  std::uint64_t id_hash = 0;  // Hash of the request's id, which a caller keeps when it returns.
};

/** What competes with a request at present. The same for all engines of a service. */
struct OverloadState {
  AccountStanding standing;
  bool returned = false;  // The request was refused before.
  // Part of the requests of about this size that was sent, relative to that of all sizes of the
  // same kind; at most 1.
  double size_sent_share = 1;
  // Part of the most urgent requests that was sent, relative to that of this kind; at most 1.
  double urgent_sent_share = 1;
};

/** What a request was sent or refused by, for the log. */
struct AdmissionDecision {
  AdmissionInputs inputs;
  OverloadState state;
};

/**
 * Keeps the work of accounts and the requests that were refused, and derives from them how long the
 * queue before a request may be.
 *
 * While no gateway refuses requests to a service, all limits are those of `AdmissionControl`. While
 * requests are refused:
 * - Less urgent requests leave more room for urgent ones, the more is refused, and still more while
 *   urgent ones are refused more often than they.
 * - Requests of an account above its share are refused at a shorter queue than others, so they are
 *   refused first, but never while an engine would be idle without them.
 * - A request that returns may wait longer than its equals.
 * - Callers are asked to return after as long as the overload has lasted already, within the time
 *   that they wait.
 *
 * - A stream that a caller takes up may wait as long as without refusals.
 * - Sizes of prompts that are sent much less often than others of their kind may wait longer.
 *
 * An engine with idle slots is refused to no request that can be answered before its deadline.
 * Decisions depend on the inputs only. A longer queue, a larger part of the work refused, or a
 * larger share used never turns a refusal into a send.
 */
class OverloadPolicy {
 public:
  /** The queue behind a less urgent request must not exceed the urgent goal, and this multiple of
   * it once `kFullPressure` of the work is refused, instead of
   * `AdmissionControl::kMaxUrgentGoalMultiple`. With 1.2, one in five urgent requests was late. */
  static constexpr double kOverloadUrgentGoalMultiple = 0.8;
  static constexpr double kFullPressure = 0.05;
  /** The queue limit of an account above its share is divided by the share that it used, but not
   * reduced below this part. */
  static constexpr double kMinAccountFactor = 0.4;
  /** The queue limit of less urgent requests is reduced by `OverloadState::urgent_sent_share`, but
   * not below this part. */
  static constexpr double kMinUrgentFactor = 0.3;
  /** Sizes of prompts that are sent less often than this part of their kind's average may wait
   * longer, up to `kStarvedGoalMultiple` of the urgent goal at `kStarvedSizeShare`. Otherwise the
   * own work of a large prompt leaves no queue in which it is sent, and under a heavy overload the
   * largest tenth of the long prompts was served an eighth as often as all long prompts. */
  static constexpr double kServedSizeShare = 0.6;
  static constexpr double kStarvedSizeShare = 0.35;
  static constexpr double kStarvedGoalMultiple = 0.9;
  /** Factor on the queue limit of a request that returns. Less urgent ones stay below the limit of
   * urgent ones. Most requests that return are late already: with 1.1, they took the place of
   * others that would have been in time. */
  static constexpr double kReturnedFactor = 1.02;
  /** Part of the time left after which a caller returns at the latest. With jitter, this stays
   * below the third of that time that callers wait. */
  static constexpr double kMaxRetryShare = 0.3;
  /** Refused requests are remembered for this long. */
  static constexpr Duration kRefusedMemory{10'000};
  static constexpr std::size_t kMaxRefusedRequests = 20'000;
  /** Reports are sent at `AccountShares::kReportInterval` for this long after a gateway refused a
   * request, and at `kCalmReportInterval` otherwise. Without reports in calm times, the part of the
   * work that is refused is overestimated when an overload begins. */
  static constexpr Duration kFastReportTime{5000};
  static constexpr Duration kCalmReportInterval{1000};
  /** Refused requests in one report. */
  static constexpr std::size_t kMaxReportedRequests = 500;

  /** Returns what competes with a request. */
  OverloadState state(const OverloadRequest& request, Instant now);

  /** Returns the longest queue with which a request is sent, in ms. */
  static double max_queue_ms(const AdmissionInputs& inputs, const OverloadState& state);
  /** Returns nothing if the request may be sent to the engine; else the time after which the caller
   * should return. */
  static std::optional<Duration> retry_delay(const AdmissionInputs& inputs,
                                             const OverloadState& state);

  /** Returns which limit refuses a request with these inputs. */
  static std::string_view refusal_reason(const AdmissionInputs& inputs, const OverloadState& state);

  /** Record the decision on a request, with the work that it needs at its engine. */
  void record_sent(const OverloadRequest& request, Cost work, Instant now);
  void record_refused(const OverloadRequest& request, Cost work, Instant now);

  /** Returns the reports for the other gateways if they are due. Their sender sets its name and
   * incarnation. */
  std::vector<AccountWorkReport> take_reports(Instant now);
  /** Takes in the report of another gateway. */
  void apply(const AccountWorkReport& report, Instant now);

 private:
  void remember_refused(std::uint64_t id_hash, Instant now);

  AccountShares shares_;
  std::unordered_set<std::uint64_t> refused_requests_;
  std::deque<std::pair<Instant, std::uint64_t>> refused_order_;  // Of `refused_requests_`.
  std::vector<std::uint64_t> unreported_requests_;
  Instant reported_at_;
  Instant report_fast_until_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_OVERLOAD_OVERLOAD_POLICY_H_
