// Answers of the model engine stand-in. They are derived from the prompt and the token index, so
// that a test can compute the expected answer and detect mixed, lost or repeated tokens.

#ifndef BLUEBELLSTEP_STANDINS_EXPECTED_ANSWER_H_
#define BLUEBELLSTEP_STANDINS_EXPECTED_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bluebellstep::standins {

/** Bytes of text that count as one token. Every answer token has exactly this length. */
inline constexpr std::size_t kTextBytesPerToken = 4;

/** Returns the number of tokens in `text`. A partial token at the end counts as one. */
std::uint64_t count_tokens(std::string_view text);

/** The complete answer to one prompt. */
class ExpectedAnswer {
 public:
  explicit ExpectedAnswer(std::string_view prompt);

  /** Returns the text of the token at `index`: three lower-case letters and a space. */
  std::string token(std::uint32_t index) const;

  /** Returns the text of the tokens with indices in [`begin`, `end`). */
  std::string text(std::uint32_t begin, std::uint32_t end) const;

  /** Returns the length of the answer without a token limit, from 32 to 1,024 tokens. */
  std::uint32_t natural_length() const;

  /** Returns the length in tokens of the answer to a request limited to `max_tokens`. */
  std::uint32_t length(std::uint32_t max_tokens) const;

 private:
  std::uint64_t prompt_hash_;
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_EXPECTED_ANSWER_H_
