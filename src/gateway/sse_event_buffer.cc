// Detection of event boundaries and parsing of event ids.

#include "gateway/sse_event_buffer.h"

#include "http1/message_parser.h"

namespace bluebellstep {
namespace {

constexpr std::string_view kLineEnds = "\r\n";
constexpr char kCommentStart = ':';

}  // namespace

std::string SseEventBuffer::feed(std::string_view content) {
  partial_event_ += content;
  const std::size_t complete_length = scan();
  std::string complete_events = partial_event_.substr(0, complete_length);
  partial_event_.erase(0, complete_length);
  scanned_ = partial_event_.size();
  return complete_events;
}

std::size_t SseEventBuffer::scan() {
  std::size_t event_start = 0;
  for (std::size_t i = scanned_; i < partial_event_.size(); ++i) {
    const char byte = partial_event_[i];
    if (byte == '\n' && after_carriage_return_) {
      after_carriage_return_ = false;
      if (i == event_start) {
        event_start = i + 1;  // The second half of the line end that completed an event.
      }
      continue;
    }
    after_carriage_return_ = byte == '\r';
    if (byte != '\n' && byte != '\r') {
      line_is_empty_ = false;
      event_has_lines_ = true;
      continue;
    }
    if (line_is_empty_) {
      if (event_has_lines_) {
        record_event(std::string_view(partial_event_).substr(event_start, i - event_start));
      }
      event_has_lines_ = false;
      event_start = i + 1;
    }
    line_is_empty_ = true;
  }
  return event_start;
}

void SseEventBuffer::discard_partial() {
  partial_event_.clear();
  scanned_ = 0;
  line_is_empty_ = true;
  after_carriage_return_ = false;
  event_has_lines_ = false;
}

void SseEventBuffer::record_event(std::string_view event) {
  bool has_field = false;
  while (!event.empty()) {
    const std::size_t end = event.find_first_of(kLineEnds);
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    has_field = has_field || (!line.empty() && !line.starts_with(kCommentStart));
    constexpr std::string_view kIdField = "id:";
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      if (const auto id = parse_decimal(line)) {
        last_event_id_ = id;
      }
    }
  }
  event_count_ += has_field ? 1 : 0;
}

}  // namespace bluebellstep
