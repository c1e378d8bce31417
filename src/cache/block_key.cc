// Calculation of block keys with SHA-256. A cryptographic hash is required: with a weaker one, a
// client account could construct a prompt whose keys collide with those of another account.

#include "cache/block_key.h"

#include <openssl/sha.h>

#include <array>
#include <charconv>
#include <cstring>

namespace bluebellstep {
namespace {

constexpr std::size_t kHexDigits = 32;

BlockKey truncate_digest(const std::array<unsigned char, SHA256_DIGEST_LENGTH>& digest) {
  BlockKey key;
  for (std::size_t i = 0; i < 8; ++i) {
    key.high = key.high << 8 | digest[i];
    key.low = key.low << 8 | digest[8 + i];
  }
  return key;
}

BlockKey hash_to_key(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest.data());
  return truncate_digest(digest);
}

void append_number(std::string& out, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8) {
    out += static_cast<char>(number >> shift & 0xff);
  }
}

}  // namespace

std::string BlockKey::to_hex() const {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex(kHexDigits, '0');
  for (std::size_t i = 0; i < kHexDigits / 2; ++i) {
    hex[i] = kDigits[high >> (60 - 4 * i) & 0xf];
    hex[kHexDigits / 2 + i] = kDigits[low >> (60 - 4 * i) & 0xf];
  }
  return hex;
}

std::optional<BlockKey> BlockKey::from_hex(std::string_view text) {
  if (text.size() != kHexDigits) {
    return std::nullopt;
  }
  BlockKey key;
  const char* const middle = text.data() + kHexDigits / 2;
  const char* const end = text.data() + kHexDigits;
  const auto high = std::from_chars(text.data(), middle, key.high, 16);
  const auto low = std::from_chars(middle, end, key.low, 16);
  if (high.ec != std::errc() || high.ptr != middle || low.ec != std::errc() || low.ptr != end) {
    return std::nullopt;
  }
  return key;
}

BlockKey cache_seed(std::string_view account,
                    std::string_view model,
                    std::string_view weight_version) {
  // Each field is preceded by its length, so that different triples have different inputs.
  std::string input = "bluebellstep cache seed";
  for (const std::string_view field : {account, model, weight_version}) {
    append_number(input, field.size());
    input += field;
  }
  return hash_to_key(input);
}

BlockKey next_block_key(BlockKey previous, std::string_view block_text) {
  std::string input;
  input.reserve(2 * sizeof(std::uint64_t) + block_text.size());
  append_number(input, previous.high);
  append_number(input, previous.low);
  input += block_text;
  return hash_to_key(input);
}

std::vector<BlockKey> block_keys(BlockKey seed, std::string_view prompt) {
  std::vector<BlockKey> keys;
  keys.reserve(prompt.size() / kBlockTextBytes);
  BlockKey previous = seed;
  for (std::size_t offset = 0; offset + kBlockTextBytes <= prompt.size();
       offset += kBlockTextBytes) {
    previous = next_block_key(previous, prompt.substr(offset, kBlockTextBytes));
    keys.push_back(previous);
  }
  return keys;
}

}  // namespace bluebellstep
