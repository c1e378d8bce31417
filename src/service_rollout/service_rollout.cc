// Eligible versions, judgement and writes of one service.

#include "service_rollout/service_rollout.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"

namespace bluebellstep {
namespace {

// Fifths of `RolloutLimits::rollback_after` at the end of the canary that are judged by themselves.
// The rest is for the reports of other gateways and the spread of the verdict.
constexpr std::int64_t kWindowFifths = 3;

}  // namespace

void ServiceRollout::set_order(std::optional<RolloutOrder> order,
                               std::uint32_t slack_part,
                               std::uint64_t era,
                               Instant now) {
  if (keeps_lost_order(order, era, now)) {
    return;
  }
  if (!order) {
    order_.reset();
    trial_.reset();
    update_established();
    return;
  }
  order_missing_since_.reset();
  if (order_ && order->revision < order_->revision) {
    return;
  }
  if (order_ && order_->id != order->id) {
    if (continues(*order)) {
      continue_with(order->id);
    } else {
      replaced_orders_.insert(order_->id);
    }
  }
  const bool is_new = !order_ || order_->id != order->id;
  if (!is_new && is_terminal(order_->status)) {
    // The restored store may have lost the status.
    trial_->reported_state = std::max(trial_->reported_state, order_->status);
  }
  order_ = std::move(order);
  if (is_new) {
    trial_.emplace(Trial{.seen_at = now,
                         .started_at = now,
                         .exposure = VersionExposure(limits_.exposure.share, slack_part),
                         .evidence = VersionEvidence(limits_.rollback_after * kWindowFifths / 5)});
    due_write_.reset();
    check_present_version();
  }
  update_established();
}

bool ServiceRollout::continues(const RolloutOrder& order) const {
  return order_ && order.id.to == order_->id.to && order.revision.era > order_->revision.era;
}

bool ServiceRollout::keeps_lost_order(const std::optional<RolloutOrder>& order,
                                      std::uint64_t era,
                                      Instant now) {
  const bool lost =
      order_ && era > order_->revision.era && (!order || replaced_orders_.contains(order->id));
  if (!lost) {
    order_lost_since_.reset();
    return false;
  }
  order_lost_since_ = order_lost_since_.value_or(now);
  return now < *order_lost_since_ + kLostOrderTime;
}

void ServiceRollout::continue_with(const RolloutId& id) {
  LogEvent("rollout_order_rewritten")
      .field("service", service_)
      .field("to", id.to)
      .field("created", id.created)
      .field("created_before", order_->id.created);
  trial_->earlier_created.insert(order_->id.created);
  if (decision_matches()) {
    decision_.id = id;
    decision_lost_ = true;
  }
  order_->id = id;
}

void ServiceRollout::set_decision(const RolloutDecision& decision) {
  if (decision.revision < decision_.revision ||
      (decision_lost_ && decision.revision == decision_.revision)) {
    return;
  }
  const bool restored = decision.revision.era > decision_era_;
  decision_era_ = decision.revision.era;
  const bool of_new_order = order_ && decision.id == order_->id && !decision_matches();
  const bool is_older =
      decision.id == decision_.id ? decision.state < decision_.state : restored && !of_new_order;
  if (is_older && decision_.state != RolloutState::kNone) {
    // The store has lost a later decision, on which gateways have acted.
    decision_.revision = decision.revision;
    decision_lost_ = true;
    return;
  }
  decision_ = decision;
  decision_lost_ = false;
  update_established();
}

void ServiceRollout::on_decision_removed(std::uint64_t era) {
  decision_lost_ =
      decision_lost_ || (era > decision_era_ && decision_.state != RolloutState::kNone);
  decision_era_ = std::max(decision_era_, era);
  decision_.revision = {};
}

void ServiceRollout::set_registered_versions(VersionNames versions) {
  if (versions == registered_versions_) {
    return;
  }
  const bool first = registered_versions_.empty();
  registered_versions_ = std::move(versions);
  if (first) {
    check_present_version();
  }
  update_established();
}

// Finds out whether the ordered version is the only one in use. Compares with the versions that
// were in use when the order was seen, so that the loss of all old servers does not look the same.
void ServiceRollout::check_present_version() {
  if (!trial_ || state() != RolloutState::kNone) {
    return;
  }
  const VersionNames& in_use = established_.empty() ? registered_versions_ : established_;
  trial_->is_present_version = in_use.size() == 1 && in_use.contains(order_->id.to);
}

void ServiceRollout::update_established() {
  if (order_ && state() == RolloutState::kSucceeded) {
    established_ = {order_->id.to};
    return;
  }
  if (order_ && !trial_->is_present_version) {
    established_.erase(order_->id.to);
  }
  if (decision_.state == RolloutState::kSucceeded && !decision_matches() &&
      registered_versions_.contains(decision_.id.to)) {
    established_ = {decision_.id.to};
    return;
  }
  std::erase_if(established_, [this](const std::string& version) { return is_rejected(version); });
  const bool in_use = std::any_of(
      established_.begin(), established_.end(),
      [this](const std::string& version) { return registered_versions_.contains(version); });
  const bool in_rollout = order_ && !is_terminal(state());
  if (in_use || (in_rollout && !established_.empty())) {
    return;
  }
  // First upstreams, or the operator has replaced all of them without an order.
  VersionNames usable;
  for (const std::string& version : registered_versions_) {
    const bool on_trial = order_ && !trial_->is_present_version && version == order_->id.to;
    if (!on_trial && !is_rejected(version)) {
      usable.insert(version);
    }
  }
  if (!usable.empty()) {
    established_ = std::move(usable);
  }
}

// Whether an earlier roll-out to the version failed, was withdrawn or was replaced by another one.
bool ServiceRollout::is_rejected(std::string_view version) const {
  if (order_ && order_->id.to == version && !decision_matches()) {
    return false;  // Ordered again.
  }
  if (decision_.rejected_versions.contains(version)) {
    return true;
  }
  if (decision_.id.to != version) {
    return false;
  }
  const bool unfinished =
      decision_.state == RolloutState::kRunning || decision_.state == RolloutState::kAccepted;
  return decision_.state == RolloutState::kRolledBack || (unfinished && !decision_matches());
}

RolloutState ServiceRollout::state() const {
  if (!order_) {
    return RolloutState::kNone;
  }
  const RolloutState decided = decision_matches() ? decision_.state : RolloutState::kNone;
  const RolloutState written = is_terminal(order_->status) ? order_->status : RolloutState::kNone;
  // States are in the order of progress, and a terminal one never changes.
  return std::max({decided, written, trial_->reported_state});
}

bool ServiceRollout::allows(std::string_view version) const {
  if (!order_) {
    return established_.contains(version);
  }
  const RolloutState current = state();
  const bool is_new = version == order_->id.to;
  switch (current) {
    case RolloutState::kAccepted:
    case RolloutState::kSucceeded:
      return is_new;
    case RolloutState::kRolledBack:
      return !is_new && established_.contains(version);
    case RolloutState::kNone:
    case RolloutState::kRunning:
      break;
  }
  if (!is_new) {
    return established_.contains(version);
  }
  return trial_->is_present_version || (!trial_->rolls_back && permits_new_version());
}

bool ServiceRollout::permits_new_version() const {
  return trial_->phase == RolloutPhase::kTrial && trial_->used_part == 1
             ? trial_->exposure.permits_in_trial()
             : trial_->exposure.permits(trial_->used_part, trial_->slack_share);
}

bool ServiceRollout::avoids(std::string_view version) const {
  return order_ && version != order_->id.to && allows(order_->id.to);
}

RolloutPhase ServiceRollout::record_sent(std::string_view version) {
  auto found = in_flight_.find(version);
  if (found == in_flight_.end()) {
    found = in_flight_.emplace(std::string(version), 0).first;
  }
  ++found->second;
  if (!trial_) {
    return RolloutPhase::kCanary;
  }
  const RolloutPhase phase =
      state() >= RolloutState::kAccepted ? RolloutPhase::kAccepted : trial_->phase;
  trial_->exposure.record_sent(version == order_->id.to, phase == RolloutPhase::kTrial);
  if (trial_->phase == RolloutPhase::kTrial && !trial_->exposure.permits(1, 1)) {
    trial_->phase = RolloutPhase::kAfterTrial;
  }
  return phase;
}

void ServiceRollout::record_not_reached(std::string_view version) {
  if (trial_) {
    trial_->exposure.record_not_reached(version == order_->id.to);
  }
}

void ServiceRollout::record_finished(std::string_view version) {
  const auto found = in_flight_.find(version);
  if (found != in_flight_.end() && --found->second == 0) {
    in_flight_.erase(found);
  }
}

void ServiceRollout::record_outcome(std::string_view version, RequestOutcome outcome) {
  // Requests to a version of an earlier order say nothing about the one in use.
  if (trial_ && (version == order_->id.to || established_.contains(version))) {
    outcome.new_version = version == order_->id.to;
    trial_->evidence.record(outcome);
  }
}

std::uint64_t ServiceRollout::old_in_flight() const {
  std::uint64_t sum = 0;
  for (const auto& [version, count] : in_flight_) {
    sum += order_ && version == order_->id.to ? 0 : count;
  }
  return sum;
}

// Also whether one of the two gateways knows the order as it was written again.
bool ServiceRollout::is_of_order(const VersionReport& report) const {
  return report.id.to == order_->id.to && (report.id.created == order_->id.created ||
                                           report.earlier_created.contains(order_->id.created) ||
                                           trial_->earlier_created.contains(report.id.created));
}

void ServiceRollout::on_report(const VersionReport& report, Instant now) {
  if (!order_ || !is_of_order(report) || report.gateway == gateway_ ||
      !trial_->evidence.apply(report, now)) {
    return;
  }
  // A gateway that started later does not know when the order was given.
  trial_->started_at = std::min(trial_->started_at, now - report.elapsed);
  trial_->reported_state = std::max(trial_->reported_state, report.state);
  if (report.rolls_back && !trial_->rolls_back) {
    trial_->rolls_back = true;
    trial_->reason = "reported";
    LogEvent("rollout_stopped")
        .field("service", service_)
        .field("to", order_->id.to)
        .field("why", trial_->reason)
        .field("by", report.gateway);
  }
  update_established();
}

double ServiceRollout::elapsed_share(Instant now) const {
  return static_cast<double>((now - trial_->started_at).ms) /
         static_cast<double>(std::max<std::int64_t>(1, order_->duration.ms));
}

double ServiceRollout::usable_part(bool store_current, Instant now) const {
  if (!store_current) {
    // The version may have been rolled back meanwhile. Other gateways would tell, but the order of
    // a gateway that has started without the store may be older than they remember.
    const auto& peers = trial_->evidence.peers();
    const bool told = std::any_of(peers.begin(), peers.end(),
                                  [&](const auto& peer) { return is_live(peer.first, now); });
    return trial_->was_current && told ? kCanaryPart : 0;
  }
  return decision_matches() && elapsed_share(now) >= kTrialShare ? 1 : kCanaryPart;
}

void ServiceRollout::judge(Instant now) {
  if (trial_->is_present_version || trial_->rolls_back) {
    return;
  }
  const auto parts = trial_->evidence.parts(trial_->phase == RolloutPhase::kCanary, now);
  const bool decision_due =
      elapsed_share(now) >= kDecisionShare && state() < RolloutState::kAccepted;
  trial_->verdict = VersionJudge::judge(parts, decision_due, first_warm_part(now));
  if (!trial_->first_answer_at && trial_->verdict.answers > 0) {
    trial_->first_answer_at = now;
  }
  const VersionVerdict& verdict = trial_->verdict;
  if (verdict.judgement == Judgement::kRollBack) {
    trial_->rolls_back = true;
    trial_->reason = verdict.reason;
    LogEvent("rollout_stopped")
        .field("service", service_)
        .field("to", order_->id.to)
        .field("why", verdict.reason)
        .field("route", verdict.route)
        .field("answers", verdict.answers)
        .field("failures", verdict.failures)
        .field("old_failure_share", verdict.old_failure_share)
        .field("old_ms", verdict.old_ms)
        .field("new_ms", verdict.new_ms)
        .field("after_ms", (now - trial_->started_at).ms);
  }
}

std::size_t ServiceRollout::first_warm_part(Instant now) const {
  // The parts of `VersionEvidence::parts` from the second on begin with the last time of the
  // canary, the trial, and the time after it.
  constexpr std::size_t kRecentCanary = 1;
  constexpr std::size_t kTrial = 2;
  const auto recent_since = trial_->evidence.recent_since();
  if (!trial_->first_answer_at || !recent_since) {
    return std::numeric_limits<std::size_t>::max();
  }
  const Instant warm_at = *trial_->first_answer_at + cold_time_;
  if (warm_at <= *recent_since) {
    return kRecentCanary;
  }
  const Instant trial_at =
      now - Duration{static_cast<std::int64_t>((elapsed_share(now) - kTrialShare) *
                                               static_cast<double>(order_->duration.ms))};
  return warm_at <= trial_at ? kTrial : kTrial + 1;
}

bool ServiceRollout::is_live(std::string_view gateway, Instant now) const {
  if (gateway == gateway_) {
    return true;
  }
  const auto& peers = trial_->evidence.peers();
  const auto found = peers.find(gateway);
  return found != peers.end() && now < found->second.received_at + kReportTimeout;
}

std::size_t ServiceRollout::rank(const VersionNames& gateways, Instant now) const {
  // Before reports can have arrived, all registered gateways count.
  const bool reports_expected = trial_ && now >= trial_->seen_at + kReportTimeout;
  const std::uint64_t key = hash64(service_);
  const std::uint64_t own_score = rendezvous_score(key, hash64(gateway_));
  return static_cast<std::size_t>(
      std::count_if(gateways.begin(), gateways.end(), [&](const std::string& name) {
        return rendezvous_score(key, hash64(name)) > own_score &&
               (!reports_expected || is_live(name, now));
      }));
}

// Whether no gateway has, or may send, requests at servers of other versions.
bool ServiceRollout::old_servers_are_idle(const VersionNames& gateways, Instant now) const {
  if (old_in_flight() > 0) {
    return false;
  }
  for (const auto& [name, peer] : trial_->evidence.peers()) {
    const bool done =
        peer.report.state >= RolloutState::kAccepted && peer.report.old_in_flight == 0;
    if (is_live(name, now) && !done) {
      return false;
    }
  }
  return elapsed_share(now) >= kSilentShare ||
         std::all_of(gateways.begin(), gateways.end(),
                     [&](const std::string& name) { return is_live(name, now); });
}

RolloutState ServiceRollout::wanted_state(const VersionNames& gateways, Instant now) {
  const RolloutState current = state();
  if (is_terminal(current)) {
    return current;
  }
  if (trial_->rolls_back) {
    return RolloutState::kRolledBack;
  }
  if (current == RolloutState::kAccepted) {
    if (!registered_versions_.contains(order_->id.to)) {
      trial_->reason = "no_servers";
      return RolloutState::kRolledBack;
    }
    return old_servers_are_idle(gateways, now) ? RolloutState::kSucceeded : current;
  }
  if (trial_->is_present_version) {
    trial_->reason = "present_version";
    return RolloutState::kAccepted;
  }
  if (current == RolloutState::kNone) {
    trial_->reason = "ordered";
    return RolloutState::kRunning;
  }
  const VersionVerdict& verdict = trial_->verdict;
  if (verdict.judgement == Judgement::kAccept) {
    trial_->reason = verdict.reason;
    return RolloutState::kAccepted;
  }
  return elapsed_share(now) < kLastDecisionShare ? current : state_without_judgement();
}

RolloutState ServiceRollout::state_without_judgement() {
  VersionOutcomes new_version;
  VersionOutcomes old_version;
  for (const RouteComparison& route : trial_->evidence.sums()) {
    new_version += route.new_version;
    old_version += route.old_version;
  }
  if (new_version.answers > 0 && new_version.failures == 0) {
    trial_->reason = "few_answers";
    return RolloutState::kAccepted;
  }
  const bool no_requests = new_version == VersionOutcomes{} && old_version == VersionOutcomes{};
  if (no_requests && registered_versions_.contains(order_->id.to)) {
    trial_->reason = "no_requests";
    return RolloutState::kAccepted;
  }
  // A version that has not answered once may not work at all.
  trial_->reason = "unproven";
  return RolloutState::kRolledBack;
}

RolloutDecision ServiceRollout::next_decision(RolloutState state) const {
  RolloutDecision next = decision_;
  next.state = state;
  if (!order_ || decision_matches()) {
    return next;
  }
  if (decision_.state != RolloutState::kNone && decision_.state != RolloutState::kSucceeded) {
    next.rejected_versions.insert(decision_.id.to);
  }
  next.rejected_versions.erase(order_->id.to);
  next.id = order_->id;
  return next;
}

std::optional<RolloutWrite> ServiceRollout::wanted_write(const VersionNames& gateways,
                                                         Instant now) {
  if (decision_lost_ && (!order_ || decision_matches() || is_terminal(order_->status))) {
    return RolloutWrite{.decision = decision_, .reason = "store_restored"};
  }
  if (!order_) {
    const bool unfinished =
        decision_.state == RolloutState::kRunning || decision_.state == RolloutState::kAccepted;
    if (!unfinished || now < *order_missing_since_ + kWithdrawalDelay) {
      return std::nullopt;
    }
    return RolloutWrite{.decision = next_decision(RolloutState::kRolledBack),
                        .reason = "withdrawn"};
  }
  if (is_terminal(order_->status)) {
    return std::nullopt;
  }
  const RolloutState wanted = wanted_state(gateways, now);
  if (!decision_matches() || wanted != decision_.state) {
    return RolloutWrite{.decision = next_decision(wanted), .reason = trial_->reason};
  }
  RolloutWrite write{.is_status = true,
                     .decision = decision_,
                     .order_revision = order_->revision,
                     .reason = trial_->reason};
  if (!is_terminal(decision_.state)) {
    write.decision.state = RolloutState::kRunning;
  }
  return order_->status == write.decision.state ? std::nullopt : std::optional(std::move(write));
}

std::optional<RolloutWrite> ServiceRollout::advance(const VersionNames& gateways,
                                                    bool store_current,
                                                    Instant now) {
  if (order_ && !is_terminal(state())) {
    judge(now);
    trial_->was_current = trial_->was_current || store_current;
    trial_->used_part = usable_part(store_current, now);
    trial_->slack_share = std::clamp(elapsed_share(now) / kTrialShare, 0.0, 1.0);
    if (trial_->phase == RolloutPhase::kCanary && trial_->used_part == 1) {
      trial_->phase = RolloutPhase::kTrial;
    }
  }
  if (!order_ && !order_missing_since_) {
    order_missing_since_ = now;
  }
  auto write = wanted_write(gateways, now);
  if (!write) {
    due_write_.reset();
    return std::nullopt;
  }
  if (!due_write_ || due_write_->is_status != write->is_status ||
      due_write_->decision.state != write->decision.state) {
    due_write_ = write;
    due_since_ = now;
  }
  const auto delay = kDelayPerRank * static_cast<std::int64_t>(rank(gateways, now));
  if (now < due_since_ + delay) {
    return std::nullopt;
  }
  if (trial_) {
    write->verdict = trial_->verdict;
  }
  return write;
}

bool ServiceRollout::active() const {
  if (decision_lost_) {
    return true;
  }
  if (order_) {
    return !is_terminal(order_->status);
  }
  return decision_.state == RolloutState::kRunning || decision_.state == RolloutState::kAccepted;
}

VersionReport ServiceRollout::make_report(Instant now) const {
  VersionReport report{.service = service_};
  if (trial_) {
    report.id = order_->id;
    report.elapsed = now - trial_->started_at;
    report.state = state();
    report.rolls_back = trial_->rolls_back;
    report.old_in_flight = old_in_flight();
    report.earlier_created = trial_->earlier_created;
    report.outcomes = trial_->evidence.own();
  }
  return report;
}

}  // namespace bluebellstep
