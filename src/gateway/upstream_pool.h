// The upstreams known to a gateway, the requests it has in flight at each of them, and the choice
// of an upstream for each request.
//
// Load pattern: long prompts return after gaps, through many gateways. The engine that has a prompt
// cached may be busy, and prefilling the prompt at another engine takes long. Therefore the score
// of an upstream is its expected wait plus the cost of fetching or prefilling the segments that it
// lacks.

#ifndef BLUEBELLSTEP_GATEWAY_UPSTREAM_POOL_H_
#define BLUEBELLSTEP_GATEWAY_UPSTREAM_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "cold_limit/cold_limit.h"
#include "gateway/cache_directory.h"
#include "gateway/decoded_headers.h"
#include "gateway/first_event_predictor.h"
#include "gateway/load_aggregator.h"
#include "gateway/request_quota.h"
#include "gateway/serving_config.h"
#include "gateway/upstream_health.h"
#include "overload/admission_control.h"
#include "overload/overload_policy.h"
#include "service_rollout/service_rollouts.h"
#include "upstream_speed/request_time.h"
#include "upstream_speed/upstream_speed.h"

namespace bluebellstep {

/** Limits that apply to the sum of the requests of all gateways. */
struct PoolLimits {
  // A cold upstream receives at most `cold_overage` times the request rate that it can sustain,
  // plus `cold_slack` requests per second.
  double cold_overage = 1.5;
  double cold_slack = 5;
  // After a new target weight version is set, requests may start on older versions for this time.
  Duration version_limit{10'000};
  // For this time after its start, a gateway may use versions older than the target it found. It
  // does not know when that target was set, and requests may wait for seconds in an engine's queue
  // before they start.
  Duration startup_grace{500};
  // Upstreams renew their registrations at this interval; a registration expires after three
  // intervals without a renewal.
  Duration registration_interval{1200};
  // Upstreams whose registrations expired during an outage of the platform's store register again
  // within this time after the outage.
  Duration reregistration_grace{2500};
  // Longest time between two answers of a store that works.
  Duration max_answer_gap{1300};
  // Refuses by `OverloadPolicy` while requests are refused, instead of `AdmissionControl` alone.
  bool load_shedding = false;
};

/** The properties of a request that determine the choice of its upstream. */
struct PickQuery {
  const ServiceInfo* service = nullptr;
  std::string_view zone;   // Zone of this gateway.
  std::string_view route;  // Requests of different routes may take different times.
  std::string_view model;  // Empty for plain services.
  const ClientAccount* account = nullptr;
  std::span<const PromptSegment> prompt;
  std::uint32_t prompt_tokens = 0;
  std::size_t body_bytes = 0;
  bool may_retry = false;     // The request may be sent to another upstream if it fails.
  std::int64_t priority = 0;  // Of the account or else of the route; 0 is the most urgent.
  Duration latency_goal{0};   // 0 if the request is sent whatever the load is.
  Duration time_left{0};      // Until the deadline of the request.
  bool resumes = false;       // The caller takes a stream up.
  // Hash of the request's id. Orders upstreams with nearly equal scores.
  std::uint64_t tie_breaker = 0;
  std::span<const std::string> excluded_ids;  // Upstreams that were already tried.
  // Software versions at which the request may run; unset for any.
  std::optional<std::span<const std::string>> software_versions;
};

/** The upstream chosen for a request, with the estimates that the choice is based on. */
struct PickedUpstream {
  std::string upstream_id;
  Endpoint endpoint;
  std::string software_version;
  std::optional<std::uint64_t> weight_version;
  // Until the first event, or until the answer of a plain service, at an upstream of usual speed.
  FirstEventPredictor::Work expected_work;
  double speed_factor = 1;  // By which the work is expected to take longer at this upstream.
  std::uint32_t uncached_tokens = 0;  // Prompt tokens that the engine must prefill.
  std::uint32_t held_tokens = 0;      // Prompt tokens expected in the engine's own KV cache.
  std::string cache_namespace;        // Of the prompt's cached segments. Empty for plain services.
  CachePlan cache_plan;
  // What the request was sent by. Set while requests to the service are refused.
  std::optional<AdmissionDecision> admission;
};

/** No upstream can accept the request at present. */
struct NoUpstreamAvailable {
  Duration retry_after{0};  // Suggested to the caller.
  std::string_view reason;
  // Of the engine with the shortest queue, if that was too long.
  std::optional<AdmissionDecision> admission;
};
using PickResult = std::variant<PickedUpstream, NoUpstreamAvailable>;

/** How an attempt to have an upstream answer a request ended, as far as it concerns the health of
 * the upstream. */
enum class AttemptOutcome {
  kAnswered,
  kError,               // Error response generated by the upstream itself.
  kRejected,            // Not run: the upstream is full, loads weights, or is not the expected one.
  kFailed,              // Connection lost, timeout or unusable response.
  kNotReached,          // The connection could not be established.
  kCallerDisconnected,  // Cancelled. Says nothing about the upstream.
};

/** Chooses upstreams by estimated wait, cached prompt segments, zone, health and weight version.
 *
 * All times are read from one monotonic clock.
 */
class UpstreamPool {
 public:
  /** @param quota  Divides the limits of cold upstreams among the gateways. */
  UpstreamPool(PoolLimits limits,
               CacheDirectory& cache,
               const LoadAggregator& load_aggregator,
               const RequestQuota& quota)
      : limits_(limits),
        cache_(cache),
        load_aggregator_(load_aggregator),
        quota_(quota),
        cold_limit_(quota, load_aggregator, cold_bound(limits)) {}

