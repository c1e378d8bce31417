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
 * Several `data` lines of one event are joined by line feeds; other fields and comments are
 * skipped; an event without data is no event. An event that ends with the stream instead of an
 * empty line is not handed out, since it may be cut.
 */
class SseReader {
 public:
  enum class Status {
    kOk,
    kEventTooLong,  // An event or a line is over the limit. The reader takes no further input.
  };

  using OnEvent = std::function<void(std::string_view data)>;

  static constexpr std::size_t kDefaultMaxEventBytes = 1u << 20;

  /** `max_event_bytes` bounds the data of one event and the length of one line. */
  explicit SseReader(std::size_t max_event_bytes = kDefaultMaxEventBytes)
      : max_event_bytes_(max_event_bytes) {}

  /**
   * Takes the next bytes of the stream and calls `on_event` for each event that they complete. The
   * data is valid only during the call. `on_event` must not call this reader.
   */
  Status feed(std::string_view bytes, const OnEvent& on_event);

  /** Whether the bytes so far end within an event, so that the stream was cut if it ends here. */
  bool has_partial_event() const { return has_data_ || !line_.empty(); }

  /** Text for an error message about `status`. */
  static std::string_view describe(Status status);

 private:
  bool process_line(std::string_view line, const OnEvent& on_event);
  bool add_data(std::string_view data);
  void copy_viewed_data();

  std::size_t max_event_bytes_;
  Status status_ = Status::kOk;
  std::string line_;       // Start of a line whose end has not arrived.
  std::string data_;       // Data of the current event, unless it is `viewed_data_`.
  bool has_data_ = false;  // The current event has a `data` line.
  // The only `data` line of the current event while it still lies in the caller's bytes, so that
  // the usual event is handed out without a copy. Empty between calls.
  std::string_view viewed_data_;
  bool after_carriage_return_ = false;  // A line feed that comes next belongs to the same line end.
  bool at_start_ = true;                // No line has been read; a byte order mark may follow.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_SSE_READER_H_
