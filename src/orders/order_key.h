// Identity of an order: which service and client account it belongs to, and when its idempotency
// key was made.

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

/** SHA-256 of service, account and idempotency key, cut to 128 bits. */
struct OrderDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const OrderDigest&) const = default;
};

/**
 * A parsed idempotency key. A key is time-ordered if it is a UUID version 7, or if it starts with
 * 13 digits (Unix milliseconds) and `-`; any other key is opaque. Equal keys of different services
 * or client accounts are different orders.
 */
class OrderKey {
 public:
  /** Longest accepted key in bytes. */
  static constexpr std::size_t kMaxTextBytes = 255;

  /** Parses `text`; nothing if it is empty, too long or has characters outside printable ASCII.
   * UUIDs version 7 that differ only in letter case are the same key. */
  static std::optional<OrderKey> parse(std::string_view service,
                                       std::string_view account,
                                       std::string_view text);

  const OrderDigest& digest() const { return digest_; }

  /** Unix time at which the caller made the key; nothing for an opaque key. */
  std::optional<Instant> creation_time() const { return birth_; }

  /** Key of the platform object that claims this order, for opaque keys. */
  std::string object_key() const;

 private:
  OrderKey(OrderDigest digest, std::optional<Instant> creation_time)
      : digest_(digest), birth_(creation_time) {}

  OrderDigest digest_;
  std::optional<Instant> birth_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ORDERS_ORDER_KEY_H_
