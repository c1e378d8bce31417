// Tries the two places in turn.

#include "commands/weight_load_gate.h"

#include <algorithm>

#include "base/hash.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

FencedLease make_lease(std::string_view key_prefix,
                       std::string_view holder,
                       const WeightLoadTimes& times,
                       std::string_view place) {
  return FencedLease({.object_key = std::string(key_prefix) + "/" + std::string(place),
                      .holder = std::string(holder),
                      .term = times.lease_term,
                      .grace = times.load_limit,
                      .send_margin = times.send_margin});
}

}  // namespace

WeightLoadGate::WeightLoadGate(std::string_view key_prefix,
                               std::string_view holder,
                               const WeightLoadTimes& times)
    : times_(times),
      leases_{make_lease(key_prefix, holder, times, "0"),
              make_lease(key_prefix, holder, times, "1")},
      // Spreads the first tries over the places.
      current_(hash64(holder) % kPlaces) {}

GateStep WeightLoadGate::next(Instant now) {
  const bool quiet = !loading_ && now >= quiet_until_;
  if (wanted_ || !quiet) {
    lease().acquire();
  } else {
    lease().release();
  }
  return std::visit(Overloaded{[](const PlatformRead& read) -> GateStep { return read; },
                               [](const PlatformWrite& write) -> GateStep { return write; },
                               [](LeaseCallPending) -> GateStep { return GateCallPending{}; },
                               [&](LeaseHeld held) -> GateStep {
                                 if (quiet && lease().may_act(now)) {
                                   return GateOpen{};
                                 }
                                 const bool waits_for_quiet = !loading_ && !quiet;
                                 return GateWait{waits_for_quiet
                                                     ? std::min(held.renew_at, quiet_until_)
                                                     : held.renew_at};
                               },
                               [&](LeaseWait wait) -> GateStep {
                                 // While an earlier load may go on, its own place is the one to get
                                 // back.
                                 if (!wait.held_by_other || !quiet) {
                                   return GateWait{wait.at};
                                 }
                                 lease().release();
                                 current_ = (current_ + 1) % kPlaces;
                                 // Ends at the first place at the latest, which waits for its next
                                 // read now.
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
  if (loading_ || now < quiet_until_ || !wanted_ || !lease().may_act(now)) {
    return false;
  }
  loading_ = true;
  load_began_ = now;
  return true;
}

void WeightLoadGate::end_load(bool certain, Instant now) {
  loading_ = false;
  wanted_ = false;
  quiet_until_ = certain ? now : load_began_ + times_.send_margin + times_.load_limit;
}

}  // namespace bluebellstep
