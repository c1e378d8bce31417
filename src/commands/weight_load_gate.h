// Limits a deployment to two concurrent weight loads. Each of the two slots is a lease. The grace
// of the lease is the maximum duration of a load, since a load continues after its lease expired.

#ifndef BLUEBELLSTEP_COMMANDS_WEIGHT_LOAD_GATE_H_
#define BLUEBELLSTEP_COMMANDS_WEIGHT_LOAD_GATE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/clock.h"
#include "commands/fenced_lease.h"

namespace bluebellstep {

/** Durations of the slots' leases and of weight loads. */
struct WeightLoadTimes {
  Duration lease_term{10'000};
  Duration max_load_duration{30'000};  // A load has certainly ended this long after its start.
  Duration send_margin{1000};
};

/** A slot is held. Call `begin_load` directly before sending the load command. */
struct GateSlotHeld {};

/** The result of the last platform call has not been passed in yet. */
struct GateCallPending {};

/** Call `next` again at `at`. */
struct GateWait {
  Instant at;
};

/** No load is requested and no slot is held. */
struct GateIdle {};

using GateStep =
    std::variant<PlatformRead, PlatformWrite, GateSlotHeld, GateCallPending, GateWait, GateIdle>;

/** Acquires a slot for the weight loads of one process; holds at most one. State machine; performs
 * no I/O. */
class WeightLoadGate {
 public:
  static constexpr std::size_t kSlots = 2;

  /** `key_prefix` is the prefix of the platform objects of the deployment's slots. `holder` must be
   * unique to this incarnation of the process. */
  WeightLoadGate(std::string_view key_prefix,
                 std::string_view holder,
                 const WeightLoadTimes& times);

  /** Requests a slot for one load. */
  void request() { requested_ = true; }

  /** Returns the platform call to make next, or the state. */
  GateStep next(Instant now);
  void on_read(const PlatformClient::ReadResult& result, Instant now);
  void on_write(const PlatformClient::WriteResult& result, Instant now);

  /** Returns whether the load may start now. If true, the load counts as started. */
  [[nodiscard]] bool begin_load(Instant now);

  /** Reports the end of the load. `end_confirmed` is false if the load command was not answered:
   * the load may then continue until `max_load_duration`, and the slot is kept until then. */
  void end_load(bool end_confirmed, Instant now);

 private:
  FencedLease& lease() { return leases_[current_]; }

  WeightLoadTimes times_;
  std::array<FencedLease, kSlots> leases_;
  std::size_t current_ = 0;  // The only lease that is requested or held.
  bool requested_ = false;
  bool loading_ = false;
  Instant load_started_at_;
  Instant load_possible_until_{INT64_MIN};  // Until then an unanswered load may continue.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_COMMANDS_WEIGHT_LOAD_GATE_H_
