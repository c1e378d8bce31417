// Delivery of one answer to the entry instance that asked for it, over connections that may be lost
// and replaced.

#ifndef BLUEBELLSTEP_SIDECAR_ANSWER_OUTBOX_H_
#define BLUEBELLSTEP_SIDECAR_ANSWER_OUTBOX_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/verdict.h"
#include "rpc/peer.capnp.h"
#include "rpc/rpc_loop.h"
#include "streams/stream_buffer.h"

namespace bluebellstep {

/** Closing data of an answer. */
struct AnswerSummary {
  std::uint16_t status = 200;  // Plain calls: HTTP status of the upstream.
  std::string content_type;    // Plain calls.
  std::string finish_reason;   // Prompts.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t reused_blocks = 0;
  std::uint32_t fetched_blocks = 0;
  std::uint32_t recomputed_blocks = 0;
  bool replayed = false;  // Orders: the answer of an earlier request with the same key.
};

/** How a run ended. */
using RunResult = std::variant<AnswerSummary, Verdict>;

/**
 * Keeps the events of one answer until the entry instance has acknowledged them, and sends them to
 * its sink: all that wait in one batch, with at most `kMaxPushesInFlight` batches on the way. Lives
 * on the control thread.
 */
class AnswerOutbox {
 public:
  /** A sink gets the next batch before the last one is acknowledged, so that the link's round trip
   * does not limit it. */
  static constexpr std::size_t kMaxPushesInFlight = 2;

  /** Size of one batch, about. */
  static constexpr std::size_t kBatchBytes = 64 << 10;

  /** `first_index` is the index of the first event. */
  AnswerOutbox(RpcLoop& loop, std::uint64_t first_index);
  AnswerOutbox(AnswerOutbox&&) = default;
  ~AnswerOutbox();

  /** Sends events from `next_index` on to `sink`, which replaces the former one. Earlier events
   * count as acknowledged. Returns false if they are not kept any more. */
  bool attach(wire::AnswerSink::Client sink, std::uint64_t next_index);

  /** Adds the next event. */
  void add(std::string text);

  /** Ends the answer. Called once. */
  void finish(RunResult result);

  bool is_finished() const;

  /** Whether the entry instance has the whole answer. */
  bool is_delivered() const;

  /** Since when there is no sink; nothing while there is one. */
  std::optional<Instant> detached_since() const;

  /** Number of events added so far. */
  std::uint64_t event_count() const;

 private:
  struct State;

  static void send_pending(const std::shared_ptr<State>& state);
  static void push_batch(const std::shared_ptr<State>& state, EventRange range);
  static void send_finish(const std::shared_ptr<State>& state);
  static void detach_sink(const std::shared_ptr<State>& state, std::uint64_t sink_number);

  // Shared with calls on the way, which may outlive the outbox.
  std::shared_ptr<State> state_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_ANSWER_OUTBOX_H_
