// Sends batches of events and the completion of an answer.

#include "sidecar/answer_outbox.h"

#include <cassert>

#include "base/overloaded.h"
#include "rpc/wire_verdict.h"

namespace bluebellstep {

/** Buffered events and delivery state of one answer. */
struct AnswerOutbox::State {
  State(RpcLoop& control, std::uint64_t first_index)
      : loop(control), buffer(StreamBufferLimits{}, first_index) {}

  RpcLoop& loop;
  Clock clock;
  StreamBuffer buffer;
  std::uint64_t event_count = 0;
  std::optional<RunResult> result;
  bool finish_sent = false;
  std::size_t pushes_in_flight = 0;
  std::optional<wire::AnswerSink::Client> sink;
  std::uint64_t sink_number = 0;  // Results of calls to earlier sinks are ignored.
  Instant detached_since;
};

namespace {

void fill_completion(wire::Completion::Builder out, const RunResult& result, std::uint64_t total) {
  std::visit(Overloaded{[&](const Verdict& verdict) { write_verdict(out.initVerdict(), verdict); },
                        [&](const AnswerSummary& summary) {
                          auto answer = out.initAnswer();
                          answer.setTotalEvents(total);
                          answer.setStatus(summary.status);
                          answer.setContentType(summary.content_type);
                          answer.setFinishReason(summary.finish_reason);
                          answer.setPromptTokens(summary.prompt_tokens);
                          answer.setReusedBlocks(summary.reused_blocks);
                          answer.setFetchedBlocks(summary.fetched_blocks);
                          answer.setRecomputedBlocks(summary.recomputed_blocks);
                          answer.setReplayed(summary.replayed);
                        }},
             result);
}

}  // namespace

AnswerOutbox::AnswerOutbox(RpcLoop& loop, std::uint64_t first_index)
    : state_(std::make_shared<State>(loop, first_index)) {
  state_->detached_since = state_->clock.now();
}

AnswerOutbox::~AnswerOutbox() {
  if (state_ != nullptr) {
    state_->sink.reset();
  }
}

bool AnswerOutbox::attach(wire::AnswerSink::Client sink, std::uint64_t next_index) {
  if (!state_->buffer.resume_from(next_index)) {
    return false;
  }
  state_->finish_sent = false;
  state_->pushes_in_flight = 0;
  state_->sink.emplace(kj::mv(sink));
  ++state_->sink_number;
  send_pending(state_);
  return true;
}

void AnswerOutbox::add(std::string text) {
  assert(!state_->result.has_value());
  state_->buffer.append({std::move(text), 1});
  ++state_->event_count;
  send_pending(state_);
}

void AnswerOutbox::finish(RunResult result) {
  assert(!state_->result.has_value());
  state_->result.emplace(std::move(result));
  state_->buffer.finish();
  send_pending(state_);
}

bool AnswerOutbox::is_finished() const {
  return state_->result.has_value();
}

bool AnswerOutbox::is_delivered() const {
  return state_->buffer.fully_acknowledged();
}

std::optional<Instant> AnswerOutbox::detached_since() const {
  return state_->sink.has_value() ? std::nullopt : std::optional(state_->detached_since);
}

std::uint64_t AnswerOutbox::event_count() const {
  return state_->event_count;
}

void AnswerOutbox::send_pending(const std::shared_ptr<State>& state) {
  while (state->sink.has_value() && state->pushes_in_flight < kMaxPushesInFlight) {
    const EventRange range = state->buffer.take_unsent(kBatchBytes);
    if (range.count > 0) {
      push_batch(state, range);
      continue;
    }
    if (state->result.has_value() && !state->finish_sent) {
      send_finish(state);
    }
    return;
  }
}

void AnswerOutbox::push_batch(const std::shared_ptr<State>& state, EventRange range) {
  auto call = state->sink->pushRequest();
  call.setFirstIndex(range.first_index);
  auto events = call.initEvents(static_cast<unsigned>(range.count));
  for (unsigned i = 0; i < events.size(); ++i) {
    const std::string& text = state->buffer.event(range.first_index + i).text;
    events[i].setText(kj::arrayPtr(reinterpret_cast<const kj::byte*>(text.data()), text.size()));
  }
  ++state->pushes_in_flight;
  state->loop.add_background(call.send().then(
      [state, sink_number =
                  state->sink_number](capnp::Response<wire::AnswerSink::PushResults>&& response) {
        if (sink_number == state->sink_number) {
          --state->pushes_in_flight;
          state->buffer.acknowledge(response.getNextIndex());
          send_pending(state);
        }
      },
      [state, sink_number = state->sink_number](kj::Exception&&) {
        detach_sink(state, sink_number);
      }));
}

void AnswerOutbox::send_finish(const std::shared_ptr<State>& state) {
  state->finish_sent = true;
  auto call = state->sink->finishRequest();
  fill_completion(call.initCompletion(), *state->result, state->buffer.total_events().value_or(0));
  state->loop.add_background(call.send().then(
      [state,
       sink_number = state->sink_number](capnp::Response<wire::AnswerSink::FinishResults>&&) {
        if (sink_number == state->sink_number) {
          state->buffer.acknowledge_end();
          state->sink.reset();
        }
      },
      [state, sink_number = state->sink_number](kj::Exception&&) {
        detach_sink(state, sink_number);
      }));
}

void AnswerOutbox::detach_sink(const std::shared_ptr<State>& state, std::uint64_t sink_number) {
  if (sink_number != state->sink_number || !state->sink.has_value()) {
    return;
  }
  state->sink.reset();
  state->detached_since = state->clock.now();
}

}  // namespace bluebellstep
