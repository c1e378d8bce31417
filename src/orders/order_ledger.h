// The claims of one incarnation of an owner: the orders that it accepted, and their outcomes.
//
// A key is accepted only if no earlier incarnation of the owner can have accepted it. An earlier
// incarnation accepted creation times up to its own clock plus the future allowance, and its clock
// may have been ahead of this machine's by the maximum clock difference. Keys created no later than
// the start of this incarnation plus both durations (the creation time floor) are therefore
// refused.

#ifndef BLUEBELLSTEP_ORDERS_ORDER_LEDGER_H_
#define BLUEBELLSTEP_ORDERS_ORDER_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/verdict.h"
#include "orders/order_key.h"

namespace bluebellstep {

/** Limits of a ledger. */
struct OrderLedgerLimits {
  std::size_t max_claims = 400'000;
  std::size_t max_answer_bytes = 32 << 20;
  Duration retention{86'400'000};
  Duration future_allowance{2000};      // Keys created at most this far in the future are accepted.
  Duration max_clock_difference{1000};  // Between the wall clocks of any two machines.
};

/** Handle of a claim in one ledger. The handle of a removed claim is recognised as stale. */
struct ClaimId {
  std::uint32_t slot = 0;
  std::uint32_t generation = 0;

  bool operator==(const ClaimId&) const = default;
};

/** State of a claim. */
enum class ClaimState : std::uint8_t {
  kClaimed,         // Not sent to the upstream yet.
  kDispatched,      // Sent or about to be sent to the upstream; it may have run.
  kAnswered,        // Ran. The answer is kept unless `max_answer_bytes` evicted it.
  kOutcomeUnknown,  // May have run; no answer was received.
};

/** The upstream's answer to an order. */
struct OrderAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

/** View of a kept answer, valid until the next change of the ledger. */
struct AnswerView {
  int status = 0;
  std::string_view content_type;
  std::string_view body;
};

/** A new claim was created. Its holder must end it with `complete`, `mark_outcome_unknown`,
 * `abandon_before_dispatch` or `abandon_unsent`. */
struct ClaimAcquired {
  ClaimId claim;
};

/** The order already ran; this is its answer. */
struct ReplayAnswer {
  AnswerView answer;
};

/** The order is in progress; wait for the outcome of this claim. */
struct JoinClaim {
  ClaimId claim;
};

/** The order is refused with this verdict. */
struct RefuseOrder {
  Verdict verdict;
};

using ClaimDecision = std::variant<ClaimAcquired, ReplayAnswer, JoinClaim, RefuseOrder>;

/** Claims of one owner incarnation, in memory. Each operation takes amortised constant time. */
class OrderLedger {
 public:
  /** Upper bound on the memory of one claim: its record and its share of the index, without the
   * answer. */
  static constexpr std::size_t kBytesPerClaim = 72;

  /** Creates an empty ledger. Every earlier incarnation of the owner must have ended. */
  OrderLedger(const OrderLedgerLimits& limits, Instant incarnation_start_wall);

  /** Claims `key`. If the key already has a claim, the claim decides before any other rule, so that
   * a refusal never contradicts the outcome of an earlier request. `body_hash` detects a different
   * request under the same key. For an opaque key, `ClaimAcquired` must be followed by an
   * `OpaqueClaim`. */
  ClaimDecision claim(const OrderKey& key, std::uint64_t body_hash, Instant wall_now);

  /** Same as `claim` for a key that already has a claim; nullopt for any other key. For a leaving
   * owner, which answers retries but accepts no new orders. */
  std::optional<ClaimDecision> decide_known_key(const OrderKey& key, std::uint64_t body_hash) const;

  /** Moves the claim from `kClaimed` to `kDispatched`. Must be called before the first byte is sent
   * to the upstream. If it returns false, the claim was not in `kClaimed` or `id` is stale, and the
   * order must not be sent. */
  [[nodiscard]] bool mark_dispatched(ClaimId id);

  /** Records the answer and moves the claim to `kAnswered`, also from `kOutcomeUnknown`. Ignores a
   * stale id and a claim that already has an answer. */
  void complete(ClaimId id, OrderAnswer answer);

  /** Removes a claim whose dispatch has not started, so that its key can be claimed again. Returns
   * false and keeps the claim unless it is in `kClaimed`. */
  bool abandon_before_dispatch(ClaimId id);

  /** Removes a dispatched claim of which the transport is certain that no byte was sent, for
   * example because the connection was refused, so that its key can be claimed again. Returns false
   * and keeps the claim unless it is in `kDispatched`. */
  bool abandon_unsent(ClaimId id);

  /** Records that the order may have run and that no answer was received. */
  void mark_outcome_unknown(ClaimId id);

  /** State of a claim; nullopt if the id is stale. */
  std::optional<ClaimState> state(ClaimId id) const;

  /** Answer of a claim; nullopt if there is none or it was evicted. */
  std::optional<AnswerView> answer(ClaimId id) const;

  std::size_t held_claims() const { return claim_count_; }
  std::size_t answer_bytes() const { return answer_bytes_; }

  /** Memory of claims and index in bytes, without answers. */
  std::size_t claim_memory_bytes() const;

 private:
  static constexpr std::uint32_t kNoSlot = 0xffffffff;

  struct KeptAnswer {
    std::uint32_t slot;
    OrderAnswer answer;
  };

  struct Claim {
    OrderDigest digest;
    std::uint64_t body_hash = 0;
    std::list<KeptAnswer>::iterator answer;  // answers_.end() if there is none.
    std::uint32_t previous = kNoSlot;        // In the bucket's list.
    std::uint32_t next = kNoSlot;            // In the bucket's list, or in the free list.
    std::uint32_t generation = 0;            // Incremented when the slot is freed.
    std::uint32_t bucket = 0;
    ClaimState state = ClaimState::kClaimed;
  };

  void expire_claims(Instant wall_now);
  ClaimDecision decide_known(std::uint32_t slot, std::uint64_t body_hash) const;
  std::optional<Verdict> find_refusal(const OrderKey& key, Instant wall_now) const;
  std::uint32_t insert(const OrderKey& key, std::uint64_t body_hash, Instant wall_now);
  void remove(std::uint32_t slot);
  Claim* find(ClaimId id);
  const Claim* find(ClaimId id) const;
  std::size_t index_position(const OrderDigest& digest) const;
  void erase_from_index(std::size_t position);
  std::int64_t bucket_number(Instant at) const;
  void drop_answer(Claim& claim);
  void evict_answers();

  OrderLedgerLimits limits_;
  Duration bucket_span_;
  // Keys created at or before this time are refused. Never decreases, even if the wall clock steps
  // back.
  Instant creation_time_floor_;
  std::int64_t first_bucket_;  // Number of the oldest bucket that may hold claims.

  // Hash table of slots in claims_, by digest: open addressing with linear probing, at most two
  // thirds full.
  std::vector<std::uint32_t> index_;
  std::vector<Claim> claims_;
  std::uint32_t first_free_slot_ = kNoSlot;
  std::size_t claim_count_ = 0;

  // Ring of the first slots of the buckets, indexed by bucket number modulo its size. The creation
  // times of all claims lie within the span of the ring from first_bucket_ on, so that no two
  // bucket numbers in use map to the same element.
  std::vector<std::uint32_t> buckets_;

  std::list<KeptAnswer> answers_;  // Oldest answer first.
  std::size_t answer_bytes_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ORDERS_ORDER_LEDGER_H_