  void set_limits(const PoolLimits& limits) {
    limits_ = limits;
    cold_limit_.set_bound(cold_bound(limits));
  }

  /** Sets what decides which software versions receive requests. It must outlive this object. */
  void set_rollouts(const ServiceRollouts& rollouts) { service_rollouts_ = &rollouts; }

  /** Adds or updates an upstream. If its start time or endpoint has changed, the process was
   * restarted, and its health and reported load are reset. */
  void put(UpstreamRegistration registration, Instant now);
  /** Removes an upstream whose registration was removed from the platform's store; see
   * `record_store_answer` for the exception around an outage. */
  void remove(std::string_view id, Instant now);
  /** Removes an upstream whose registration names no usable upstream any more. */
  void discard(std::string_view id, Instant now);
  /** Replaces all registrations by those of a complete list. Missing ones are treated as in
   * `remove`. */
  void replace_all(std::vector<UpstreamRegistration> registrations, Instant now);
  /** Sets the zones whose upstreams receive nothing. The upstreams of a zone that is no longer out
   * of service count as cold. */
  void set_zones_out_of_service(std::set<std::string, std::less<>> zones, Instant now);
  /** Limits the requests to upstreams that are or may be cold. */
  ColdLimit& cold_limit() { return cold_limit_; }
  const ColdLimit& cold_limit() const { return cold_limit_; }
  /** Answers another gateway's request to lend it parts of the limits of cold upstreams. */
  QuotaGrant answer_quota_request(const QuotaRequest& request, Instant now);
  /** Sets the version that engines of a model should have. Versions that are not newer than the
   * current target are ignored.
   *
   * @param set_before_start  The target was set at an unknown time before this gateway started.
   */
  void set_target_weights(const TargetWeights& target, bool set_before_start, Instant now);
  /** Records an answer of the platform's store, to this gateway or to one that passes on what it
   * reads there. A time without answers in which a registration can expire is an outage. An
   * upstream whose registration was removed in an outage or shortly after it is kept for
   * `PoolLimits::reregistration_grace`: the registration may have expired because it could not be
   * renewed, and an upstream that still runs registers again. A lost connection, or an outage that
   * only another gateway had, is no reason to keep an upstream.
   *
   * @param answered_at  When the store answered; earlier than `now` if the answer was passed on.
   */
  void record_store_answer(Instant answered_at, Instant now);
  /** Removes the upstreams that were kept because of an outage and did not register again. */
  void remove_expired_registrations(Instant now);
  std::size_t gateway_count() const { return quota_.gateway_count(); }

  /** Chooses an upstream. Does not count the request; call `record_sent` when it is sent. */
  PickResult pick(const PickQuery& query, Instant now);

  /** Decides on the requests to engines that have too little capacity. */
  OverloadPolicy& overload_policy() { return overload_policy_; }

  /** Sets the function to call when a prompt was sent to an engine that must prefill some of its
   * tokens. */
  void on_prompt_sent(std::function<void(std::uint32_t uncached_tokens)> callback) {
    on_prompt_sent_ = std::move(callback);
  }

