// Receiving end of a streamed answer: orders the events of one attempt and determines whether the
// answer is complete.

#ifndef BLUEBELLSTEP_STREAMS_STREAM_ASSEMBLER_H_
#define BLUEBELLSTEP_STREAMS_STREAM_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "streams/stream_event.h"

namespace bluebellstep {

/** Result of `StreamAssembler::push`. */
enum class PushResult {
  kReady,         // The event was the next one and is ready.
  kBuffered,      // The event is early; it is buffered until the events before it arrive.
  kDuplicate,     // The event was received before.
  kOtherAttempt,  // The event belongs to another request or attempt.
  kBufferFull,    // The event is early and the buffer is full; the stream must be resumed at
                  // `next_index`.
  kBeyondEnd,     // The index is not below the known total.
};

/**
 * Accepts the events of one attempt in any order and returns each event once, in order. The answer
 * is complete only if the total number of events was received from the sender and all events were
 * received in order.
 */
class StreamAssembler {
 public:
  /** Early events are buffered up to a total of `max_early_bytes`. */
  StreamAssembler(StreamAttemptId attempt_id, std::size_t max_early_bytes);

  /** Adds a received event. Events that are ready are returned by `take_ready`. */
  PushResult push(StreamAttemptId attempt_id, std::uint64_t index, StreamEvent event);

  /** Sets the total number of events of the answer, as received from the sender. Returns false and
   * has no effect if it belongs to another attempt or contradicts the events received so far; the
   * answer must then end with an error. */
  [[nodiscard]] bool finish(StreamAttemptId attempt_id, std::uint64_t total_events);

  /** Returns the events that are next in order, and removes them from the assembler. */
  std::vector<StreamEvent> take_ready();

  /** Switches to another attempt, which continues the answer at `next_index`. Early events and the
   * total of the previous attempt are discarded, because the texts of the attempts may differ from
   * there on. */
  void switch_to_attempt(std::uint32_t attempt);

  StreamAttemptId attempt_id() const { return attempt_id_; }

  /** Returns the index of the next event in order. It is the index at which to resume the stream
   * and the value to acknowledge. */
  std::uint64_t next_index() const { return next_index_; }

  /** Whether the total is known and every event of the answer was received in order. */
  bool complete() const { return total_ == next_index_; }

 private:
  void move_early_to_ready();

  StreamAttemptId attempt_id_;
  std::size_t max_early_bytes_;
  std::uint64_t next_index_ = 0;
  std::optional<std::uint64_t> total_;  // At least next_index_, and above every index in early_.
  std::map<std::uint64_t, StreamEvent> early_;  // Early events: indices above next_index_.
  std::size_t early_bytes_ = 0;
  std::vector<StreamEvent> ready_;  // Events below next_index_ that were not returned yet.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAMS_STREAM_ASSEMBLER_H_
