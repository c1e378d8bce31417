// Roll-out of one service to another software version: which versions receive requests, and what to
// decide.
//
// Load pattern: an operator starts servers of a new version beside the old ones and orders the
// service to be moved there within seconds. The version may be bad, gateways restart, lose the
// store or each other, and the old servers stop as soon as success is written. Every gateway
// therefore evaluates the same outcomes and stops by itself; one of them writes the decision, and
// the conditional write of the store excludes all others.
//
// A store that was restored from an older copy may have lost the order and the decision, or have
// earlier ones again. The order is then kept for some time, until the operator has written it
// again, with another creation revision. The decision is written again by the gateways that know
// it.
//
// Phases, by share of the time from the order to its deadline: a small part of the requests, then
// (trial) all requests until the allowance is used up, then the decision.

#ifndef BLUEBELLSTEP_SERVICE_ROLLOUT_SERVICE_ROLLOUT_H_
#define BLUEBELLSTEP_SERVICE_ROLLOUT_SERVICE_ROLLOUT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "service_rollout/rollout_order.h"
#include "service_rollout/version_evidence.h"
#include "service_rollout/version_exposure.h"
#include "service_rollout/version_judge.h"

namespace bluebellstep {

/** Limits on roll-outs, which apply to all gateways together. */
struct RolloutLimits {
  ExposureLimit exposure;
  // No request may be sent to a bad version later than this after its 50th bad answer.
  Duration rollback_after{5000};
};

/** A write to the store that a roll-out needs. */
struct RolloutWrite {
  /** The decision to write if the stored one still has `decision.revision`; otherwise the status of
   * the order, which is the state of `decision`. */
  bool is_status = false;
  RolloutDecision decision;
  StoreRevision order_revision;  // For the status.
  std::string_view reason;       // For the log, like the verdict.
  VersionVerdict verdict;
};

/** The roll-outs of one service, one after the other. All times are read from one monotonic clock.
 */
class ServiceRollout {
 public:
  /** Part of the allowance that is used before the trial. */
  static constexpr double kCanaryPart = 0.4;
  /** Starts of the trial, of the decision and of a decision on too few answers, and the end of the
   * wait for silent gateways: shares of the duration. The rest must suffice for all gateways to
   * learn of the decision and for the requests at old servers to end. */
  static constexpr double kTrialShare = 0.65;
  static constexpr double kDecisionShare = 0.75;
  static constexpr double kLastDecisionShare = 0.88;
  static constexpr double kSilentShare = 0.93;
  /** A gateway without reports for this long is silent. */
  static constexpr Duration kReportTimeout{2000};
  /** Delay of a write for each live gateway that ranks higher. */
  static constexpr Duration kDelayPerRank{400};
  /** An order that is missing for this long was withdrawn. */
  static constexpr Duration kWithdrawalDelay{2000};
  /** An order that a restored store does not have is kept for this long. Operators write within
   * some seconds again what was lost. */
  static constexpr Duration kLostOrderTime{10'000};

  /** @param gateway  Name of this gateway. */
  ServiceRollout(std::string service, std::string gateway, RolloutLimits limits)
      : service_(std::move(service)), gateway_(std::move(gateway)), limits_(limits) {}

  /** Sets the order; nothing if there is none. Earlier revisions of the known order are ignored.
   *
   * @param slack_part  This gateway's part of the slack; 0 for an order found at the start.
   * @param era         Of the store that told of the order, or that has none.
   */
  void set_order(std::optional<RolloutOrder> order,
                 std::uint32_t slack_part,
                 std::uint64_t era,
                 Instant now);
  /** Sets the decision as it is in the store. Earlier revisions are ignored. */
  void set_decision(const RolloutDecision& decision);
  /** The decision's object is missing. The next write creates it; what was decided remains. */
  void on_decision_removed(std::uint64_t era);
  /** Sets the versions of the registered upstreams. */
  void set_registered_versions(VersionNames versions);
  /** Takes in the report of another gateway. */
  void on_report(const VersionReport& report, Instant now);

  /** Whether a request may be sent to an upstream of `version` now. */
  bool allows(std::string_view version) const;
  /** Whether upstreams of `version` are to be avoided while one of the new version may be used. */
  bool avoids(std::string_view version) const;

  /** Sets for how long new servers are slower than usual. */
  void set_cold_time(Duration cold_time) { cold_time_ = cold_time; }

  /** A request is sent to an upstream of `version`. Returns the phase, for its outcome. */
  RolloutPhase record_sent(std::string_view version);
  /** The upstream of a request that was counted as sent was not reached. */
  void record_not_reached(std::string_view version);
  /** A request that was counted as sent has ended. Call `record_outcome` before where it applies.
   */
  void record_finished(std::string_view version);
  /** Records what became of a request to `version`. Sets `RequestOutcome::new_version`. */
  void record_outcome(std::string_view version, RequestOutcome outcome);

  /** Evaluates the outcomes. Returns a write to make now, if any; call again after its answer.
   *
   * @param gateways       Names of the registered gateways.
   * @param store_current  Whether the store's objects are current here.
   */
  std::optional<RolloutWrite> advance(const VersionNames& gateways,
                                      bool store_current,
                                      Instant now);

  /** Whether `advance` must be called and reports be sent: a roll-out has not ended. */
  bool active() const;

  /** Returns the report for the other gateways. The sender sets name, sequence and incarnation. */
  VersionReport make_report(Instant now) const;

  const std::string& service() const { return service_; }
  const std::optional<RolloutOrder>& order() const { return order_; }
  /** State of the order as far as known here or by a gateway whose report was received. */
  RolloutState state() const;
  /** Requests since the order to the new version and to all versions. */
  std::uint64_t new_requests() const { return trial_ ? trial_->exposure.new_requests() : 0; }
  std::uint64_t all_requests() const { return trial_ ? trial_->exposure.all_requests() : 0; }
  /** Requests in flight at versions other than the ordered one. */
  std::uint64_t old_in_flight() const;

 private:
  // What is known of one order. Replaced with the order.
  struct Trial {
    Instant seen_at;     // When this gateway learned of the order.
    Instant started_at;  // The same for the first gateway that did; at most `seen_at`.
    VersionExposure exposure;
    VersionEvidence evidence;
    double used_part = 0;                        // Of the allowance, at present.
    double slack_share = 0;                      // Part of the slack that counts at present.
    RolloutPhase phase = RolloutPhase::kCanary;  // Never goes back, and is not `kAccepted`.
    std::optional<Instant> first_answer_at;      // Of the new version; when it was noticed.
    bool was_current = false;  // The store's objects have been current since `seen_at`.
    bool rolls_back = false;   // Never reset: a version is not tried again.
    // The ordered version is the only one in use, so there is nothing to compare or to limit.
    bool is_present_version = false;
    // The most advanced of all reports and of the known status.
    RolloutState reported_state = RolloutState::kNone;
    std::string_view reason;  // Of `rolls_back`.
    VersionVerdict verdict;
    // Creation revisions of the order before it was written again to a restored store.
    std::set<std::uint64_t> earlier_created;
  };

  // Whether `order`, which is not the known one, is the known one that was written again.
  bool continues(const RolloutOrder& order) const;
  // Whether the restored store, in `era`, has lost the known order, so that it is kept.
  bool keeps_lost_order(const std::optional<RolloutOrder>& order, std::uint64_t era, Instant now);
  void continue_with(const RolloutId& id);
  bool is_of_order(const VersionReport& report) const;
  bool decision_matches() const { return order_ && decision_.id == order_->id; }
  bool is_rejected(std::string_view version) const;
  void update_established();
  void check_present_version();
  double elapsed_share(Instant now) const;
  // Part of the allowance that may be used now.
  double usable_part(bool store_current, Instant now) const;
  void judge(Instant now);
  bool permits_new_version() const;
  // Index of the first part of the outcomes in which the new servers are warm.
  std::size_t first_warm_part(Instant now) const;
  // Returns the state that the decision should have, or its present one.
  RolloutState wanted_state(const VersionNames& gateways, Instant now);
  // The same at the end of the time for a judgement.
  RolloutState state_without_judgement();
  bool old_servers_are_idle(const VersionNames& gateways, Instant now) const;
  bool is_live(std::string_view gateway, Instant now) const;
  // Number of gateways that write before this one.
  std::size_t rank(const VersionNames& gateways, Instant now) const;
  RolloutDecision next_decision(RolloutState state) const;
  std::optional<RolloutWrite> wanted_write(const VersionNames& gateways, Instant now);

  std::string service_;
  std::string gateway_;
  RolloutLimits limits_;
  std::optional<RolloutOrder> order_;
  std::optional<Trial> trial_;  // Set if `order_` is.
  RolloutDecision decision_;
  // The decision must be written again, since a restored store has lost it.
  bool decision_lost_ = false;
  std::uint64_t decision_era_ = 0;       // Of the store that told of the decision last.
  std::set<RolloutId> replaced_orders_;  // Orders before the present one.
  std::optional<Instant> order_lost_since_;
  std::optional<Instant> order_missing_since_;
  VersionNames registered_versions_;
  // Versions that receive requests without an order. Never empty once an upstream was registered
  // that may be used.
  VersionNames established_;
  Duration cold_time_{3000};
  std::map<std::string, std::uint64_t, std::less<>> in_flight_;  // By version.
  // The write that is due, without its verdict, and since when.
  std::optional<RolloutWrite> due_write_;
  Instant due_since_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SERVICE_ROLLOUT_SERVICE_ROLLOUT_H_
