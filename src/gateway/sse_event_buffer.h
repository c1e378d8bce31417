// Cuts a stream of server-sent events at event boundaries.

#ifndef BLUEBELLSTEP_GATEWAY_SSE_EVENT_BUFFER_H_
#define BLUEBELLSTEP_GATEWAY_SSE_EVENT_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bluebellstep {

/**
 * Holds the start of an event back until the event is whole, so that a stream whose upstream fails
 * in the middle of an event can be continued by another upstream.
 */
class SseEventBuffer {
 public:
  /** Takes content and returns the whole events in it, as they were received. */
  std::string feed(std::string_view content);

  /** Forgets the start of an event that will not be completed. */
  void drop_partial() { held_.clear(); }

  bool has_partial() const { return !held_.empty(); }
  /** Id of the last whole event. */
  std::optional<std::uint64_t> last_id() const { return last_id_; }
  std::size_t events() const { return events_; }

 private:
  void note_event(std::string_view event);

  std::string held_;
  std::optional<std::uint64_t> last_id_;
  std::size_t events_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_SSE_EVENT_BUFFER_H_
