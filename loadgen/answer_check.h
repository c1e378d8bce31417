// Checks the streamed answer to a prompt while it arrives.

#ifndef BLUEBELLSTEP_LOADGEN_ANSWER_CHECK_H_
#define BLUEBELLSTEP_LOADGEN_ANSWER_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "http/sse_reader.h"
#include "standins/expected_answer.h"

namespace bluebellstep::loadgen {

/** Format of a stream: that of an entry instance, or that of a model engine. */
enum class StreamKind : std::uint8_t { kEntry, kEngine };

/** Compares a streamed answer with the one that the engine stand-in is expected to give. */
class AnswerCheck {
 public:
  /** Checks the answer to `prompt` of at most `max_tokens` tokens. */
  AnswerCheck(StreamKind kind, std::string_view prompt, std::uint32_t max_tokens);

  /** Parses and checks the next bytes of the response body. */
  void feed(std::string_view bytes);

  /** Returns why the answer is incomplete or wrong, or an empty string if it is complete and
   * correct. Call after the end of the response. If the stream ended with a verdict, use `verdict`
   * instead. */
  std::string fault() const;

  /** Returns whether any text has arrived. */
  bool has_first_token() const { return received_bytes_ > 0; }
  std::uint64_t events() const { return events_; }
  std::uint64_t reused_blocks() const { return reused_blocks_; }
  std::uint64_t fetched_blocks() const { return fetched_blocks_; }
  std::uint64_t recomputed_blocks() const { return recomputed_blocks_; }

  /** Returns the data of the `error` event that ends an answer which cannot be completed, or an
   * empty string if there was none. */
  const std::string& verdict() const { return verdict_; }

 private:
  void handle_event(std::string_view data);
  void handle_entry_event(std::string_view data);
  void handle_engine_event(std::string_view data);
  void check_text(std::string_view text);
  void set_fault(std::string_view fault);

  StreamKind kind_;
  SseReader reader_;
  std::string expected_text_;
  std::size_t received_bytes_ = 0;  // Bytes of text received.
  std::uint64_t events_ = 0;
  std::uint64_t next_index_ = 0;  // Expected index of the next engine token.
  std::uint64_t reused_blocks_ = 0;
  std::uint64_t fetched_blocks_ = 0;
  std::uint64_t recomputed_blocks_ = 0;
  bool has_finish_reason_ = false;
  bool has_done_marker_ = false;
  std::string fault_;  // The first fault; empty if there is none.
  std::string verdict_;
};

}  // namespace bluebellstep::loadgen

#endif  // BLUEBELLSTEP_LOADGEN_ANSWER_CHECK_H_
