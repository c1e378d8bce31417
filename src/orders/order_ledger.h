// The claims of one owner incarnation: which orders it has taken on, and what became of them.
//
// A key is accepted only if no earlier incarnation of the owner can have accepted it. An earlier
// incarnation accepted births up to its own time plus the future allowance, and its clock may have
// been ahead of ours by the clock difference; the floor is therefore the start plus both.

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

/** Bounds of a ledger. */
struct OrderLedgerLimits {
  std::size_t max_claims = 400'000;
  std::size_t max_answer_bytes = 32 << 20;
  Duration retention{86'400'000};
  Duration future_allowance{2000};      // Births up to this far in the future are accepted.
  Duration max_clock_difference{1000};  // Between the clocks of any two machines.
};

/** A claim of one ledger. An id of a claim that was dropped is recognised as stale. */
struct ClaimId {
  std::uint32_t slot = 0;
  std::uint32_t generation = 0;

  bool operator==(const ClaimId&) const = default;
};

/** Where a claim stands. */
enum class ClaimState : std::uint8_t {
  kClaimed,     // Not sent to the upstream yet.
  kDispatched,  // Sent, or about to be: from here on it may have run.
  kAnswered,    // Ran; the answer is kept unless the byte bound evicted it.
  kUnknown,     // May have run; no answer is to be had.
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

/** The caller holds the claim now and must end it with one of the ledger's other methods. */
struct ClaimAcquired {
  ClaimId claim;
};

/** The order ran before; this is its answer. */
struct ReplayAnswer {
  AnswerView answer;
};

/** The order is under way; wait for the outcome of this claim. */
struct JoinClaim {
  ClaimId claim;
};

/** The order is refused. */
struct RefuseOrder {
  Verdict verdict;
};

using ClaimDecision = std::variant<ClaimAcquired, ReplayAnswer, JoinClaim, RefuseOrder>;

/** Claims in the memory of one owner incarnation. Each operation takes amortised constant time. */
class OrderLedger {
 public:
  /** Memory of one claim: its record and its share of the index, at most, without the answer. */
  static constexpr std::size_t kBytesPerClaim = 72;

  /** Starts an empty ledger. Every earlier incarnation of the owner must have ended. */
  OrderLedger(const OrderLedgerLimits& limits, Instant incarnation_start_wall);

  /** Claims `key`. A known key is answered from its claim before any other rule applies, so that a
   * refusal never contradicts an earlier request. `body_hash` tells other requests under the same
   * key apart. For an opaque key, `ClaimAcquired` must be followed by an `OpaqueClaim`. */
  ClaimDecision claim(const OrderKey& key, std::uint64_t body_hash, Instant wall_now);

  /** Decides on a key that has a claim, as `claim` does; nothing if it has none. For a leaving
   * owner, which answers repeats but takes no new orders. */
  std::optional<ClaimDecision> decide_known_key(const OrderKey& key, std::uint64_t body_hash) const;

  /** Must be called before the first byte is sent to the upstream. If it returns false, the claim
   * is no longer held in `kClaimed` and the order must not be sent. */
  [[nodiscard]] bool mark_dispatched(ClaimId id);

  /** Records the answer. A stale id is ignored. A late answer to an unknown claim counts. */
  void complete(ClaimId id, OrderAnswer answer);

  /** Frees the key after a dispatch that certainly did not begin. Returns false, and keeps the
   * claim, if it was marked as dispatched. */
  bool abandon_before_dispatch(ClaimId id);

  /** Frees the key after a dispatch of which the transport is certain that no byte was sent, for
   * example because the connection was refused. Returns false, and keeps the claim, unless it is
   * dispatched and unanswered. */
  bool abandon_unsent(ClaimId id);

  /** Records that the order may have run and no answer is to be had. */
  void mark_outcome_unknown(ClaimId id);

  /** State of a claim; nothing if the id is stale. */
  std::optional<ClaimState> state(ClaimId id) const;

  /** Kept answer of a claim; nothing if there is none. */
  std::optional<AnswerView> answer(ClaimId id) const;

  std::size_t held_claims() const { return held_; }
  std::size_t answer_bytes() const { return answer_bytes_; }

  /** Memory of records and index in bytes, without answers. */
  std::size_t claim_memory_bytes() const;

 private:
  static constexpr std::uint32_t kNone = 0xffffffff;

  struct KeptAnswer {
    std::uint32_t slot;
    OrderAnswer answer;
  };

  struct Claim {
    OrderDigest digest;
    std::uint64_t body_hash = 0;
    std::list<KeptAnswer>::iterator answer;  // answers_.end() if none is kept.
    std::uint32_t previous = kNone;          // In the bucket's list.
    std::uint32_t next = kNone;              // In the bucket's list, or in the list of free slots.
    std::uint32_t generation = 0;            // Raised when the slot is freed.
    std::uint32_t bucket = 0;
    ClaimState state = ClaimState::kClaimed;
  };

  void raise_floor(Instant wall_now);
  ClaimDecision decide_known(std::uint32_t slot, std::uint64_t body_hash) const;
  std::optional<Verdict> refuse_new(const OrderKey& key, Instant wall_now) const;
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
  Instant floor_;              // Never falls, even if the wall clock steps back.
  std::int64_t first_bucket_;  // Number of the oldest bucket that may hold claims.

  // Open addressing with linear probing; at most two thirds full. Holds slots of claims_.
  std::vector<std::uint32_t> index_;
  std::vector<Claim> claims_;
  std::uint32_t first_free_ = kNone;
  std::size_t held_ = 0;

  // First claim of each bucket. Every held claim's birth lies within the ring's span above
  // first_bucket_, so two bucket numbers in use never share a place.
  std::vector<std::uint32_t> buckets_;

  std::list<KeptAnswer> answers_;  // Oldest answer first.
  std::size_t answer_bytes_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ORDERS_ORDER_LEDGER_H_
