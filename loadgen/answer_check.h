// Checks the streamed answer to one prompt while it arrives.

#ifndef BLUEBELLSTEP_LOADGEN_ANSWER_CHECK_H_
#define BLUEBELLSTEP_LOADGEN_ANSWER_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "http/sse_reader.h"
#include "standins/expected_answer.h"

namespace bluebellstep::loadgen {

/** Which stream is read: that of an entry instance, or that of a model engine. */
enum class StreamKind : std::uint8_t { kEntry, kEngine };

/** Compares a stream with the expected answer of the engine stand-in. */
class AnswerCheck {
 public:
  AnswerCheck(StreamKind kind, std::string_view prompt, std::uint32_t max_tokens);

  /** Takes the next bytes of the response body. */
  void feed(std::string_view bytes);

  /** Returns why the answer is not whole and right; empty if it is. Call when the response has
   * ended. A verdict in the stream is not a fault of the text, see `verdict`. */
  std::string fault() const;

  bool has_first_token() const { return tokens_bytes_ > 0; }
  std::uint64_t events() const { return events_; }
  std::uint64_t reused_blocks() const { return reused_; }
  std::uint64_t fetched_blocks() const { return fetched_; }
  std::uint64_t recomputed_blocks() const { return recomputed_; }

  /** Body of an `event: error`, which ends an answer that can't be finished; else empty. */
  const std::string& verdict() const { return verdict_; }

 private:
  void take_event(std::string_view data);
  void take_entry_event(std::string_view data);
  void take_engine_event(std::string_view data);
  void take_text(std::string_view text);
  void set_fault(std::string_view fault);

  StreamKind kind_;
  SseReader reader_;
  std::string expected_;
  std::size_t tokens_bytes_ = 0;  // Bytes of text so far.
  std::uint64_t events_ = 0;
  std::uint64_t next_index_ = 0;
  std::uint64_t reused_ = 0;
  std::uint64_t fetched_ = 0;
  std::uint64_t recomputed_ = 0;
  bool finished_ = false;
  bool done_ = false;
  std::string fault_;
  std::string verdict_;
};

}  // namespace bluebellstep::loadgen

#endif  // BLUEBELLSTEP_LOADGEN_ANSWER_CHECK_H_
