// Sending end of a streamed answer: keeps the events of a run until the receiver acknowledges them.

#ifndef BLUEBELLSTEP_STREAMS_STREAM_BUFFER_H_
#define BLUEBELLSTEP_STREAMS_STREAM_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "streams/stream_event.h"

namespace bluebellstep {

/** Thresholds for pausing and resuming the producer of the events. They differ (hysteresis) so that
 * the producer is not paused and resumed in rapid succession. */
struct StreamBufferLimits {
  std::size_t pause_above_bytes = 64 << 10;
  std::size_t resume_below_bytes = 32 << 10;
};

/** A range of events to send: `count` events starting at index `first_index`. */
struct EventRange {
  std::uint64_t first_index = 0;
  std::size_t count = 0;
};

/**
 * Buffer for the events of one run, numbered from `first_index`. Events can be appended at any
 * time; `should_pause_producer` asks the owner to stop reading from the producer, so that the
 * buffer exceeds its limit by at most the events of one read.
 */
class StreamBuffer {
 public:
  explicit StreamBuffer(const StreamBufferLimits& limits, std::uint64_t first_index = 0);

  /** Appends the next event. Must not be called after `finish`. */
  void append(StreamEvent event);

  /** Marks the answer as complete: no further events follow. */
  void finish();

  /** Returns the total number of events of the answer, counted from index 0; nothing before
   * `finish`. */
  std::optional<std::uint64_t> total_events() const;

  /** Frees the events below `next_index`, which the receiver has acknowledged. Has no effect if
   * `next_index` is beyond the last appended event or was acknowledged before. */
  void acknowledge(std::uint64_t next_index);

  /** Records that the receiver has acknowledged the total; ignored before `finish`. All events may
   * be acknowledged earlier, if the total was lost with a connection; the total must then be
   * resent. */
  void acknowledge_end() { end_acknowledged_ = finished_; }

  /** Restarts sending at `next_index`, for example over a new connection. Returns false and has no
   * effect if events from `next_index` on were already freed, or if it is beyond the last event. */
  [[nodiscard]] bool resume_from(std::uint64_t next_index);

  /** Returns the next events to send and marks them as sent: at least one, and as many as it takes
   * to reach `max_bytes`. Returns an empty range if all events were sent. */
  EventRange take_unsent(std::size_t max_bytes);

  /** Returns an event that is in the buffer: one that was appended but not acknowledged. */
  const StreamEvent& event(std::uint64_t index) const;

  /** Whether the owner must stop reading from the producer. */
  bool should_pause_producer() const { return producer_paused_; }

  /** Whether the receiver has acknowledged all events and the total, so that the buffer can be
   * deleted. */
  bool fully_acknowledged() const { return end_acknowledged_ && events_.empty(); }

  std::size_t buffered_bytes() const { return buffered_bytes_; }

 private:
  std::uint64_t end_index() const { return first_buffered_ + events_.size(); }
  void update_producer_paused();

  StreamBufferLimits limits_;
  std::deque<StreamEvent> events_;  // Indices first_buffered_ to end_index() - 1.
  std::uint64_t first_buffered_;
  std::uint64_t next_unsent_;  // From first_buffered_ to end_index().
  std::size_t buffered_bytes_ = 0;
  bool producer_paused_ = false;
  bool finished_ = false;
  bool end_acknowledged_ = false;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAMS_STREAM_BUFFER_H_
