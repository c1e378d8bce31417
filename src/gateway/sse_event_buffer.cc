// Event boundaries and ids.

#include "gateway/sse_event_buffer.h"

#include "http1/message_parser.h"

namespace bluebellstep {
namespace {

constexpr std::string_view kEventEnd = "\n\n";

}  // namespace

std::string SseEventBuffer::feed(std::string_view content) {
  held_ += content;
  std::size_t start = 0;
  while (true) {
    const std::size_t end = held_.find(kEventEnd, start);
    if (end == std::string::npos) {
      break;
    }
    note_event(std::string_view(held_).substr(start, end - start));
    start = end + kEventEnd.size();
  }
  std::string whole = held_.substr(0, start);
  held_.erase(0, start);
  return whole;
}

void SseEventBuffer::note_event(std::string_view event) {
  ++events_;
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
        last_id_ = id;
      }
    }
  }
}

}  // namespace bluebellstep
