// Admission control of a sidecar: decides whether a request is dispatched to its upstream, queued
// or refused.
//
// Only the sidecar sees all load on its upstream, so the limits that must hold for any number of
// entry instances are enforced here. A request is refused only before its dispatch, so the verdict
// of a refusal is always "not run".

#ifndef BLUEBELLSTEP_ADMISSION_ADMISSION_CONTROLLER_H_
#define BLUEBELLSTEP_ADMISSION_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "admission/cold_detector.h"
#include "admission/slow_start.h"
#include "base/clock.h"
#include "base/id.h"
#include "base/verdict.h"

namespace bluebellstep {

/** Identifies a running request. The id of a finished request never becomes valid again. */
using SlotId = Id<struct SlotTag, std::uint64_t>;

/** Limits of one upstream. */
struct AdmissionLimits {
  /** Maximum number of concurrent requests on a warm upstream. */
  std::uint32_t max_running = 32;
  /** Maximum number of running requests without a first token; 0 for no limit. If no more requests
   * are dispatched than the engine can prefill at once, the fair queue determines the order of
   * prefills. */
  std::uint32_t max_prefilling = 0;
  /** KV memory of the upstream in tokens; 0 for no limit. */
  std::uint64_t kv_tokens = 0;
  /** Maximum number of queued requests per slot of the current concurrency limit. The maximum
   * scales with the limit because requests waiting for a cold upstream are better served by
   * another. When the queue is full, each account may still queue up to its equal share of the
   * maximum, so that a flood from one account does not lock out the others. */
  std::uint32_t waiting_per_slot = 4;
  SlowStartLimits slow_start;
};

/** A request to be admitted. */
struct AdmissionRequest {
  /** Model to run; nothing for a plain service. */
  std::optional<ModelId> model;
  /** Weight version that the request's blocks are keyed by; ignored for a plain service. */
  std::string_view weight_version;
  /** Maximum number of KV tokens that the request can use: prompt plus answer. */
  std::uint64_t kv_tokens = 0;
  /** Current contents of the fair queue: all requests, the requests of this account, and the number
   * of accounts with at least one request. */
  std::size_t waiting = 0;
  std::size_t account_waiting = 0;
  std::size_t waiting_accounts = 0;
  /** Whether the account is within its share, see `FairQueue::is_within_share`. Such a request is
   * admitted ahead of queued requests and is exempt from `max_prefilling`. The caller must dispatch
   * it with a high engine priority, so that the engine prefills it before the others. */
  bool within_share = false;
  /** True for the front request of the fair queue, false for a new arrival. */
  bool from_queue = false;
};

/** The request may be dispatched now; it occupies `slot` until `AdmissionController::finish`. */
struct Admitted {
  SlotId slot;
};

/** The request may wait in the fair queue; the caller retries the admission later. */
struct Queued {};

/** The request must not be dispatched. */
struct Refused {
  Verdict verdict;
};

using Admission = std::variant<Admitted, Queued, Refused>;

/** How a running request ended. */
enum class Outcome : std::uint8_t {
  kCompleted,         // The complete answer arrived.
  kFailed,            // The upstream answered with an error.
  kCancelled,         // The caller disconnected or cancelled the request.
  kConnectionFailed,  // The connection was refused or reset.
};

/** Enforces the limits of one upstream on concurrency, KV memory and slow start, and refuses
 * requests for another weight version, while the zone is out of service and while the upstream is
 * leaving. */
class AdmissionController {
 public:
  /** Slow start begins at `now`. */
  AdmissionController(const AdmissionLimits& limits, Instant now);

  /** Decides on a request. While others are queued, a new arrival is queued too, so that it cannot
   * overtake them, unless its account is within its share. */
  Admission try_admit(const AdmissionRequest& request, Instant now);

