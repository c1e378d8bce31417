// Randomized test of streamed answers with events that are delayed, reordered, duplicated,
// misdelivered or lost with a connection, with resumed streams, and with senders that are replaced
// during an answer.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "streams/stream_assembler.h"
#include "streams/stream_buffer.h"
#include "tests/support/event_queue.h"

namespace bluebellstep {
namespace {

/** Rule that a run does not apply, to show that the checks detect its absence. */
enum class Omitted { kNothing, kOrder, kDuplicates, kOtherAttempt, kTotal, kContinuation };

constexpr int kRequests = 20;
constexpr Instant kEnd{60'000};
constexpr StreamBufferLimits kLimits{.pause_above_bytes = 2000, .resume_below_bytes = 1000};

// Contains the request, attempt and index, so that the check can identify the origin of an event.
std::string text_of(StreamAttemptId attempt_id, std::uint64_t index) {
  return std::to_string(attempt_id.request.value) + "/" + std::to_string(attempt_id.attempt) + "/" +
         std::to_string(index);
}

struct Sender {
  StreamBuffer buffer;
  std::uint64_t next;
  std::uint64_t end;
};

struct Receiver {
  std::unique_ptr<StreamAssembler> assembler;
  std::vector<std::string> answer;
  std::map<std::uint32_t, std::uint64_t> attempt_starts;  // First index of each attempt.
  std::set<std::uint64_t> received;
  std::uint64_t total = 0;
  Instant last_progress_at;
  bool ended = false;
};

class Simulation {
 public:
  Simulation(std::uint64_t seed, Omitted omitted) : queue_(seed, Instant{0}), omitted_(omitted) {}

  std::optional<std::string> run() {
    receivers_.resize(kRequests);
    for (std::uint64_t i = 0; i < kRequests; ++i) {
      Receiver& receiver = receivers_[i];
      const StreamAttemptId attempt_id{{i}, 1};
      receiver.assembler = std::make_unique<StreamAssembler>(attempt_id, 400);
      receiver.total = queue_.random().below(60);
      start_attempt(attempt_id);
      resume_if_stalled(i);
      for (std::uint64_t remaining_cuts = queue_.random().below(4); remaining_cuts > 0;
           --remaining_cuts) {
        queue_.after(queue_.random_duration(0, 5000), [=, this] { ++links_[i]; });
      }
      if (queue_.random().chance(0.4)) {
        queue_.after(queue_.random_duration(0, 4000), [=, this] { replace_sender(i); });
      }
    }
    queue_.run_until(kEnd);
    return find_violation();
  }

 private:
  void start_attempt(StreamAttemptId attempt_id) {
    Receiver& receiver = receivers_[attempt_id.request.value];
    const std::uint64_t first = receiver.assembler->next_index();
    receiver.attempt_starts[attempt_id.attempt] = first;
    senders_.emplace(attempt_id, Sender{StreamBuffer(kLimits, first), first, receiver.total});
    produce(attempt_id);
  }

  // The replaced sender continues to send, as a process does that was paused and resumed.
  void replace_sender(std::uint64_t request) {
    Receiver& receiver = receivers_[request];
    if (receiver.ended || receiver.assembler->complete()) {
      return;
    }
    const std::uint32_t attempt = receiver.assembler->attempt_id().attempt + 1;
    if (omitted_ != Omitted::kContinuation) {
      receiver.assembler->switch_to_attempt(attempt);
    }
    start_attempt({{request}, attempt});
  }

  void produce(StreamAttemptId attempt_id) {
    Sender& sender = senders_.at(attempt_id);
    while (sender.next < sender.end && !sender.buffer.should_pause_producer() &&
           queue_.random().chance(0.7)) {
      sender.buffer.append({text_of(attempt_id, sender.next++), 1});
    }
    limit_kept_ = limit_kept_ && sender.buffer.buffered_bytes() < kLimits.pause_above_bytes + 100;
    if (sender.next == sender.end && !sender.buffer.total_events()) {
      sender.buffer.finish();
    }
    const EventRange range = sender.buffer.take_unsent(300);
    for (std::uint64_t i = range.first_index; i < range.first_index + range.count; ++i) {
      deliver_event(attempt_id, i, sender.buffer.event(i));
    }
    if (const auto total = sender.buffer.total_events()) {
      send(attempt_id.request.value, [=, this] { finish(attempt_id, *total); });
      if (sender.buffer.fully_acknowledged()) {
        return;
      }
    }
    if (queue_.now() < kEnd - 10_s) {
      queue_.after(queue_.random_duration(10, 50), [=, this] { produce(attempt_id); });
    }
  }

  // Sends a message over the link of the request. If the link is cut, half of the messages in
  // flight are lost; the others still arrive.
  void send(std::uint64_t request, std::function<void()> action) {
    const std::uint64_t link = links_[request];
    const Duration delay =
        queue_.random().chance(0.9) ? queue_.random_duration(1, 5) : queue_.network_delay();
    const bool arrives_after_cut = queue_.random().chance(0.5);
    queue_.after(delay, [=, this] {
      if (arrives_after_cut || links_[request] == link) {
        action();
      }
    });
  }

  void deliver_event(StreamAttemptId attempt_id, std::uint64_t index, const StreamEvent& event) {
    const double draw = queue_.random().uniform();
    const std::uint64_t target =
        draw < 0.02 ? queue_.random().below(kRequests) : attempt_id.request.value;
    for (int remaining_copies = draw > 0.9 ? 2 : 1; remaining_copies > 0; --remaining_copies) {
      send(attempt_id.request.value, [=, this] { receive(target, attempt_id, index, event); });
    }
  }

  void receive(std::uint64_t target,
               StreamAttemptId attempt_id,
               std::uint64_t index,
               const StreamEvent& event) {
    Receiver& receiver = receivers_[target];
    if (receiver.ended) {
      return;
    }
    StreamAssembler& assembler = *receiver.assembler;
    const bool accept_any = omitted_ == Omitted::kOtherAttempt;
    const bool accept_other_attempt =
        omitted_ == Omitted::kContinuation && attempt_id.request == assembler.attempt_id().request;
    if (accept_any || accept_other_attempt) {
      attempt_id = assembler.attempt_id();
    }
    const PushResult result = assembler.push(attempt_id, index, event);
    const bool first =
        result != PushResult::kOtherAttempt && receiver.received.insert(index).second;
    if (omitted_ == Omitted::kOrder && first) {
      receiver.answer.push_back(event.text);
    }
    if (omitted_ == Omitted::kDuplicates && result == PushResult::kDuplicate) {
      receiver.answer.push_back(event.text);
    }
    if (result == PushResult::kReady) {
      receiver.last_progress_at = queue_.now();
    }
    for (StreamEvent& ready : assembler.take_ready()) {
      if (omitted_ != Omitted::kOrder) {
        receiver.answer.push_back(std::move(ready.text));
      }
    }
    receiver.ended = assembler.complete();
    acknowledge(target);
  }

  void acknowledge(std::uint64_t request) {
    const StreamAttemptId attempt_id = receivers_[request].assembler->attempt_id();
    const std::uint64_t next = receivers_[request].assembler->next_index();
    send(request, [=, this] { senders_.at(attempt_id).buffer.acknowledge(next); });
  }

  void finish(StreamAttemptId attempt_id, std::uint64_t total) {
    Receiver& receiver = receivers_[attempt_id.request.value];
    if (omitted_ == Omitted::kTotal) {
      receiver.ended = true;
    }
    if (receiver.assembler->finish(attempt_id, total)) {
      receiver.ended = receiver.ended || receiver.assembler->complete();
      send(attempt_id.request.value,
           [=, this] { senders_.at(attempt_id).buffer.acknowledge_end(); });
    }
  }

  // Resumes a stream that makes no progress, as an entry instance does.
  void resume_if_stalled(std::uint64_t request) {
    Receiver& receiver = receivers_[request];
    if (!receiver.ended && queue_.now() - receiver.last_progress_at > 1500_ms) {
      const StreamAttemptId attempt_id = receiver.assembler->attempt_id();
      const std::uint64_t next = receiver.assembler->next_index();
      send(request, [=, this] {
        // Fails if later acknowledgements arrived first; a later call then resumes the stream.
        (void)senders_.at(attempt_id).buffer.resume_from(next);
      });
    }
    if (queue_.now() < kEnd - 10_s) {
      queue_.after(300_ms, [=, this] { resume_if_stalled(request); });
    }
  }

  std::optional<std::string> find_violation() const {
    if (!limit_kept_) {
      return "a buffer exceeded its limit";
    }
    for (std::uint64_t i = 0; i < kRequests; ++i) {
      const Receiver& receiver = receivers_[i];
      if (!receiver.ended || receiver.answer.size() != receiver.total) {
        return "answer " + std::to_string(i) + " is not complete";
      }
      for (std::uint64_t index = 0; index < receiver.total; ++index) {
        if (receiver.answer[index] != expected_text(receiver, i, index)) {
          return "answer " + std::to_string(i) + " contains an event of another attempt or index";
        }
      }
    }
    return std::nullopt;
  }

  // The event at an index must come from the last attempt that started at or below it.
  static std::string expected_text(const Receiver& receiver, std::uint64_t i, std::uint64_t index) {
    std::uint32_t attempt = 0;
    for (const auto& [number, start] : receiver.attempt_starts) {
      attempt = start <= index ? number : attempt;
    }
    return text_of({{i}, attempt}, index);
  }

  EventQueue queue_;
  Omitted omitted_;
  std::map<StreamAttemptId, Sender> senders_;
  std::vector<Receiver> receivers_;
  bool limit_kept_ = true;
  std::map<std::uint64_t, std::uint64_t> links_;  // Number of the current link of each request.
};

constexpr std::uint64_t kSeeds = 800;

}  // namespace

// Guards against lost, duplicated and misplaced events in an answer.
TEST_CASE("streamed answers are whole under faults", "[streams][model]") {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const auto violation = Simulation(seed, Omitted::kNothing).run();
    INFO("seed " << seed << ": " << violation.value_or(""));
    REQUIRE_FALSE(violation.has_value());
  }
}

// Seeds that failed in the past.
TEST_CASE("stream seeds that failed pass now", "[streams][model]") {
  // The sender deleted its buffer when all events were acknowledged, although the total was lost.
  const std::uint64_t seed = GENERATE(values<std::uint64_t>({101}));
  const auto violation = Simulation(seed, Omitted::kNothing).run();
  INFO("seed " << seed << ": " << violation.value_or(""));
  CHECK_FALSE(violation.has_value());
}

// Guards against a model that does not detect a missing rule.
TEST_CASE("each rule of the streams is needed", "[streams][model]") {
  const Omitted omitted = GENERATE(Omitted::kOrder, Omitted::kDuplicates, Omitted::kOtherAttempt,
                                   Omitted::kTotal, Omitted::kContinuation);
  CAPTURE(static_cast<int>(omitted));
  bool failed = false;
  for (std::uint64_t seed = 0; seed < kSeeds && !failed; ++seed) {
    failed = Simulation(seed, omitted).run().has_value();
  }
  CHECK(failed);
}

}  // namespace bluebellstep
