// Streams of the engine model: delivery, resumption and injected stream faults.

#include <algorithm>

#include "standins/engine_model.h"

namespace bluebellstep::standins {

std::optional<StreamId> EngineModel::resume(std::string_view request_id,
                                            std::uint32_t from_index,
                                            Instant now) {
  advance(now);
  const auto found = by_request_.find(request_id);
  if (found == by_request_.end()) {
    return std::nullopt;
  }
  const Run& run = runs_.at(found->second);
  if (from_index < run.first_index || from_index > run.total_tokens) {
    return std::nullopt;
  }
  ++counters_.resumed_streams;
  const StreamId stream = open_stream(found->second, from_index);
  replay(stream, run);
  return stream;
}

void EngineModel::replay(StreamId stream, const Run& run) {
  if (run.phase == RunPhase::kWaiting || run.phase == RunPhase::kPrefill) {
    return;
  }
  send(stream, run.usage);
  for (std::uint32_t index = run.first_index; index < run.next_index; ++index) {
    send(stream, StreamToken{index, run.answer.token(index)});
  }
  if (run.phase == RunPhase::kEnded) {
    send(stream, StreamFinished{run.ends_naturally, run.total_tokens});
  }
}

void EngineModel::close_stream(StreamId stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return;
  }
  std::erase(runs_.at(found->second.run).streams, stream);
  streams_.erase(found);
}

StreamId EngineModel::open_stream(RunId run, std::uint32_t from_index) {
  const StreamId id{++last_id_};
  streams_[id] = {run, from_index};
  runs_.at(run).streams.push_back(id);
  return id;
}

void EngineModel::send_to_run(RunId run, const decltype(StreamEvent::payload)& payload) {
  // Iterates over a copy, because `send` removes a stream that ends from the run.
  for (const StreamId stream : std::vector(runs_.at(run).streams)) {
    send(stream, payload);
  }
}

void EngineModel::send(StreamId id, decltype(StreamEvent::payload) payload) {
  const auto found = streams_.find(id);
  if (found == streams_.end() || found->second.stalled) {
    return;
  }
  Stream& stream = found->second;
  const auto* const token = std::get_if<StreamToken>(&payload);
  if (token && token->index < stream.from_index) {
    return;
  }
  if (!std::holds_alternative<StreamStarted>(payload) && apply_stream_faults(id, stream)) {
    return;
  }
  stream.sent_tokens += token ? 1 : 0;
  const bool ends = std::holds_alternative<StreamFinished>(payload);
  events_.push_back({id, time(), std::move(payload)});
  if (ends) {
    close_stream(id);
  }
}

bool EngineModel::apply_stream_faults(StreamId id, Stream& stream) {
  if (faults_.break_after_tokens && stream.sent_tokens >= *faults_.break_after_tokens) {
    break_stream(id);
    return true;
  }
  stream.stalled = faults_.stall_after_tokens && stream.sent_tokens >= *faults_.stall_after_tokens;
  return stream.stalled;
}

void EngineModel::break_stream(StreamId stream) {
  events_.push_back({stream, time(), StreamBroken{}});
  close_stream(stream);
}

}  // namespace bluebellstep::standins
