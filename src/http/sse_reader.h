// Incremental parser of server-sent events.

#ifndef BLUEBELLSTEP_HTTP_SSE_READER_H_
#define BLUEBELLSTEP_HTTP_SSE_READER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace bluebellstep {

/**
 * Splits a byte stream of the type `text/event-stream` into the `data` payloads of its events.
 * Several `data` lines of one event are joined by line feeds. Other fields, comments and events
 * without data are skipped. An event that ends with the stream instead of an empty line is not
 * reported, since it may be truncated.
 */
class SseReader {
 public:
  enum class Status {
    kOk,
    kEventTooLong,  // An event or a line is over the limit. Further input is ignored.
  };

  using OnEvent = std::function<void(std::string_view data)>;

  static constexpr std::size_t kDefaultMaxEventBytes = 1u << 20;

  /** `max_event_bytes` limits the data of one event and the length of one line. */
  explicit SseReader(std::size_t max_event_bytes = kDefaultMaxEventBytes)
      : max_event_bytes_(max_event_bytes) {}

  /**
   * Parses the next bytes of the stream and calls `on_event` for each event that they complete. The
   * data is valid only during that call. `on_event` must not call this reader.
   */
  Status feed(std::string_view bytes, const OnEvent& on_event);

  /** Whether the bytes so far end within an event. If the stream ends here, it was truncated. */
  bool has_partial_event() const { return has_data_ || !line_.empty(); }

  /** Returns the text for an error message about `status`. */
  static std::string_view describe(Status status);

 private:
  bool process_line(std::string_view line, const OnEvent& on_event);
  bool add_data(std::string_view data);
  void copy_viewed_data();

  std::size_t max_event_bytes_;
  Status status_ = Status::kOk;
  std::string line_;       // Start of a line whose end was not received.
  std::string data_;       // Data of the current event, unless it is `viewed_data_`.
  bool has_data_ = false;  // The current event has a `data` line.
  // The only `data` line of the current event while it is in the bytes passed to `feed`. Events
  // with one `data` line are usually reported without a copy. Empty between calls.
  std::string_view viewed_data_;
  bool after_carriage_return_ = false;  // A line feed that follows belongs to the same line end.
  bool at_start_ = true;                // No line was parsed; a byte order mark may follow.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_SSE_READER_H_
