// Claim of an order with an opaque key, by an object in the platform.
//
// The object's value is one of three: claimed by an incarnation and nonce, answered, or free again.
// Only the claim whose own nonce is in the object may dispatch, so no clock and no owner rule is
// needed. The object is never deleted here, since a repeat could then run again.

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

/** Who claims: unique over all claims of all incarnations. */
struct OpaqueClaimant {
  std::uint64_t incarnation = 0;
  std::uint64_t nonce = 0;

  bool operator==(const OpaqueClaimant&) const = default;
};

/** The claim is held: the order may be dispatched now, once. */
struct OpaqueClaimAcquired {};

/** The order ran before; this is its answer. */
struct OpaqueClaimReplay {
  OrderAnswer answer;
};

/** Nothing is left to do. */
struct OpaqueClaimFinished {
  bool recorded = false;  // The platform confirmed the last write.
};

using OpaqueClaimStep = std::variant<PlatformWrite,
                                     PlatformRead,
                                     OpaqueClaimAcquired,
                                     OpaqueClaimReplay,
                                     RefuseOrder,
                                     OpaqueClaimFinished>;

/**
 * Says which platform call to make next and consumes the results. Make the call of `next`, hand its
 * result to `on_write` or `on_read`, and go on until the step is neither a write nor a read. After
 * `OpaqueClaimAcquired`, end the claim with `record` or `release` and make the calls that follow.
 */
class OpaqueClaim {
 public:
  /** Answers with larger bodies are not recorded, only that the order ran; hexadecimal form doubles
   * them, and a platform object holds at most 1 MB. */
  static constexpr std::size_t kMaxRecordedBody = 256 << 10;

  /** Claims `key` for `claimant`; gives up at `deadline` if the platform stays unavailable. */
  OpaqueClaim(const OrderKey& key,
              OpaqueClaimant claimant,
              std::uint64_t body_hash,
              Instant deadline);

  const OpaqueClaimStep& next() const { return step_; }
  void on_write(const PlatformClient::WriteResult& result, Instant now);
  void on_read(const PlatformClient::ReadResult& result, Instant now);

  /** Records the answer, so that later incarnations can replay it. Only after
   * `OpaqueClaimAcquired`. */
  void record(const OrderAnswer& answer, Instant deadline);

  /** Frees the key after a dispatch that certainly did not begin. Only after `OpaqueClaimAcquired`.
   */
  void release(Instant deadline);

 private:
  enum class Phase { kClaiming, kHeld, kEnding, kEnded };

  void on_written(ObjectVersion version);
  void on_object(const PlatformObject& object);
  void on_unavailable(Instant now, OpaqueClaimStep retry);
  void write_value();
  void end_with(std::string value, Instant deadline);

  std::string object_key_;
  OpaqueClaimant claimant_;
  std::uint64_t body_hash_;
  Instant deadline_;
  Phase phase_ = Phase::kClaiming;
  ObjectVersion version_;  // Last known version; the next write expects it.
  std::string value_;      // Value of the next write.
  OpaqueClaimStep step_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ORDERS_OPAQUE_CLAIM_H_
