// What a gateway serves: routes, services and client accounts, as the operator's newest
// configuration has them, and the upstreams that are there.

#ifndef BLUEBELLSTEP_GATEWAY_SERVING_CONFIG_H_
#define BLUEBELLSTEP_GATEWAY_SERVING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "http/http_types.h"

namespace bluebellstep {

/** What may be repeated. */
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,  // Must not run twice.
  kStream,         // Answered by events. Must not run twice, unless its route is resumable.
};

/** A service that takes a part of a route's requests. */
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

/** How requests for one host and path prefix are served. */
struct RouteRule {
  std::string name;
  std::string host;
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  Duration timeout{0};  // A request is answered, if only by a failure, within this time.
  Duration latency_goal{0};
  std::int64_t priority = 0;  // 0 is the most urgent.
  std::vector<WeightedService> targets;
  std::uint32_t max_attempts = 1;  // Upstreams that one request may run on.
  bool allows_anonymous = false;
  bool resumable = false;

  bool may_retry() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStream && resumable);
  }
};

/** A model engine's limits that routing uses. */
struct EngineSpec {
  std::uint32_t slots = 0;
  std::uint64_t kv_capacity_tokens = 0;
  double kv_bytes_per_token = 0;
  double link_bytes_per_ms = 0;  // For transfers of KV cache; 0 if not known.
};

/** A store for KV cache. */
struct CacheStoreSpec {
  Endpoint endpoint;
  std::string zone;
  std::uint64_t capacity_tokens = 0;
  double transfer_setup_ms = 0;  // Each transfer waits this long before it begins.
  double link_bytes_per_ms = 0;  // 0 if not known.
};

/** A service: a pool of upstreams, or a store for KV cache. */
struct ServiceInfo {
  std::string name;
  std::uint32_t max_connections = 0;    // Over all gateways, for each upstream.
  double cold_requests_per_s = 0;       // What a cold upstream bears; 0 for no limit.
  std::optional<EngineSpec> engine;     // Model engines only.
  std::optional<CacheStoreSpec> store;  // Stores only; they serve no route.
};

/** A client account. */
struct ClientAccount {
  std::string name;
  std::optional<std::int64_t> priority;  // Takes precedence over that of the route.
  bool isolated = false;                 // Shares no cached block with other accounts.
};

/** Bounds on what a caller may send. */
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4194304;
  Duration header_timeout{3000};
  Duration idle_timeout{15000};
};

/** One configuration. */
struct ServingConfig {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::unordered_map<std::string, ServiceInfo, StringHash, std::equal_to<>> services;
  std::vector<ClientAccount> accounts;
  std::unordered_map<std::string, std::size_t, StringHash, std::equal_to<>>
      account_index_by_api_key;
  CallerLimits limits;

  /** Whether requests need a key at all. */
  bool has_accounts() const { return !accounts.empty(); }
  /** The route with the longest prefix for the path, or null. */
  const RouteRule* find_route(std::string_view host, std::string_view path) const;
  /** The account of a key, or null. */
  const ClientAccount* find_account(std::string_view key) const;
  const ServiceInfo* find_service(std::string_view name) const;
};

/** An upstream as it registered itself. */
struct UpstreamRegistration {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  std::uint32_t slots = 0;
  bool leaving = false;
  Duration remaining_cold_time{0};
  std::map<std::string, std::uint64_t> weight_versions;  // By model.
  std::int64_t started_ms = 0;  // Unix time; tells starts under the same id apart.
};

/** The weight version that a model should have. */
struct TargetWeights {
  std::string model;
  std::uint64_t version = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_SERVING_CONFIG_H_
