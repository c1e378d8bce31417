// Detection of event boundaries and parsing of event ids.

#include "gateway/sse_event_buffer.h"

#include "http1/message_parser.h"

namespace bluebellstep {
namespace {

constexpr std::string_view kEventEnd = "\n\n";

}  // namespace

std::string SseEventBuffer::feed(std::string_view content) {
  partial_event_ += content;
  std::size_t start = 0;
  while (true) {
    const std::size_t end = partial_event_.find(kEventEnd, start);
    if (end == std::string::npos) {
      break;
    }
    record_event(std::string_view(partial_event_).substr(start, end - start));
    start = end + kEventEnd.size();
  }
  std::string complete_events = partial_event_.substr(0, start);
  partial_event_.erase(0, start);
  return complete_events;
}

void SseEventBuffer::record_event(std::string_view event) {
  ++event_count_;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
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
}

}  // namespace bluebellstep