  /** Counts a request as in flight at its upstream until `record_finished`. */
  void record_sent(const PickedUpstream& picked, const PickQuery& query, Instant now);
  /** The engine has prefilled the prompt of a request, or the attempt has ended. Call once for each
   * attempt, before `record_finished`. */
  void record_prefill_finished(const PickedUpstream& picked);
  /** The first event of the response arrived `elapsed` after the request was sent. Returns the
   * ratio of that time to the expected one. */
  double record_first_event(const PickedUpstream& picked, Duration elapsed, Instant now);
  /** The answer of a plain service to a request of the route began `elapsed` after the request was
   * sent. */
  void record_answer_time(const PickedUpstream& picked,
                          std::string_view route,
                          Duration elapsed,
                          Instant now);
  /** An attempt at an upstream has ended.
   *
   * @param prompt_tokens  Number of prompt tokens of the request.
   */
  void record_finished(std::string_view id,
                       std::uint32_t prompt_tokens,
                       AttemptOutcome outcome,
                       Instant now);
  /** An upstream reported its load in a response. */
  void record_load(std::string_view id, const ReportedLoad& load, Instant now);
  /** An upstream stated in a response that it leaves. It receives no further requests, whatever its
   * registration says, until it has started again.
   *
   * @param sent_at  When the request was sent; a response from before the last start is ignored.
   */
  void record_leaving(std::string_view id, Instant sent_at);
  /** An upstream turned a request away and wants no further one from this gateway until `until`.
   * The latest of several times counts. Ends with a new start of the upstream.
   *
   * @param sent_at  See `record_leaving`.
   */
  void record_hold_off(std::string_view id, Instant sent_at, Instant until);
  /** An upstream stated its weight version in an answer. Answers overtake each other, so an older
   * version than the known one counts only if the answer is certain to be newer than what the known
   * version is from: if it was asked for after that had been received. An engine goes back to older
   * weights if it starts again and then carries out a command from before.
   *
   * @param asked_at  When the request was sent; earlier if the statement may be older than that.
   */
  void record_weight_version(std::string_view id,
                             std::string_view model,
                             std::uint64_t version,
                             Instant asked_at,
                             Instant now);
  /** Sets the function to call when an engine went back to older weights. */
  void on_weights_went_back(std::function<void()> callback) {
    on_weights_went_back_ = std::move(callback);
  }
  /** An engine loads weights and rejects requests until it is done, or until `until` at the latest.
   * The other gateways are told. */
  void record_loading(std::string_view id, Instant until);
  /** Sets the function to call when an engine starts to load weights. */
  void on_loading(std::function<void()> callback) { on_loading_ = std::move(callback); }
  /** An upstream rejected a request that was meant for another upstream or weight version.
   *
   * @param replaced  Another upstream has taken over the address; otherwise the weights differ.
   */
  void record_misdirected(std::string_view id, bool replaced, Instant now);

  /** An engine whose weights are older than the target version. */
  struct OutdatedEngine {
    std::string upstream_id;
    Endpoint endpoint;
    std::string model;
    std::uint64_t current_version = 0;
    std::uint64_t target_version = 0;
    std::size_t running_requests = 0;  // As last reported.
    Instant serves_until;              // See `EngineUpdate::serves_until`.
  };
  /** The engines to update. Engines that are leaving are not listed.
   *
   * @param engine_count  Set to the number of engines of models that have a target version.
   */
  std::vector<OutdatedEngine> outdated_engines(std::size_t& engine_count) const;

  /** Updates the oldest version in use of each model. Call it before `settled_versions`. */
  void update_rollouts(Instant now);
  /** Time after which a version that all engines have counts as settled. By then no gateway still
   * fetches cached segments of older versions. */
  static constexpr Duration kSettleTime{4000};
  /** For each model, the version that all its engines have had for at least `kSettleTime`. Segments
   * of older versions in stores can be freed. */
  std::map<std::string, std::uint64_t> settled_versions(Instant now) const;

  /** The prediction of first events by the engines of a service; null before the first answer. */
  const FirstEventPredictor* predictor(std::string_view service) const;

  /** Maximum number of connections from this gateway to one upstream of a service. */
  std::size_t connection_limit(const ServiceInfo& service) const;

  /** Returns the report for the other gateways, and clears the list of segments sent since the last
   * report. */
  LoadReport make_load_report(Instant now);
  /** Takes in what another gateway observed of the speeds of upstreams. */
  void apply_speed_reports(const LoadReport& report, Instant now);