  /** Records the first token of a running request. Returns a signal if the report shows that the
   * upstream became cold. Slow start has then been restarted, and the caller should discard what it
   * knows about the engine's cache. Unknown slots are ignored. */
  std::optional<ColdSignal> first_token(SlotId slot, Instant now, const FirstTokenReport& report);

  /** Frees the slot of a running request. Returns a signal if `outcome` shows that the upstream
   * became cold. Unknown slots are ignored, so repeated calls have no effect. */
  std::optional<ColdSignal> finish(SlotId slot, Instant now, Outcome outcome);

  /** Restarts slow start. Running requests keep their slots until `finish`. */
  void upstream_restarted(Instant now);

  /** Sets the weight version that new requests for `model` must have. */
  void set_weight_version(ModelId model, std::string_view version);

  /** Sets whether the zone is out of service; new requests are refused while it is. */
  void set_zone_out_of_service(bool out_of_service) { zone_out_of_service_ = out_of_service; }

  /** Sets whether the upstream is leaving; new requests are refused while it is. */
  void set_leaving(bool leaving) { leaving_ = leaving; }

  /** Reports that the process is running. Call it at the start and then at least every
   * `kPauseThreshold` / 2; `try_admit` counts as a call too, after the first one. No request is
   * admitted for `kHoldAfterStart` after the first call, and for `kHoldAfterPause` after a gap of
   * more than `kPauseThreshold` between two calls. Both holds are disabled if this function is
   * never called. */
  void report_alive(Instant now);

  /** A longer gap between two calls means that the process was paused. A zone notice must take
   * effect within 2 s; a pause up to this threshold leaves half of that time for its delivery. */
  static constexpr Duration kPauseThreshold = {1000};

  /** Time after a pause during which no request is admitted. It covers reading the requests and
   * heartbeats that arrived during the pause, and two rounds of new heartbeats. */
  static constexpr Duration kHoldAfterPause = {1000};

  /** Time after the start during which no request is admitted. Entry instances reconnect within
   * one second. One of them may have just started as well and lack the current zone notices; the
   * heartbeats of the others bring them. */
  static constexpr Duration kHoldAfterStart = {1500};

  /** Returns the concurrency limit at `now`. */
  std::uint32_t limit(Instant now) const;

  /** Whether slow start currently keeps the limit below the maximum. */
  bool is_cold(Instant now) const { return limit(now) < limits_.max_running; }

  std::uint32_t running() const { return running_; }
  std::uint64_t kv_tokens_used() const { return kv_tokens_used_; }

 private:
  struct Slot {
    // Upper half of the slot id; distinguishes successive requests in the slot.
    std::uint32_t use_count = 0;
    bool in_use = false;
    bool has_first_token = false;
    bool admitted_warm = false;
    std::uint64_t start_count = 0;  // Value of start_count_ at admission.
    std::uint64_t kv_tokens = 0;
  };

  std::optional<Verdict> find_refusal(const AdmissionRequest& request) const;
  bool may_wait(const AdmissionRequest& request, Instant now) const;
  bool has_capacity(const AdmissionRequest& request, Instant now) const;
  SlotId take_slot(const AdmissionRequest& request, Instant now);
  Slot* find_slot(SlotId slot);

  AdmissionLimits limits_;
  SlowStart slow_start_;
  ColdDetector cold_detector_;
  std::unordered_map<ModelId, std::string> weight_versions_;
  bool zone_out_of_service_ = false;
  bool leaving_ = false;
  std::optional<Instant> last_alive_at_;  // When `report_alive` was last called; unset initially.
  std::optional<Instant> held_until_;     // End of the hold after the start or the last pause.
  std::uint64_t start_count_ = 0;         // Number of restarts of the upstream.

  // running_, prefilling_ and kv_tokens_used_ are sums over the slots in use. free_slots_ contains
  // exactly the indices of the other slots.
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_slots_;
  std::uint32_t running_ = 0;
  std::uint32_t prefilling_ = 0;
  std::uint64_t kv_tokens_used_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ADMISSION_ADMISSION_CONTROLLER_H_
