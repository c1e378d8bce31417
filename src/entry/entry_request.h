// A caller's request at the entry instance, and the answer that is collected for it.

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

/** What a caller asked for. Does not change while the request runs. */
struct RequestSpec {
  ExchangeId exchange;
  wire::RequestKind kind = wire::RequestKind::PROMPT;
  std::string account;
  std::string service_class;
  std::string target_name;  // Model or service.
  RouteTarget target;
  std::string weight_version;
  std::optional<std::uint64_t> root_key;  // Prompts with a whole block; see `RouteQuery`.
  std::string body;                       // Prompt text, or body of a plain call.
  std::string content_type;
  std::uint32_t max_tokens = 0;
  std::int32_t priority = 0;
  std::string idempotency_key;
  std::string owner;  // Name of the upstream that owns an order's key.
  std::string method;
  std::string path;
  bool stream = false;
  Instant arrived_at;
  Instant deadline;
};

/** The request waits for the right time to be sent again. */
struct WaitingToRetry {
  Instant at;
};

/** It was sent to an upstream's sidecar, which has not accepted or refused it yet. */
struct Submitting {
  UpstreamId upstream;
  Instant since;
};

/** An upstream's sidecar runs it. */
struct Running {
  UpstreamId upstream;
};

/** The link to its sidecar is lost. */
struct Detached {
  UpstreamId upstream;
  Instant since;
};

using RequestPhase = std::variant<WaitingToRetry, Submitting, Running, Detached>;

/** A request and its progress. */
struct EntryRequest {
  RequestId id;
  RequestSpec spec;
  CompletionWriter writer;
  RequestPhase phase = WaitingToRetry{};
  std::uint32_t attempt = 0;
  std::vector<UpstreamId> excluded_upstreams;  // Refused this request since the last pause.
  std::optional<Verdict> last_refusal;
  OrderAttempts
      attempts;  // Of requests of every kind: no refusal says "not run" while one is open.
  StreamAssembler assembler;
  std::string text;                      // The answer so far.
  bool response_stream_started = false;  // The response head of a stream is out.
  std::optional<Instant> first_token_at;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_ENTRY_REQUEST_H_