  /** An upstream whose work takes longer or shorter than is usual for its service. */
  struct UnusualSpeed {
    std::string upstream_id;
    double factor = 1;
    double answers = 0;                       // See `UpstreamSpeed::answers`.
    std::optional<double> work_time_percent;  // As last reported to this gateway.
  };
  /** The upstreams of clearly unusual speed, the slowest first. */
  std::vector<UnusualSpeed> unusual_speeds(Instant now) const;

  /** Calls `visit(const UpstreamRegistration&)` for each upstream. */
  template <typename Visitor>
  void visit_registrations(Visitor visit) const {
    for (const auto& [id, upstream] : upstreams_) {
      visit(upstream.registration);
    }
  }

  std::size_t size() const { return upstreams_.size(); }
  bool contains(std::string_view id) const { return upstreams_.find(id) != upstreams_.end(); }
  /** Returns the registration of an upstream as last received, or null. */
  const UpstreamRegistration* find_registration(std::string_view id) const {
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? nullptr : &found->second.registration;
  }

 private:
  struct Upstream {
    // Its weight versions are those last stated by the registration or by the upstream's answers;
    // `record_weight_version` tells which statement is newer.
    UpstreamRegistration registration;
    // By model: when the statement that the known weight version is from was last received.
    std::map<std::string, Instant, std::less<>> weights_stated_at;
    std::uint64_t id_hash = 0;
    Instant known_since;          // When the last start of the upstream became known.
    bool says_it_leaves = false;  // In a response since that start.
    Instant held_off_until;       // It wants no requests from this gateway before.
    ColdLimit::Upstream limit;
    Instant unreached_until;  // Connections to it have failed lately; for the load report.
    bool failed_since_success = false;
    std::optional<Instant> kept_until;  // Set if the registration was removed around an outage.
    Instant doubtful_use_logged_at;
    InFlightLoad in_flight;  // Requests of this gateway only.
    ReportedLoad load;
    Instant load_reported_at;
    UpstreamSpeed speed;
    std::uint32_t start_tag = 0;  // Distinguishes its starts in load reports.
    UpstreamHealth health;
    // Set while the upstream is full, loads weights, cannot be reached or has been replaced at its
    // address. Independent of `health`.
    Instant ejected_until;
    Instant loading_until;  // It loads weights, as far as this gateway knows.
    // Doubles with each failed connection; 0 after an answer.
    Duration unreachable_ejection{0};
  };

  // An upstream that was removed after it had stated that it leaves.
  struct Left {
    std::int64_t started_ms = 0;
    Endpoint endpoint;
    Instant until;  // When this is forgotten.
  };
  using Upstreams = std::map<std::string, Upstream, std::less<>>;

  struct TargetVersion {
    std::uint64_t version = 0;
    Instant set_at;      // When it was set as the target; assumed if that was before the start.
    Instant learned_at;  // By then at the latest it was set.
  };

  // The target versions set for a model, oldest first. Each limits the use of older versions from
  // the time at which it was set.
  using TargetVersions = std::vector<TargetVersion>;

  static ColdBound cold_bound(const PoolLimits& limits) {
    return {.overage = limits.cold_overage, .slack = limits.cold_slack};
  }
  // Time without answers of the store after which registrations may have expired.
  Duration min_outage() const { return limits_.registration_interval * 2; }
  // Logs that a request is sent to an upstream that leaves or has no registration.
  static void log_doubtful_use(Upstream& upstream, Instant now);
  // Removes an upstream, and returns the next one.
  Upstreams::iterator erase(Upstreams::iterator entry, Instant now);
  // Whether the upstream of this registration, which is not known at present, has stated that it
  // leaves.
  bool has_left(const UpstreamRegistration& registration) const;
  // Whether the upstream leaves by its registration or by its own word.
  static bool is_leaving(const Upstream& upstream);
  // Returns the upstream if it has not started again since `sent_at`, else null.
  Upstream* find_since(std::string_view id, Instant sent_at);
  // Whether the upstream's registration was removed and the time for which it is kept has passed.
  bool is_removed(const Upstream& upstream, Instant now) const;
  // Takes in that other gateways cannot reach the upstream.
  void apply_peer_reports(Upstream& upstream, Instant now) const;
  bool is_healthy(Upstream& upstream, const PickQuery& query, Instant now) const;
  bool may_receive(const Upstream& upstream, const PickQuery& query, Instant now) const;
  // The cache nodes that hold segments of the query's prompt, for one weight version.
  struct PromptCacheState {
    std::string cache_namespace;
    CacheDirectory::StoreUse stores;
    CacheDirectory::FetchCandidates fetch_candidates;
  };
  using CacheStateByVersion = std::map<std::uint64_t, PromptCacheState>;

