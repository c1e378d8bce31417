// Splits a stream of server-sent events at event boundaries, since an upstream may fail in the
// middle of an event.

#ifndef BLUEBELLSTEP_GATEWAY_SSE_EVENT_BUFFER_H_
#define BLUEBELLSTEP_GATEWAY_SSE_EVENT_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bluebellstep {

/** Releases only complete events, so that another upstream can continue a stream whose upstream
 * failed. An event ends with an empty line; lines end with LF, CR or CRLF. */
class SseEventBuffer {
 public:
  /** Maximum size of an event. An upstream that sends more without the end of an event is faulty,
   * and buffering all of it would exhaust the memory of the gateway. */
  static constexpr std::size_t kMaxEventBytes = 256u << 10;

  /** Adds `content` and returns all events that are now complete, byte for byte as received. */
  std::string feed(std::string_view content);

  /** Discards the buffered bytes of an incomplete event. */
  void discard_partial();

  bool has_partial() const { return !partial_event_.empty(); }

  /** The incomplete event is larger than `kMaxEventBytes`. */
  bool overflowed() const { return partial_event_.size() > kMaxEventBytes; }

  /** Id of the latest complete event that has a decimal id; unset if there is none. */
  std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }

  /** Number of complete events so far. Events without a field, such as comments that keep a
   * connection open, are not counted. */
  std::size_t event_count() const { return event_count_; }

 private:
  // Returns the length of the events at the start of `partial_event_` that are complete. Scans only
  // bytes after `scanned_`.
  std::size_t scan();
  // Counts a complete event, unless it has no field, and reads its id.
  void record_event(std::string_view event);

  std::string partial_event_;
  std::size_t scanned_ = 0;             // Bytes of `partial_event_` that contain no event boundary.
  bool line_is_empty_ = true;           // No byte of the current line has been scanned.
  bool after_carriage_return_ = false;  // A line feed would belong to the previous line end.
  bool event_has_lines_ = false;        // The current event has a line that is not empty.
  std::optional<std::uint64_t> last_event_id_;
  std::size_t event_count_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_SSE_EVENT_BUFFER_H_
