// Claim of an order with an opaque key, stored as a platform object.
//
// The object's state is one of: claimed by an incarnation and nonce, answered, or free (released).
// Only the claimant whose nonce is stored in the object may dispatch the order, so that correctness
// depends neither on clocks nor on which upstream owns the key. The object is never deleted here:
// after a deletion a retry would run the order again.

#ifndef BLUEBELLSTEP_ORDERS_OPAQUE_CLAIM_H_
#define BLUEBELLSTEP_ORDERS_OPAQUE_CLAIM_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "base/clock.h"
#include "orders/order_ledger.h"
#include "platform/platform_calls.h"

namespace bluebellstep {

/** Identifies a claim; unique over all claims of all incarnations. */
struct OpaqueClaimant {
  std::uint64_t incarnation = 0;
  std::uint64_t nonce = 0;

  bool operator==(const OpaqueClaimant&) const = default;
};

/** The claim was acquired: the order may be dispatched, once. */
struct OpaqueClaimAcquired {};

/** The order already ran; this is its recorded answer. */
struct OpaqueClaimReplay {
  OrderAnswer answer;
};

/** The claim was ended by `record` or `release`; no further calls are needed. */
struct OpaqueClaimFinished {
  bool recorded = false;  // Whether the platform confirmed the last write.
};

using OpaqueClaimStep = std::variant<PlatformWrite,
                                     PlatformRead,
                                     OpaqueClaimAcquired,
                                     OpaqueClaimReplay,
                                     RefuseOrder,
                                     OpaqueClaimFinished>;

/**
 * State machine of one claim; performs no I/O. Make the platform call that `next` returns, pass its
 * result to `on_write` or `on_read`, and repeat until the step is neither a write nor a read. After
 * `OpaqueClaimAcquired`, end the claim with `record` or `release` and make the calls that follow.
 */
class OpaqueClaim {
 public:
  /** Largest answer body that is recorded; for a larger one only the fact that the order ran is
   * recorded. Hexadecimal encoding doubles the size, and a platform object holds at most 1 MB. */
  static constexpr std::size_t kMaxRecordedBodyBytes = 256 << 10;

  /** Starts to claim `key` for `claimant`. The order is refused if the platform is still
   * unavailable at `deadline`. `body_hash` detects another request under the same key. */
  OpaqueClaim(const OrderKey& key,
              OpaqueClaimant claimant,
              std::uint64_t body_hash,
              Instant deadline);

  /** The platform call to make next, or the outcome. */
  const OpaqueClaimStep& next() const { return step_; }
  void on_write(const PlatformClient::WriteResult& result, Instant now);
  void on_read(const PlatformClient::ReadResult& result, Instant now);

  /** Records the answer, so that later incarnations can replay it. Unfinished writes are retried
   * until `deadline`. Call only after `OpaqueClaimAcquired`. */
  void record(const OrderAnswer& answer, Instant deadline);

  /** Releases the key if the dispatch certainly did not start. Unfinished writes are retried until
   * `deadline`. Call only after `OpaqueClaimAcquired`. */
  void release(Instant deadline);

 private:
  enum class Phase { kClaiming, kHeld, kEnding, kEnded };

  void on_written(StoreRevision version);
  void on_object(const PlatformObject& object);
  void retry_or_give_up(Instant now, OpaqueClaimStep retry);
  void prepare_write();
  void end_claim(std::string value, Instant deadline);

  std::string object_key_;
  OpaqueClaimant claimant_;
  std::uint64_t body_hash_;
  Instant deadline_;
  Phase phase_ = Phase::kClaiming;
  StoreRevision version_;   // Last known object version; precondition of the next write.
  std::string next_value_;  // Value of the next write.
  OpaqueClaimStep step_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ORDERS_OPAQUE_CLAIM_H_
