// Decides at the sidecar whether the upstream beside it may take a request.
//
// Only the sidecar sees all load on its upstream, so limits that hold for any number of entry
// instances are decided here. A refusal is made before any dispatch and therefore says "not run".

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

/** Place of a running request. Slots of finished requests are never valid again. */
using SlotId = Id<struct SlotTag, std::uint64_t>;

/** Limits of one upstream. */
struct AdmissionLimits {
  /** Requests running at once on a warm upstream. */
  std::uint32_t max_running = 32;
  /** Requests running without a first token yet; 0 for no limit. Holding back more than the engine
   * can prefill at once leaves the order of prefills to the fair queue. */
  std::uint32_t max_prefilling = 0;
  /** KV memory in tokens; 0 for no limit. */
  std::uint64_t kv_tokens = 0;
  /** Requests that may wait for each slot of the current limit. Waiting requests of a cold upstream
   * are better served elsewhere, so the bound shrinks with the limit. When the queue is full, an
   * account still gets its equal part of the bound, so that a flood does not lock others out. */
  std::uint32_t waiting_per_slot = 4;
  SlowStartLimits slow_start;
};

/** A request that asks to run. */
struct AdmissionRequest {
  /** Model to run on; nothing for a plain service. */
  std::optional<ModelId> model;
  /** Weight version that the request's blocks are keyed by; ignored for a plain service. */
  std::string_view weight_version;
  /** KV tokens the request can use at most: prompt plus answer. */
  std::uint64_t kv_tokens = 0;
  /** Requests that now wait in the fair queue: all, those of this account, and the number of
   * accounts that have any. */
  std::size_t waiting = 0;
  std::size_t account_waiting = 0;
  std::size_t waiting_accounts = 0;
  /** True if the account is within its share, see `FairQueue::is_within_share`. Such a request goes
   * ahead of those waiting and is not held back by `max_prefilling`; it is to be dispatched with a
   * high engine priority, so that the engine prefills it before the others. */
  bool within_share = false;
  /** True for the request that the fair queue would give next, false for a new arrival. */
  bool from_queue = false;
};

/** The request may be dispatched now. */
struct Admitted {
  SlotId slot;
};

/** The request may wait in the fair queue and ask again. */
struct Queued {};

/** The request was not and will not be dispatched. */
struct Refused {
  Verdict verdict;
};

using Admission = std::variant<Admitted, Queued, Refused>;

/** How a running request ended. */
enum class Outcome : std::uint8_t {
  kCompleted,         // The whole answer arrived.
  kFailed,            // The upstream answered with an error.
  kCancelled,         // The caller went away.
  kConnectionFailed,  // The connection was refused or reset.
};

/** Holds the upstream's running requests within concurrency, KV memory, slow start, weight version,
 * zone state and leaving. */
class AdmissionController {
 public:
  /** The upstream counts as freshly started at `now`. */
  AdmissionController(const AdmissionLimits& limits, Instant now);

  /** Decides on a request. A new arrival queues while others wait, so that it cannot overtake. */
  Admission try_admit(const AdmissionRequest& request, Instant now);

  /** Takes in the first token of a running request. Returns the sign if it shows that the upstream
   * turned cold; slow start has then been restarted, and the caller should forget what it knows
   * about the engine's cache. Unknown slots are ignored. */
  std::optional<ColdSignal> first_token(SlotId slot, Instant now, const FirstTokenReport& report);

  /** Ends a running request. Returns the sign if `outcome` shows that the upstream turned cold.
   * Unknown slots are ignored, so a repeated call does no harm. */
  std::optional<ColdSignal> finish(SlotId slot, Instant now, Outcome outcome);

  /** Restarts slow start. Requests still running keep their slots until `finish`. */
  void upstream_restarted(Instant now);

  /** Sets the weight version that new requests for `model` must be keyed by. */
  void set_weight_version(ModelId model, std::string_view version);

  /** Refuses new work while the zone is out. */
  void set_zone_out_of_service(bool out) { zone_out_ = out; }

  /** Refuses new work from now on while `leaving`. */
  void set_leaving(bool leaving) { leaving_ = leaving; }

  /** Reports that the process is running; call it at the start and then at least every
   * `kPauseThreshold` / 2. New work is held back for `kHoldAfterStart` after the first call, and
   * for `kHoldAfterPause` after a longer gap. A controller that never gets this call does neither.
   */
  void report_alive(Instant now);

  /** Gap between calls that shows that the process was paused. Shorter gaps leave half of the 2 s
   * in which a zone notice must take effect for its way to this process. */
  static constexpr Duration kPauseThreshold = {1000};

  /** Time after a pause in which no request starts. Requests and heartbeats that arrived during the
   * pause are read in this time, and two rounds of new heartbeats follow. */
  static constexpr Duration kHoldAfterPause = {1000};

  /** Time after the start in which no request starts. Entry instances connect again within 1 s, and
   * one of them may have just started as well; the others bring the notices that both have missed.
   */
  static constexpr Duration kHoldAfterStart = {1500};

  /** Returns the number of requests that may run at once at `now`. */
  std::uint32_t limit(Instant now) const;

  /** True while slow start holds the limit below the maximum. */
  bool is_cold(Instant now) const { return limit(now) < limits_.max_running; }

  std::uint32_t running() const { return running_; }
  std::uint64_t kv_tokens_used() const { return kv_tokens_used_; }

 private:
  struct Slot {
    std::uint32_t use_count = 0;  // Distinguishes successive requests in the same place.
    bool in_use = false;
    bool has_first_token = false;
    bool admitted_warm = false;
    std::uint64_t start_count = 0;  // start_count_ at admission.
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
  bool zone_out_ = false;
  bool leaving_ = false;
  std::optional<Instant> last_alive_;  // Unset until the first `report_alive`.
  std::optional<Instant> held_until_;  // Set by the last pause.
  std::uint64_t start_count_ = 0;

  // running_, prefilling_ and kv_tokens_used_ are sums over the slots in use; free_slots_ holds
  // exactly the indices of the others.
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_slots_;
  std::uint32_t running_ = 0;
  std::uint32_t prefilling_ = 0;
  std::uint64_t kv_tokens_used_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ADMISSION_ADMISSION_CONTROLLER_H_
