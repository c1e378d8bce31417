// Ordering of received events by index.

#include "streams/stream_assembler.h"

#include <utility>

namespace bluebellstep {
namespace {

std::size_t bytes_of(const StreamEvent& event) {
  return sizeof(StreamEvent) + event.text.size();
}

}  // namespace

StreamAssembler::StreamAssembler(StreamAttemptId attempt_id, std::size_t max_early_bytes)
    : attempt_id_(attempt_id), max_early_bytes_(max_early_bytes) {}

PushResult StreamAssembler::push(StreamAttemptId attempt_id,
                                 std::uint64_t index,
                                 StreamEvent event) {
  if (attempt_id != attempt_id_) {
    return PushResult::kOtherAttempt;
  }
  if (index < next_index_ || early_.contains(index)) {
    return PushResult::kDuplicate;
  }
  if (total_ && index >= *total_) {
    return PushResult::kBeyondEnd;
  }
  if (index > next_index_) {
    const std::size_t bytes = bytes_of(event);
    if (early_bytes_ + bytes > max_early_bytes_) {
      return PushResult::kBufferFull;
    }
    early_bytes_ += bytes;
    early_.emplace(index, std::move(event));
    return PushResult::kBuffered;
  }
  ready_.push_back(std::move(event));
  ++next_index_;
  move_early_to_ready();
  return PushResult::kReady;
}

bool StreamAssembler::finish(StreamAttemptId attempt_id, std::uint64_t total_events) {
  const bool has_event_beyond_total = !early_.empty() && early_.rbegin()->first >= total_events;
  if (attempt_id != attempt_id_ || total_events < next_index_ || has_event_beyond_total ||
      (total_ && total_ != total_events)) {
    return false;
  }
  total_ = total_events;
  return true;
}

std::vector<StreamEvent> StreamAssembler::take_ready() {
  return std::exchange(ready_, {});
}

void StreamAssembler::switch_to_attempt(std::uint32_t attempt) {
  attempt_id_.attempt = attempt;
  early_.clear();
  early_bytes_ = 0;
  total_.reset();
}

void StreamAssembler::move_early_to_ready() {
  for (auto first = early_.begin(); first != early_.end() && first->first == next_index_;
       first = early_.erase(first)) {
    early_bytes_ -= bytes_of(first->second);
    ready_.push_back(std::move(first->second));
    ++next_index_;
  }
}

}  // namespace bluebellstep
