// Delivery of one answer to the entry instance that requested it. The connection may be lost and
// replaced during the delivery.

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

/** Result of a run that produced an answer; sent after the last event. */
struct AnswerSummary {
  std::uint16_t status = 200;  // Plain calls: HTTP status from the service.
  std::string content_type;    // Plain calls.
  std::string finish_reason;   // Prompts.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t reused_blocks = 0;
  std::uint32_t fetched_blocks = 0;
  std::uint32_t recomputed_blocks = 0;
  bool replayed = false;  // Orders: whether the answer is that of an earlier request with the same
                          // idempotency key.
};

/** Result of a run: the summary of its answer, or why there is none. */
using RunResult = std::variant<AnswerSummary, Verdict>;

/**
 * Buffers the events of one answer until the entry instance has acknowledged them, and sends them
 * to its answer sink. All unsent events are combined into batches, with at most
 * `kMaxPushesInFlight` batches in flight. Lives on the control thread.
 */
class AnswerOutbox {
 public:
  /** Maximum number of batches sent but not acknowledged. More than one, so that the throughput is
   * not limited by the round-trip time. */
  static constexpr std::size_t kMaxPushesInFlight = 2;

  /** Approximate maximum size of a batch in bytes. */
  static constexpr std::size_t kBatchBytes = 64 << 10;

  /** `first_index` is the index of the first event that will be added. */
  AnswerOutbox(RpcLoop& loop, std::uint64_t first_index);
  AnswerOutbox(AnswerOutbox&&) = default;
  ~AnswerOutbox();

  /** Starts to send events from `next_index` on to `sink`, which replaces any previous sink.
   * Earlier events count as acknowledged. Returns false and has no effect if events from
   * `next_index` on are no longer available. */
  bool attach(wire::AnswerSink::Client sink, std::uint64_t next_index);

  /** Adds the next event. Must not be called after `finish`. */
  void add(std::string text);

  /** Completes the answer. Must be called only once. */
  void finish(RunResult result);

  /** Whether `finish` was called. */
  bool is_finished() const;

  /** Whether the entry instance has acknowledged all events and the result. */
  bool is_delivered() const;

  /** Returns the time since which there is no sink; nothing while there is one. */
  std::optional<Instant> detached_since() const;

  /** Returns the number of events added so far. */
  std::uint64_t event_count() const;

 private:
  struct State;

  static void send_pending(const std::shared_ptr<State>& state);
  static void push_batch(const std::shared_ptr<State>& state, EventRange range);
  static void send_finish(const std::shared_ptr<State>& state);
  static void detach_sink(const std::shared_ptr<State>& state, std::uint64_t sink_number);

  // Shared with the callbacks of calls in flight, which may outlive this object.
  std::shared_ptr<State> state_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_ANSWER_OUTBOX_H_
