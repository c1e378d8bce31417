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
 * failed. */
class SseEventBuffer {
 public:
  /** Adds `content` and returns all events that are now complete, byte for byte as received. */
  std::string feed(std::string_view content);

  /** Discards the buffered bytes of an incomplete event. */
  void discard_partial() { partial_event_.clear(); }

  bool has_partial() const { return !partial_event_.empty(); }

  /** Id of the latest complete event that has a decimal id; unset if there is none. */
  std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }

  /** Number of complete events so far. */
  std::size_t event_count() const { return event_count_; }

 private:
  // Counts a complete event and reads its id.
  void record_event(std::string_view event);

  std::string partial_event_;
  std::optional<std::uint64_t> last_event_id_;
  std::size_t event_count_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_SSE_EVENT_BUFFER_H_
