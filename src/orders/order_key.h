// Identity of an order: its service, client account and idempotency key, and the creation time that
// the key encodes.

#ifndef BLUEBELLSTEP_ORDERS_ORDER_KEY_H_
#define BLUEBELLSTEP_ORDERS_ORDER_KEY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace bluebellstep {

/** SHA-256 of service, account and idempotency key, truncated to 128 bits. */
struct OrderDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const OrderDigest&) const = default;
};

/**
 * A parsed idempotency key. A key is time-ordered if it is a UUID version 7, or if it starts with
 * 13 digits (Unix milliseconds) and `-`; any other key is opaque. The same key text under
 * another service or client account identifies another order.
 */
class OrderKey {
 public:
  /** Longest accepted key in bytes. */
  static constexpr std::size_t kMaxTextBytes = 255;

  /** Parses `text`. Returns nullopt if it is empty, longer than `kMaxTextBytes` or contains
   * characters other than printable ASCII without space. UUIDs version 7 that differ only in letter
   * case are the same key. */
  static std::optional<OrderKey> parse(std::string_view service,
                                       std::string_view account,
                                       std::string_view text);

  const OrderDigest& digest() const { return digest_; }

  /** Unix time at which the caller created the key, as encoded in it; nullopt for an opaque key. */
  std::optional<Instant> creation_time() const { return creation_time_; }

  /** Key of the platform object that stores the claim of an order with an opaque key. */
  std::string object_key() const;

 private:
  OrderKey(OrderDigest digest, std::optional<Instant> creation_time)
      : digest_(digest), creation_time_(creation_time) {}

  OrderDigest digest_;
  std::optional<Instant> creation_time_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ORDERS_ORDER_KEY_H_
