// Message by which a gateway passes the answer to a poll of a cache node on to the others of its
// zone.
//
// Load pattern: hundreds of gateways and a limit on concurrent polls of each cache node. If each
// gateway polls every node, most polls are rejected, and what is known of a store expires before
// the next poll: requests prefill segments that a store holds. Therefore one gateway of each zone
// polls a node, and the others poll it only if they hear nothing.

#ifndef BLUEBELLSTEP_GATEWAY_CACHE_UPDATE_H_
#define BLUEBELLSTEP_GATEWAY_CACHE_UPDATE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "gateway/cache_directory.h"

namespace bluebellstep {

/** The events of a cache node from number `since` on. */
struct CacheUpdate {
  std::string node;
  std::uint64_t since = 0;
  CachePollResult result;
};

/** Larger updates are not sent: an answer of that size follows a restart, and each gateway polls
 * what it misses. */
inline constexpr std::size_t kMaxCacheUpdateBytes = 12u << 10;

/** Encodes an update as the content of a datagram. */
std::string encode_cache_update(const CacheUpdate& update);
/** Decodes a datagram. Returns nothing if it does not contain an update. */
std::optional<CacheUpdate> decode_cache_update(std::span<const std::uint8_t> bytes);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CACHE_UPDATE_H_
