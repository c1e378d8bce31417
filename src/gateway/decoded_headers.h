// Header fields of requests and responses on the data path, decoded from the platform's format.

#ifndef BLUEBELLSTEP_GATEWAY_DECODED_HEADERS_H_
#define BLUEBELLSTEP_GATEWAY_DECODED_HEADERS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "http/http_types.h"

namespace bluebellstep {

/** A segment of a prompt. Segments with the same id have the same tokens in all requests. */
struct PromptSegment {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/** Decoded head of a caller's request. Views point into the `MessageHead` it was decoded from. */
struct CallerRequestHead {
  std::string_view method;
  std::string_view host;  // Without the port.
  std::string_view path;  // Without the query.
  std::string_view request_id;
  std::string_view api_key;  // Identifies the client account.
  std::string_view model;
  std::optional<Duration> time_left;           // Until the caller's deadline, on arrival.
  std::optional<std::uint64_t> last_event_id;  // The caller has all events up to this one.
  // The request id under which the caller got the first event of a stream that it wants continued.
  std::string_view resumes;
  std::vector<PromptSegment> prompt;
  std::uint32_t prompt_tokens = 0;
  bool close = false;  // The caller asked to close the connection after the response.
};

/** Header fields that a gateway sets on a request to an upstream. Unset fields are omitted. */
struct UpstreamRequestFields {
  std::string_view upstream_id;  // An upstream with another id rejects the request.
  std::string_view account;
  Duration time_left{0};             // Until the deadline of the request.
  std::string_view cache_namespace;  // Cached blocks are shared only within one namespace.
  std::optional<std::uint64_t> weight_version;  // An engine with other weights rejects the request.
  std::optional<int> priority;                  // From 0, the most urgent, to 9.
  std::optional<std::uint64_t> resume_after;    // Replaces the caller's last event id.

  // For each prompt segment, the cache node from which the upstream fetches it and the one to which
  // it saves it; unset for none.
  std::span<const std::optional<Endpoint>> cache_fetch_endpoints;
  std::span<const std::optional<Endpoint>> cache_save_endpoints;
  std::optional<std::int64_t> cache_fetch_deadline_ms;  // On the clock of the cache nodes.
};

/** Load of an upstream at the time of a response, in requests. */
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;  // Requests that can run at the same time.
  // How long work takes on the upstream's machine at that time; 100 is usual. Not all report it.
  std::optional<double> work_time_percent;
};

/** Decoded head of an upstream's response. Views point into the `MessageHead` it was decoded from.
 */
struct UpstreamResponseHead {
  int status = 0;
  bool not_run = false;               // The upstream states that it did not run the request.
  bool has_seal = false;              // The response is signed by the upstream.
  bool has_content_encoding = false;  // The body is not the upstream's; upstreams encode none.
  std::string_view request_id;        // Empty if the response has none.
  std::string_view upstream_id;       // Empty if the response has none.
  std::optional<ReportedLoad> load;
  std::optional<std::uint64_t> weight_version;
  bool close = false;                  // The upstream closes the connection after the response.
  std::optional<Duration> keep_alive;  // Time for which the upstream keeps an idle connection open.
  bool leaving = false;                // The upstream states that it is about to leave.
  // The upstream, which has no capacity, wants no request from this gateway for this time.
  std::optional<Duration> hold_off;
  std::optional<std::uint64_t> body_length;  // Unset if it is not known in advance.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_DECODED_HEADERS_H_
