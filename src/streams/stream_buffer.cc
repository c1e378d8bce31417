// Buffering and acknowledgement of events.

#include "streams/stream_buffer.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bluebellstep {
namespace {

std::size_t bytes_of(const StreamEvent& event) {
  return sizeof(StreamEvent) + event.text.size();
}

}  // namespace

StreamBuffer::StreamBuffer(const StreamBufferLimits& limits, std::uint64_t first_index)
    : limits_(limits), first_buffered_(first_index), next_unsent_(first_index) {
  assert(limits.resume_below_bytes <= limits.pause_above_bytes);
}

void StreamBuffer::append(StreamEvent event) {
  assert(!finished_);
  buffered_bytes_ += bytes_of(event);
  events_.push_back(std::move(event));
  update_producer_paused();
}

void StreamBuffer::finish() {
  finished_ = true;
}

std::optional<std::uint64_t> StreamBuffer::total_events() const {
  return finished_ ? std::optional(end_index()) : std::nullopt;
}

void StreamBuffer::acknowledge(std::uint64_t next_index) {
  // Events beyond next_unsent_ are valid too: after `resume_from`, the receiver may acknowledge
  // events that it received before.
  if (next_index > end_index()) {
    return;
  }
  while (first_buffered_ < next_index) {
    buffered_bytes_ -= bytes_of(events_.front());
    events_.pop_front();
    ++first_buffered_;
  }
  next_unsent_ = std::max(next_unsent_, first_buffered_);
  update_producer_paused();
}

bool StreamBuffer::resume_from(std::uint64_t next_index) {
  if (next_index < first_buffered_ || next_index > end_index()) {
    return false;
  }
  acknowledge(next_index);
  next_unsent_ = next_index;
  return true;
}

EventRange StreamBuffer::take_unsent(std::size_t max_bytes) {
  EventRange range{next_unsent_, 0};
  std::size_t bytes = 0;
  while (next_unsent_ < end_index() && (range.count == 0 || bytes < max_bytes)) {
    bytes += bytes_of(event(next_unsent_));
    ++next_unsent_;
    ++range.count;
  }
  return range;
}

const StreamEvent& StreamBuffer::event(std::uint64_t index) const {
  assert(index >= first_buffered_ && index < end_index());
  return events_[index - first_buffered_];
}

void StreamBuffer::update_producer_paused() {
  if (buffered_bytes_ > limits_.pause_above_bytes) {
    producer_paused_ = true;
  } else if (buffered_bytes_ <= limits_.resume_below_bytes) {
    producer_paused_ = false;
  }
}

}  // namespace bluebellstep
