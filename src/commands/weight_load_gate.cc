// Tries to acquire the lease of each slot in turn.

#include "commands/weight_load_gate.h"

#include <algorithm>

#include "base/hash.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

FencedLease make_lease(std::string_view key_prefix,
                       std::string_view holder,
                       const WeightLoadTimes& times,
                       std::string_view slot) {
  return FencedLease({.object_key = std::string(key_prefix) + "/" + std::string(slot),
                      .holder = std::string(holder),
                      .term = times.lease_term,
                      .grace = times.max_load_duration,
                      .send_margin = times.send_margin});
}

}  // namespace

WeightLoadGate::WeightLoadGate(std::string_view key_prefix,
                               std::string_view holder,
                               const WeightLoadTimes& times)
    : times_(times),
      leases_{make_lease(key_prefix, holder, times, "0"),
              make_lease(key_prefix, holder, times, "1")},
      // Distributes the first attempts of different processes over the slots.
      current_(hash64(holder) % kSlots) {}

GateStep WeightLoadGate::next(Instant now) {
  const bool no_load_possible = !loading_ && now >= load_possible_until_;
  if (requested_ || !no_load_possible) {
    lease().acquire();
  } else {
    lease().release();
  }
  return std::visit(Overloaded{[](const PlatformRead& read) -> GateStep { return read; },
                               [](const PlatformWrite& write) -> GateStep { return write; },
                               [](LeaseCallPending) -> GateStep { return GateCallPending{}; },
                               [&](LeaseHeld held) -> GateStep {
                                 if (no_load_possible && lease().may_act(now)) {
                                   return GateSlotHeld{};
                                 }
                                 const bool waits_for_load_end = !loading_ && !no_load_possible;
                                 return GateWait{waits_for_load_end
                                                     ? std::min(held.renew_at, load_possible_until_)
                                                     : held.renew_at};
                               },
                               [&](LeaseWait wait) -> GateStep {
                                 // While an earlier load may continue, its own slot must be
                                 // acquired again.
                                 if (!wait.held_by_other || !no_load_possible) {
                                   return GateWait{wait.at};
                                 }
                                 lease().release();
                                 current_ = (current_ + 1) % kSlots;
                                 // The recursion ends at the first slot at the latest, which now
                                 // waits for its next read.
                                 return next(now);
                               },
                               [](LeaseIdle) -> GateStep { return GateIdle{}; }},
                    lease().next(now));
}

void WeightLoadGate::on_read(const PlatformClient::ReadResult& result, Instant now) {
  lease().on_read(result, now);
}

void WeightLoadGate::on_write(const PlatformClient::WriteResult& result, Instant now) {
  lease().on_write(result, now);
}

bool WeightLoadGate::begin_load(Instant now) {
  if (loading_ || now < load_possible_until_ || !requested_ || !lease().may_act(now)) {
    return false;
  }
  loading_ = true;
  load_started_at_ = now;
  return true;
}

void WeightLoadGate::end_load(bool end_confirmed, Instant now) {
  loading_ = false;
  requested_ = false;
  load_possible_until_ =
      end_confirmed ? now : load_started_at_ + times_.send_margin + times_.max_load_duration;
}

}  // namespace bluebellstep
