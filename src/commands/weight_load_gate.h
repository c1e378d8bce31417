// Lets at most two servers of a deployment load weights at once. Each of the two places is a lease;
// its grace is the longest time that a load takes, since a load goes on when its lease lapses.

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

/** Times of the gate. */
struct WeightLoadTimes {
  Duration lease_term{10'000};
  Duration load_limit{30'000};  // A load has certainly ended this long after it began.
  Duration send_margin{1000};
};

/** A place is held: ask `begin_load` directly before sending the load command. */
struct GateOpen {};

/** A call is under way. */
struct GateCallPending {};

/** Call again at `at`. */
struct GateWait {
  Instant at;
};

/** No load is wanted, and no place is held. */
struct GateIdle {};

using GateStep =
    std::variant<PlatformRead, PlatformWrite, GateOpen, GateCallPending, GateWait, GateIdle>;

/** One process's view of the two places. Holds at most one of them. */
class WeightLoadGate {
 public:
  static constexpr std::size_t kPlaces = 2;

  /** `key_prefix` names the deployment's places, `holder` this incarnation of the process. */
  WeightLoadGate(std::string_view key_prefix,
                 std::string_view holder,
                 const WeightLoadTimes& times);

  /** Asks for a place for one load. */
  void request() { wanted_ = true; }

  GateStep next(Instant now);
  void on_read(const PlatformClient::ReadResult& result, Instant now);
  void on_write(const PlatformClient::WriteResult& result, Instant now);

  /** Returns whether the load may begin right now; if so it counts as begun. */
  [[nodiscard]] bool begin_load(Instant now);

  /** Reports the end of the load. `certain` is false if no answer came: the load may go on until
   * the load limit, and the place is kept until then. */
  void end_load(bool certain, Instant now);

 private:
  FencedLease& lease() { return leases_[current_]; }

  WeightLoadTimes times_;
  std::array<FencedLease, kPlaces> leases_;
  std::size_t current_ = 0;  // The only lease that is wanted or held.
  bool wanted_ = false;
  bool loading_ = false;
  Instant load_began_;
  Instant quiet_until_{INT64_MIN};  // Until then a load without an answer may go on.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_COMMANDS_WEIGHT_LOAD_GATE_H_
