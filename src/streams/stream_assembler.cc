// Orders received events by index.

#include "streams/stream_assembler.h"

#include <utility>

namespace bluebellstep {
namespace {

std::size_t bytes_of(const StreamEvent& event) {
  return sizeof(StreamEvent) + event.text.size();
}

}  // namespace

StreamAssembler::StreamAssembler(StreamRef ref, std::size_t max_early_bytes)
    : ref_(ref), max_early_bytes_(max_early_bytes) {}

PushResult StreamAssembler::push(StreamRef ref, std::uint64_t index, StreamEvent event) {
  if (ref != ref_) {
    return PushResult::kForeign;
  }
  if (index < next_index_ || held_.contains(index)) {
    return PushResult::kDuplicate;
  }
  if (total_ && index >= *total_) {
    return PushResult::kBeyondEnd;
  }
  if (index > next_index_) {
    const std::size_t bytes = bytes_of(event);
    if (held_bytes_ + bytes > max_early_bytes_) {
      return PushResult::kTooEarly;
    }
    held_bytes_ += bytes;
    held_.emplace(index, std::move(event));
    return PushResult::kHeld;
  }
  ready_.push_back(std::move(event));
  ++next_index_;
  move_held_to_ready();
  return PushResult::kReady;
}

bool StreamAssembler::finish(StreamRef ref, std::uint64_t total_events) {
  const bool beyond = !held_.empty() && held_.rbegin()->first >= total_events;
  if (ref != ref_ || total_events < next_index_ || beyond || (total_ && total_ != total_events)) {
    return false;
  }
  total_ = total_events;
  return true;
}

std::vector<StreamEvent> StreamAssembler::take_ready() {
  return std::exchange(ready_, {});
}

void StreamAssembler::continue_with(std::uint32_t attempt) {
  ref_.attempt = attempt;
  held_.clear();
  held_bytes_ = 0;
  total_.reset();
}

void StreamAssembler::move_held_to_ready() {
  for (auto first = held_.begin(); first != held_.end() && first->first == next_index_;
       first = held_.erase(first)) {
    held_bytes_ -= bytes_of(first->second);
    ready_.push_back(std::move(first->second));
    ++next_index_;
  }
}

}  // namespace bluebellstep
