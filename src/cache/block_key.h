// Identity of KV cache blocks.
//
// A key is a chained hash of everything that the contents of a block depend on: client account,
// model, weight version and the entire prompt up to the end of the block. Blocks of different
// accounts or weight versions therefore have different keys, and no lookup can return one for the
// other.

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

/** Bytes of prompt text in one block, about 1,000 tokens. The text after the last complete block is
 * never cached. */
inline constexpr std::size_t kBlockTextBytes = 4096;

/** Key of a block, or the seed from which the keys of one account, model and weight version are
 * derived. */
struct BlockKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const BlockKey&) const = default;

  /** Returns the key as 32 lower-case hexadecimal digits. */
  std::string to_hex() const;

  /** Parses the format of `to_hex`; returns nothing if `text` does not have it. */
  static std::optional<BlockKey> from_hex(std::string_view text);
};

/** Returns the seed for prompts of `account` on `model` with `weight_version`. */
BlockKey cache_seed(std::string_view account,
                    std::string_view model,
                    std::string_view weight_version);

/** Returns the key of the block with text `block_text` that follows the block with key `previous`.
 * For the first block, `previous` is the seed. */
BlockKey next_block_key(BlockKey previous, std::string_view block_text);

/** Returns the keys of all complete blocks of `prompt`, in order. */
std::vector<BlockKey> block_keys(BlockKey seed, std::string_view prompt);

}  // namespace bluebellstep

template <>
struct std::hash<bluebellstep::BlockKey> {
  std::size_t operator()(const bluebellstep::BlockKey& key) const { return key.low; }
};

#endif  // BLUEBELLSTEP_CACHE_BLOCK_KEY_H_
