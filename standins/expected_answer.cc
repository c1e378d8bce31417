// Derives the tokens of an answer from a hash of the prompt and the token index.

#include "standins/expected_answer.h"

#include <algorithm>
#include <cassert>

#include "base/hash.h"

namespace bluebellstep::standins {
namespace {

constexpr std::uint32_t kMinLength = 32;
constexpr std::uint32_t kMaxLength = 1024;

}  // namespace

std::uint64_t count_tokens(std::string_view text) {
  return (text.size() + kTextBytesPerToken - 1) / kTextBytesPerToken;
}

ExpectedAnswer::ExpectedAnswer(std::string_view prompt) : prompt_hash_(hash64(prompt)) {}

std::string ExpectedAnswer::token(std::uint32_t index) const {
  std::uint64_t bits = combine_hashes(prompt_hash_, index);
  std::string text(kTextBytesPerToken, ' ');
  for (std::size_t i = 0; i + 1 < kTextBytesPerToken; ++i) {
    text[i] = static_cast<char>('a' + bits % 26);
    bits /= 26;
  }
  return text;
}

std::string ExpectedAnswer::text(std::uint32_t begin, std::uint32_t end) const {
  assert(begin <= end);
  std::string text;
  text.reserve((end - begin) * kTextBytesPerToken);
  for (std::uint32_t index = begin; index < end; ++index) {
    text += token(index);
  }
  return text;
}

std::uint32_t ExpectedAnswer::natural_length() const {
  return kMinLength + static_cast<std::uint32_t>(prompt_hash_ % (kMaxLength - kMinLength + 1));
}

std::uint32_t ExpectedAnswer::length(std::uint32_t max_tokens) const {
  return std::min(max_tokens, natural_length());
}

}  // namespace bluebellstep::standins
