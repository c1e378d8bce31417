// Receiver side of a streamed answer: puts the events of one attempt in order and knows whether the
// answer is whole.

#ifndef BLUEBELLSTEP_STREAMS_STREAM_ASSEMBLER_H_
#define BLUEBELLSTEP_STREAMS_STREAM_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "streams/stream_event.h"

namespace bluebellstep {

/** What became of a received event. */
enum class PushResult {
  kReady,         // It was the next one.
  kBuffered,      // It is early and waits for those before it.
  kDuplicate,     // It was received before.
  kOtherAttempt,  // It belongs to another request or attempt.
  kBufferFull,    // It is early and there is no room; the stream must be resumed at `next_index`.
  kBeyondEnd,     // Its index is not below the known total.
};

/**
 * Accepts the events of one attempt and hands them out in order, each once. The answer is complete
 * only when the sender's total count is known and all events below it were handed out.
 */
class StreamAssembler {
 public:
  /** Early events are held up to `max_early_bytes`. */
  StreamAssembler(StreamAttemptId attempt_id, std::size_t max_early_bytes);

  /** Takes an event. Ready ones are fetched with `take_ready`. */
  PushResult push(StreamAttemptId attempt_id, std::uint64_t index, StreamEvent event);

  /** Takes the total count of the answer's events. Returns false, and changes nothing, if it is of
   * another attempt or contradicts what was received; the answer must then end as an error. */
  [[nodiscard]] bool finish(StreamAttemptId attempt_id, std::uint64_t total_events);

  /** Returns the events that are next in order and were not returned before. */
  std::vector<StreamEvent> take_ready();

  /** Goes over to another attempt, which continues at `next_index`. Early events and the total of
   * the previous attempt are dropped, since they belong to a text that may differ from here on. */
  void switch_to_attempt(std::uint32_t attempt);

  StreamAttemptId attempt_id() const { return attempt_id_; }

  /** Index of the first event not received in order yet: where to resume, and the value to
   * acknowledge. */
  std::uint64_t next_index() const { return next_index_; }

  /** Whether every event of the answer was received in order. */
  bool complete() const { return total_ == next_index_; }

 private:
  void move_held_to_ready();

  StreamAttemptId attempt_id_;
  std::size_t max_early_bytes_;
  std::uint64_t next_index_ = 0;
  std::optional<std::uint64_t> total_;         // At least next_index_ and above every held index.
  std::map<std::uint64_t, StreamEvent> held_;  // Indices above next_index_.
  std::size_t held_bytes_ = 0;
  std::vector<StreamEvent> ready_;  // Events below next_index_ not handed out yet.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAMS_STREAM_ASSEMBLER_H_
