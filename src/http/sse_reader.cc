// Splits an event stream into lines and assembles events from them.

#include "http/sse_reader.h"

#include <algorithm>

namespace bluebellstep {

SseReader::Status SseReader::feed(std::string_view bytes, const OnEvent& on_event) {
  if (status_ != Status::kOk) {
    return status_;
  }
  std::size_t position = 0;
  // The position is kept across lines, so that parsing takes linear time also if the input has only
  // carriage returns.
  std::size_t line_feed = 0;
  bool line_feed_known = false;
  while (position < bytes.size()) {
    if (after_carriage_return_) {
      after_carriage_return_ = false;
      if (bytes[position] == '\n') {
        ++position;
        continue;
      }
    }
    if (!line_feed_known || line_feed < position) {
      line_feed = std::min(bytes.find('\n', position), bytes.size());
      line_feed_known = true;
    }
    std::string_view line = bytes.substr(position, line_feed - position);
    const std::size_t carriage_return = line.find('\r');
    after_carriage_return_ = carriage_return != std::string_view::npos;
    line = line.substr(0, carriage_return);
    const bool is_complete = after_carriage_return_ || line_feed < bytes.size();
    if (line_.size() + line.size() > max_event_bytes_) {
      return status_ = Status::kEventTooLong;
    }
    position += line.size() + 1;
    if (!is_complete) {
      line_ += line;
      break;
    }
    if (line_.empty() ? !process_line(line, on_event)
                      : (line_ += line, !process_line(line_, on_event))) {
      return status_ = Status::kEventTooLong;
    }
    if (!line_.empty()) {
      copy_viewed_data();
      line_.clear();
    }
  }
  copy_viewed_data();
  return status_;
}

bool SseReader::process_line(std::string_view line, const OnEvent& on_event) {
  constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
  constexpr std::string_view kData = "data";
  if (at_start_) {
    at_start_ = false;
    if (line.starts_with(kByteOrderMark)) {
      line.remove_prefix(kByteOrderMark.size());
    }
  }
  if (line.empty()) {
    if (has_data_) {
      on_event(viewed_data_.empty() ? std::string_view(data_) : viewed_data_);
    }
    has_data_ = false;
    data_.clear();
    viewed_data_ = {};
    return true;
  }
  if (!line.starts_with(kData)) {
    return true;
  }
  line.remove_prefix(kData.size());
  if (line.empty()) {
    return add_data({});
  }
  if (line.front() != ':') {
    return true;  // A field whose name only starts with "data".
  }
  line.remove_prefix(line.starts_with(": ") ? 2 : 1);
  return add_data(line);
}

bool SseReader::add_data(std::string_view data) {
  if (!has_data_) {
    has_data_ = true;
    viewed_data_ = data;
    return true;
  }
  copy_viewed_data();
  if (data_.size() + 1 + data.size() > max_event_bytes_) {
    return false;
  }
  data_ += '\n';
  data_ += data;
  return true;
}

void SseReader::copy_viewed_data() {
  if (!viewed_data_.empty()) {
    data_ = viewed_data_;
    viewed_data_ = {};
  }
}

std::string_view SseReader::describe(Status status) {
  switch (status) {
    case Status::kOk:
      return "ok";
    case Status::kEventTooLong:
      return "a server-sent event is over the length limit";
  }
  return "unknown";
}

}  // namespace bluebellstep
