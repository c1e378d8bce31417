// Identity of KV cache blocks.
//
// A key is a chained hash over everything that the contents of a block depend on: client account,
// model, weight version and the whole prompt up to the end of the block. A block of another account
// or weight version therefore has another key, and no lookup can return it.

#ifndef BLUEBELLSTEP_CACHE_BLOCK_KEY_H_
#define BLUEBELLSTEP_CACHE_BLOCK_KEY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellstep {

/** Bytes of prompt text in one block, about 1,000 tokens. Text after the last whole block is never
 * cached. */
inline constexpr std::size_t kBlockTextBytes = 4096;

/** Key of a block, or the seed that the keys of one account, model and weight version start from.
 */
struct BlockKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const BlockKey&) const = default;

  /** 32 lower-case hexadecimal digits. */
  std::string to_hex() const;

  /** Reads the form of `to_hex`; nothing if `text` is not one. */
  static std::optional<BlockKey> from_hex(std::string_view text);
};

/** Returns the seed for prompts of `account` on `model` with `weight_version`. */
BlockKey cache_seed(std::string_view account,
                    std::string_view model,
                    std::string_view weight_version);

/** Returns the key of the block with `block_text` that follows `previous` (the seed, for the first
 * block). */
BlockKey next_block_key(BlockKey previous, std::string_view block_text);

/** Returns the keys of all whole blocks of `prompt`, in order. */
std::vector<BlockKey> block_keys(BlockKey seed, std::string_view prompt);

}  // namespace bluebellstep

template <>
struct std::hash<bluebellstep::BlockKey> {
  std::size_t operator()(const bluebellstep::BlockKey& key) const { return key.low; }
};

#endif  // BLUEBELLSTEP_CACHE_BLOCK_KEY_H_
