// Sender side of a streamed answer: keeps the events of a run until the receiver has them.

#ifndef BLUEBELLSTEP_STREAMS_STREAM_BUFFER_H_
#define BLUEBELLSTEP_STREAMS_STREAM_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "streams/stream_event.h"

namespace bluebellstep {

/** Bounds of a buffer. Between them the source stays as it is, so that it does not flap. */
struct StreamBufferLimits {
  std::size_t pause_above_bytes = 64 << 10;
  std::size_t resume_below_bytes = 32 << 10;
};

/** A range of events to send: `count` events from `first_index` on. */
struct EventRange {
  std::uint64_t first_index = 0;
  std::size_t count = 0;
};

/**
 * Events of one run, numbered from `first_index`. Appending is always possible;
 * `should_pause_producer` asks the owner to stop reading from the source, so that the buffer
 * exceeds its bound by what one read brings at most.
 */
class StreamBuffer {
 public:
  explicit StreamBuffer(const StreamBufferLimits& limits, std::uint64_t first_index = 0);

  /** Adds the next event. Not after `finish`. */
  void append(StreamEvent event);

  /** Notes that the source ended; the total counts from index 0. */
  void finish();

  /** Total number of events of the answer; nothing before `finish`. */
  std::optional<std::uint64_t> total_events() const;

  /** Frees the events below `next_index`, which the receiver has. An acknowledgement of events
   * that were never sent, or an older one, changes nothing. */
  void acknowledge(std::uint64_t next_index);

  /** Notes that the receiver has the total. Events can all be acknowledged before that, if the
   * total was lost with a connection; it must then be sent again. */
  void acknowledge_end() { end_acknowledged_ = finished_; }

  /** Sends again from `next_index` on, over a new link. Returns false if that is not possible:
   * the events before it were freed, or it is beyond the last event. */
  [[nodiscard]] bool resume_from(std::uint64_t next_index);

  /** Returns the next events to send, about `max_bytes` and one at least, and counts them as sent;
   * an empty range if there are none. */
  EventRange take_unsent(std::size_t max_bytes);

  /** A held event: one that was appended and is not acknowledged. */
  const StreamEvent& event(std::uint64_t index) const;

  /** Whether reading from the source must pause. */
  bool should_pause_producer() const { return producer_paused_; }

  /** Whether the receiver has all events and the total, so that the buffer can be dropped. */
  bool fully_acknowledged() const { return end_acknowledged_ && events_.empty(); }

  std::size_t held_bytes() const { return held_bytes_; }

 private:
  std::uint64_t end_index() const { return first_held_ + events_.size(); }
  void update_pause();

  StreamBufferLimits limits_;
  std::deque<StreamEvent> events_;  // Indices first_held_ to end_index() - 1.
  std::uint64_t first_held_;
  std::uint64_t next_unsent_;  // From first_held_ to end_index().
  std::size_t held_bytes_ = 0;
  bool producer_paused_ = false;
  bool finished_ = false;
  bool end_acknowledged_ = false;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAMS_STREAM_BUFFER_H_
