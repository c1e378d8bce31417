// Stores claims in a vector with an open-addressing index. Claims with similar creation times share
// a bucket, and a bucket is removed as a whole when its retention has expired.

#include "orders/order_ledger.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

namespace bluebellstep {
namespace {

// A claim is kept for at most 1/512 of the retention (170 s of 24 h) longer than the retention.
constexpr std::int64_t kBucketsPerRetention = 512;

constexpr Duration kFullRetryAfter{1000};

std::size_t bytes_of(const OrderAnswer& answer) {
  return sizeof(OrderAnswer) + answer.content_type.size() + answer.body.size();
}

AnswerView view_of(const OrderAnswer& answer) {
  return {answer.status, answer.content_type, answer.body};
}

Verdict key_reused_verdict(ClaimState first) {
  constexpr std::string_view kDetail = "the key was already used with a different request";
  return first == ClaimState::kAnswered ? Verdict::run(Reason::kKeyReused, kDetail)
                                        : Verdict::may_have_run(Reason::kKeyReused, kDetail);
}

}  // namespace

OrderLedger::OrderLedger(const OrderLedgerLimits& limits, Instant incarnation_start_wall)
    : limits_(limits),
      bucket_span_{std::max<std::int64_t>(1, limits.retention.ms / kBucketsPerRetention)},
      creation_time_floor_(incarnation_start_wall + limits.future_allowance +
                           limits.max_clock_difference),
      first_bucket_(bucket_number(creation_time_floor_)) {
  assert(limits.max_claims > 0 && limits.max_claims < kNoSlot / 2);
  // Allocated up front: growing the index of a full ledger would stall the control thread.
  index_.assign(std::bit_ceil(limits.max_claims + limits.max_claims / 2 + 1), kNoSlot);
  claims_.reserve(limits.max_claims);
  const std::int64_t window = limits.retention.ms + limits.future_allowance.ms;
  buckets_.assign(static_cast<std::size_t>(window / bucket_span_.ms + 3), kNoSlot);
}

ClaimDecision OrderLedger::claim(const OrderKey& key, std::uint64_t body_hash, Instant wall_now) {
  expire_claims(wall_now);
  if (const std::uint32_t slot = index_[index_position(key.digest())]; slot != kNoSlot) {
    return decide_known(slot, body_hash);
  }
  if (auto verdict = find_refusal(key, wall_now)) {
    return RefuseOrder{*std::move(verdict)};
  }
  const std::uint32_t slot = insert(key, body_hash, wall_now);
  return ClaimAcquired{{slot, claims_[slot].generation}};
}

std::optional<ClaimDecision> OrderLedger::decide_known_key(const OrderKey& key,
                                                           std::uint64_t body_hash) const {
  const std::uint32_t slot = index_[index_position(key.digest())];
  return slot == kNoSlot ? std::nullopt : std::optional(decide_known(slot, body_hash));
}

ClaimDecision OrderLedger::decide_known(std::uint32_t slot, std::uint64_t body_hash) const {
  const Claim& claim = claims_[slot];
  if (claim.body_hash != body_hash) {
    return RefuseOrder{key_reused_verdict(claim.state)};
  }
  switch (claim.state) {
    case ClaimState::kClaimed:
    case ClaimState::kDispatched:
      return JoinClaim{{slot, claim.generation}};
    case ClaimState::kAnswered:
      if (claim.answer != answers_.end()) {
        return ReplayAnswer{view_of(claim.answer->answer)};
      }
      return RefuseOrder{Verdict::run(Reason::kKeyExpired,
                                      "the order ran, but its answer is no longer available")};
    case ClaimState::kOutcomeUnknown:
      break;
  }
  return RefuseOrder{
      Verdict::may_have_run(Reason::kUpstreamFailed,
                            "an earlier request with this key was not answered by the upstream")};
}

std::optional<Verdict> OrderLedger::find_refusal(const OrderKey& key, Instant wall_now) const {
  if (const auto creation_time = key.creation_time()) {
    if (*creation_time <= wall_now - limits_.retention) {
      return Verdict::may_have_run(Reason::kKeyExpired,
                                   "the key was created before the retention period");
    }
    if (*creation_time <= creation_time_floor_) {
      return Verdict::may_have_run(Reason::kOwnerRestarted,
                                   "an earlier incarnation of the owner may have run the order");
    }
    if (*creation_time > wall_now + limits_.future_allowance) {
      return Verdict::not_run(Reason::kKeyInFuture, "the key's creation time is in the future",
                              *creation_time - wall_now);
    }
  }
  if (claim_count_ >= limits_.max_claims) {
    return Verdict::not_run(Reason::kOwnerFull,
                            "the owner has reached its maximum number of claims", kFullRetryAfter);
  }
  return std::nullopt;
}

bool OrderLedger::mark_dispatched(ClaimId id) {
  Claim* const claim = find(id);
  if (claim == nullptr || claim->state != ClaimState::kClaimed) {
    return false;
  }
  claim->state = ClaimState::kDispatched;
  return true;
}

void OrderLedger::complete(ClaimId id, OrderAnswer answer) {
  Claim* const claim = find(id);
  if (claim == nullptr || claim->state == ClaimState::kAnswered) {
    return;
  }
  claim->state = ClaimState::kAnswered;
  answer_bytes_ += bytes_of(answer);
  claim->answer = answers_.insert(answers_.end(), {id.slot, std::move(answer)});
  evict_answers();
}

bool OrderLedger::abandon_before_dispatch(ClaimId id) {
  const Claim* const claim = find(id);
  if (claim == nullptr || claim->state != ClaimState::kClaimed) {
    return false;
  }
  remove(id.slot);
  return true;
}

bool OrderLedger::abandon_unsent(ClaimId id) {
  const Claim* const claim = find(id);
  if (claim == nullptr || claim->state != ClaimState::kDispatched) {
    return false;
  }
  remove(id.slot);
  return true;
}

void OrderLedger::mark_outcome_unknown(ClaimId id) {
  Claim* const claim = find(id);
  if (claim != nullptr && claim->state != ClaimState::kAnswered) {
    claim->state = ClaimState::kOutcomeUnknown;
  }
}

std::optional<ClaimState> OrderLedger::state(ClaimId id) const {
  const Claim* const claim = find(id);
  return claim == nullptr ? std::nullopt : std::optional(claim->state);
}

std::optional<AnswerView> OrderLedger::answer(ClaimId id) const {
  const Claim* const claim = find(id);
  if (claim == nullptr || claim->answer == answers_.end()) {
    return std::nullopt;
  }
  return view_of(claim->answer->answer);
}

std::size_t OrderLedger::claim_memory_bytes() const {
  return claims_.size() * sizeof(Claim) + index_.size() * sizeof(index_[0]) +
         buckets_.size() * sizeof(buckets_[0]);
}

void OrderLedger::expire_claims(Instant wall_now) {
  creation_time_floor_ = std::max(creation_time_floor_, wall_now - limits_.retention);
  const std::int64_t floor_bucket = bucket_number(creation_time_floor_);
  const auto ring = static_cast<std::int64_t>(buckets_.size());
  // One pass over the ring empties every bucket, so longer clock steps need no more iterations.
  const std::int64_t last = std::min(floor_bucket, first_bucket_ + ring);
  for (std::int64_t bucket = first_bucket_; bucket < last; ++bucket) {
    std::uint32_t& first = buckets_[static_cast<std::size_t>(bucket % ring)];
    while (first != kNoSlot) {
      remove(first);
    }
  }
  first_bucket_ = std::max(first_bucket_, floor_bucket);
}

std::uint32_t OrderLedger::insert(const OrderKey& key, std::uint64_t body_hash, Instant wall_now) {
  std::uint32_t slot = first_free_slot_;
  if (slot == kNoSlot) {
    slot = static_cast<std::uint32_t>(claims_.size());
    claims_.emplace_back();
  } else {
    first_free_slot_ = claims_[slot].next;
  }
  // An opaque key has no creation time; its claim is retained from the current time on.
  const Instant creation_time =
      key.creation_time().value_or(std::max(wall_now, creation_time_floor_));
  const auto bucket = static_cast<std::uint32_t>(bucket_number(creation_time) %
                                                 static_cast<std::int64_t>(buckets_.size()));
  Claim& claim = claims_[slot];
  claim.digest = key.digest();
  claim.body_hash = body_hash;
  claim.answer = answers_.end();
  claim.state = ClaimState::kClaimed;
  claim.bucket = bucket;
  claim.previous = kNoSlot;
  claim.next = buckets_[bucket];
  if (claim.next != kNoSlot) {
    claims_[claim.next].previous = slot;
  }
  buckets_[bucket] = slot;
  index_[index_position(claim.digest)] = slot;
  ++claim_count_;
  return slot;
}

void OrderLedger::remove(std::uint32_t slot) {
  Claim& claim = claims_[slot];
  erase_from_index(index_position(claim.digest));
  drop_answer(claim);
  (claim.previous == kNoSlot ? buckets_[claim.bucket] : claims_[claim.previous].next) = claim.next;
  if (claim.next != kNoSlot) {
    claims_[claim.next].previous = claim.previous;
  }
  ++claim.generation;
  claim.next = first_free_slot_;
  first_free_slot_ = slot;
  --claim_count_;
}

OrderLedger::Claim* OrderLedger::find(ClaimId id) {
  return const_cast<Claim*>(std::as_const(*this).find(id));
}

const OrderLedger::Claim* OrderLedger::find(ClaimId id) const {
  if (id.slot >= claims_.size() || claims_[id.slot].generation != id.generation) {
    return nullptr;
  }
  return &claims_[id.slot];
}

// Index position of the digest, or of the empty entry at which it would be inserted.
std::size_t OrderLedger::index_position(const OrderDigest& digest) const {
  const std::size_t mask = index_.size() - 1;
  std::size_t position = digest.low & mask;
  while (index_[position] != kNoSlot && claims_[index_[position]].digest != digest) {
    position = (position + 1) & mask;
  }
  return position;
}

// Shifts later entries of the probe sequence back, so that no tombstones accumulate.
void OrderLedger::erase_from_index(std::size_t position) {
  const std::size_t mask = index_.size() - 1;
  std::size_t vacated = position;
  for (std::size_t at = (vacated + 1) & mask; index_[at] != kNoSlot; at = (at + 1) & mask) {
    const std::size_t home = claims_[index_[at]].digest.low & mask;
    if (((at - home) & mask) >= ((at - vacated) & mask)) {
      index_[vacated] = index_[at];
      vacated = at;
    }
  }
  index_[vacated] = kNoSlot;
}

std::int64_t OrderLedger::bucket_number(Instant at) const {
  return std::max<std::int64_t>(0, at.ms) / bucket_span_.ms;
}

void OrderLedger::drop_answer(Claim& claim) {
  if (claim.answer != answers_.end()) {
    answer_bytes_ -= bytes_of(claim.answer->answer);
    answers_.erase(claim.answer);
    claim.answer = answers_.end();
  }
}

void OrderLedger::evict_answers() {
  while (answer_bytes_ > limits_.max_answer_bytes) {
    drop_answer(claims_[answers_.front().slot]);
  }
}

}  // namespace bluebellstep
