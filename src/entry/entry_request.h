// State of a caller's request at the entry instance, including the answer received so far.

#ifndef BLUEBELLSTEP_ENTRY_ENTRY_REQUEST_H_
#define BLUEBELLSTEP_ENTRY_ENTRY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "base/verdict.h"
#include "entry/caller_api.h"
#include "http/http_server.h"
#include "orders/order_attempts.h"
#include "routing/route_chooser.h"
#include "rpc/peer.capnp.h"
#include "streams/stream_assembler.h"

namespace bluebellstep {

/** Contents of a request. Does not change while the request is in progress. */
struct RequestSpec {
  ExchangeId exchange;
  wire::RequestKind kind = wire::RequestKind::PROMPT;
  std::string account;
  std::string service_class;
  std::string target_name;  // Name of the model or service.
  RouteTarget target;
  std::string weight_version;
  std::optional<std::uint64_t> root_key;  // Prompts of at least one block; see `RouteQuery`.
  std::string body;                       // Prompt text, or request body of a plain call.
  std::string content_type;
  std::uint32_t max_tokens = 0;
  std::int32_t priority = 0;
  std::string idempotency_key;
  std::string owner;  // Orders: name of the upstream that owns the idempotency key.
  std::string method;
  std::string path;
  bool stream = false;  // Whether the caller requested server-sent events.
  Instant arrived_at;
  Instant deadline;
};

/** The request is not at any upstream and is sent again at `at`. */
struct WaitingToRetry {
  Instant at;
};

/** The request was sent to an upstream's sidecar, which has neither accepted nor refused it yet. */
struct Submitting {
  UpstreamId upstream;
  Instant since;
};

/** An upstream's sidecar has accepted the request. */
struct Running {
  UpstreamId upstream;
};

/** The connection to the sidecar was lost after the request was sent; the request may still be
 * running there. */
struct Detached {
  UpstreamId upstream;
  Instant since;
};

using RequestPhase = std::variant<WaitingToRetry, Submitting, Running, Detached>;

/** A request in progress. */
struct EntryRequest {
  RequestId id;
  RequestSpec spec;
  CompletionWriter writer;
  RequestPhase phase = WaitingToRetry{};
  std::uint32_t attempt = 0;  // Number of the current attempt; 0 before the first one.
  std::vector<UpstreamId> excluded_upstreams;  // Upstreams that refused the request, or whose
                                               // connection was lost, since the last retry delay.
  std::optional<Verdict> last_refusal;
  OrderAttempts attempts;  // Tracked for all kinds of requests: the caller gets the run state "not
                           // run" only if no attempt may have run.
  StreamAssembler assembler;
  std::string text;                      // Text of the answer received so far.
  bool response_stream_started = false;  // Whether the head of the event stream was sent.
  std::optional<Instant> first_token_at;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_ENTRY_REQUEST_H_
