// Requests and responses of the data path, decoded into fields.

#ifndef BLUEBELLSTEP_GATEWAY_CALL_HEADS_H_
#define BLUEBELLSTEP_GATEWAY_CALL_HEADS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "http/http_types.h"

namespace bluebellstep {

/** A part of a prompt; requests with the same part id share its tokens. */
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/** What a caller's request says of itself. Views point into its head. */
struct CallerHead {
  std::string_view method;
  std::string_view host;
  std::string_view path;  // Without the query.
  std::string_view request_id;
  std::string_view key;  // Names the client account.
  std::string_view model;
  std::optional<Duration> time_left;
  std::optional<std::uint64_t> last_event_id;  // The caller has events up to this one.
  std::vector<PromptPart> prompt;
  std::uint32_t prompt_tokens = 0;
  bool close = false;  // The caller wants the connection closed after the response.
};

/** What a gateway sets on a request to an upstream. Unset fields are left out. */
struct UpstreamFields {
  std::string_view upstream_id;  // Any other upstream refuses the request.
  std::string_view account;
  Duration time_left{0};
  std::string_view cache_namespace;  // Cached blocks are found only under the same scope.
  std::optional<std::uint64_t> weight_version;  // Other weights refuse the request.
  std::optional<int> priority;                  // 0 is the most urgent, 9 the least.
  std::optional<std::uint64_t> resume_after;    // Replaces the caller's last event id.

  // For each part of the prompt, where the upstream fetches it from and saves it to, if anywhere.
  std::span<const std::optional<Endpoint>> cache_fetch;
  std::span<const std::optional<Endpoint>> cache_save;
  std::optional<std::int64_t> cache_fetch_until_ms;  // On the upstreams' clock.
};

/** Load of an upstream at the time of a response. */
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/** What an upstream's response says of itself. */
struct UpstreamReply {
  int status = 0;
  bool not_run = false;          // The upstream states that it did not run the request.
  bool sealed = false;           // The response is signed by the upstream.
  bool encoded = false;          // The body has a content encoding, so it is not the upstream's.
  std::string_view request_id;   // Empty if there is none.
  std::string_view upstream_id;  // Empty if the upstream does not name itself.
  std::optional<ReportedLoad> load;
  std::optional<std::uint64_t> weight_version;
  bool close = false;                  // The upstream closes the connection after the response.
  std::optional<Duration> keep_alive;  // How long an idle connection stays open.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CALL_HEADS_H_