  // What is learnt of the upstreams of a service.
  struct ServiceTimes {
    FirstEventPredictor predictor;  // Engines.
    RequestTime request_time;       // Plain services.
    ServiceSpeed speed;
  };

  static double tie_break_ms(double position, const PickQuery& query, const ServiceTimes& times);
  // The estimates for a request at one upstream.
  struct Estimate {
    double cost_ms = 0;                // Upstreams are compared by it.
    FirstEventPredictor::Work queued;  // Before the upstream starts on the request.
    FirstEventPredictor::Work own;     // Of the request itself.
    double speed_factor = 1;           // By which both take longer at this upstream.
  };
  Estimate estimate(const Upstream& upstream,
                    const PickQuery& query,
                    const ServiceTimes& times,
                    std::size_t rank,
                    CacheStateByVersion& cache_states,
                    Instant now) const;
  // Returns what decides on the admission of the request at an engine.
  static AdmissionInputs admission_inputs(const Estimate& estimate,
                                          const PickQuery& query,
                                          const FirstEventPredictor& predictor);
  bool has_idle_slots(const Upstream& upstream, Instant now) const;
  static OverloadRequest overload_request_of(const PickQuery& query);
  const PromptCacheState& cache_state_of(const Upstream& upstream,
                                         const PickQuery& query,
                                         CacheStateByVersion& cache_states,
                                         Instant now) const;
  PickedUpstream plan_request(const Upstream& upstream,
                              const Estimate& estimate,
                              const PickQuery& query,
                              CacheStateByVersion& cache_states,
                              Instant now) const;
  FirstEventPredictor::Work queued_work(const Upstream& upstream,
                                        const PickQuery& query,
                                        const ServiceTimes& times,
                                        Instant now) const;
  const ServiceTimes& times_of(const ServiceInfo& service) const;
  static std::uint32_t start_tag(const UpstreamRegistration& registration);
  std::optional<std::uint64_t> version_of(const Upstream& upstream, std::string_view model) const;
  bool has_older_weights(const Upstream& upstream) const;
  std::uint64_t newest_target(std::string_view model) const;
  // When requests end to start on `version`, whatever gateway sends them.
  Instant serves_until(std::uint64_t version, std::string_view model) const;
  bool is_past_limit(std::uint64_t version, std::string_view model, Instant now) const;

  PoolLimits limits_;
  CacheDirectory& cache_;
  const LoadAggregator& load_aggregator_;
  const RequestQuota& quota_;
  ColdLimit cold_limit_;
  const ServiceRollouts* service_rollouts_ = nullptr;  // Null in deployments without roll-outs.
  Upstreams upstreams_;
  std::map<std::string, Left, std::less<>> left_;
  std::set<std::string, std::less<>> zones_out_of_service_;
  std::map<std::string, TargetVersions, std::less<>> targets_;  // By model; lists are never empty.
  struct Rollout {
    std::uint64_t oldest = 0;  // Oldest version of all engines at the last update.
    // The newest version that all engines were seen to have, or to be newer than.
    std::uint64_t complete_version = 0;
    Instant complete_since;
    // An engine has a version older than `complete_version`, for example after a restart.
    bool has_outdated_engine = false;
  };
  std::map<std::string, Rollout, std::less<>> rollouts_;  // By model.
  std::function<void(std::uint32_t)> on_prompt_sent_;
  std::function<void()> on_loading_;
  std::function<void()> on_weights_went_back_;
  std::map<std::string, ServiceTimes, std::less<>> times_;  // By service.
  OverloadPolicy overload_policy_;
  std::optional<Instant> store_answered_at_;  // Latest `answered_at` of `record_store_answer`.
  // When that answer was recorded, but not much later than the answer itself.
  std::optional<Instant> store_heard_at_;
  std::optional<Instant> outage_ended_at_;  // The last outage of the store.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_UPSTREAM_POOL_H_
