// State of one request at a sidecar, from its arrival until its answer is delivered.

#ifndef BLUEBELLSTEP_SIDECAR_RUN_H_
#define BLUEBELLSTEP_SIDECAR_RUN_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "admission/admission_controller.h"
#include "base/clock.h"
#include "base/id.h"
#include "cache/block_key.h"
#include "fairness/cost.h"
#include "http/http_client.h"
#include "orders/opaque_claim.h"
#include "orders/order_key.h"
#include "orders/order_ledger.h"
#include "rpc/peer.capnp.h"
#include "sidecar/answer_outbox.h"

namespace bluebellstep {

/** Identifies one attempt of a request of an entry instance. */
struct AttemptKey {
  std::uint64_t entry_incarnation = 0;
  std::uint64_t request_id = 0;
  std::uint32_t attempt = 0;

  auto operator<=>(const AttemptKey&) const = default;
};

/** Contents of the request. Does not change during the run. */
struct RunSpec {
  AttemptKey key;
  wire::RequestKind kind = wire::RequestKind::PROMPT;
  std::string account;
  std::string service_class;
  std::string target;  // Name of the model or service.
  std::string weight_version;
  std::string body;
  std::uint32_t max_tokens = 0;
  std::int32_t priority = 0;
  std::string idempotency_key;
  std::string method;
  std::string path;
  std::string content_type;
  std::string resume_text;
  std::uint64_t first_index = 0;
  Instant arrived_at;
  Instant deadline;
};

/** Progress of a prompt. */
struct PromptProgress {
  std::vector<BlockKey> blocks;    // Keys of all blocks of the prompt.
  std::uint32_t known_blocks = 0;  // Leading blocks expected in the engine's cache.
  std::uint32_t fetched_blocks = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t reused_blocks = 0;      // As reported by the engine; includes fetched blocks.
  std::uint32_t recomputed_blocks = 0;  // As reported by the engine.
  Duration predicted_first_token;
  Instant dispatched_at;
  Instant last_event_at;
  std::uint64_t next_index = 0;  // Index of the next token from the engine.
  bool first_token_received = false;
  std::optional<std::string> finish_reason;
  std::uint32_t resume_count = 0;  // Number of times that the stream was reopened.
  std::string engine_request_id;
};

/** Progress of an order. */
struct OrderProgress {
  std::optional<OrderKey> key;
  std::optional<ClaimId> claim;  // The claim that this run holds or has joined.
  bool holds_claim = false;
  std::shared_ptr<OpaqueClaim> opaque_claim;  // For opaque keys; shared with callbacks.
};

/** Phase of a run. */
enum class RunPhase : std::uint8_t {
  kClaiming,    // Waiting for the claim of an opaque key in the platform.
  kQueued,      // Waiting for admission.
  kPreparing,   // Admitted; blocks are being fetched into the engine's cache.
  kDispatched,  // Sent to the upstream.
  kJoined,      // Waiting for the outcome of another run with the same idempotency key.
  kFinished,    // The result is in the outbox.
};

/** A request in progress, or one whose answer is not delivered yet. */
struct Run {
  RequestId id;  // Unique within the sidecar.
  RunSpec spec;
  AnswerOutbox outbox;
  RunPhase phase = RunPhase::kQueued;
  std::optional<SlotId> slot;  // Set while the run is admitted.
  Cost estimated_cost;
  bool within_share = false;  // Whether the account was within its share when the request arrived;
                              // the engine runs such requests with a higher priority.
  std::optional<HttpCallId> call;  // The open call to the upstream, if any.
  Instant finished_at;
  PromptProgress prompt;
  OrderProgress order;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_RUN_H_
