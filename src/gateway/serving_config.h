// The configuration that a gateway serves (routes, services, client accounts), the registrations of
// upstreams and the target weight versions, decoded from the objects in the platform's store.

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
#include "cache_isolation/cache_namespaces.h"
#include "http/http_types.h"

namespace bluebellstep {

/** How a route's requests are answered, and whether they may be retried. */
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,  // Must run at most once.
  kStream,  // Answered by a stream of events. Must run at most once unless the route is resumable.
};

/** A service and its share of a route's requests: `weight` relative to the sum of all weights. */
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

/** How requests to one host and path prefix are served. */
struct RouteRule {
  std::string name;
  std::string host;
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  Duration timeout{0};  // Limit from the arrival of a request to the end of its answer.
  // Idempotent requests are retried after a multiple of this time without progress.
  Duration latency_goal{0};
  // Streams: callers abandon a stream after this time without an event, also before the first one.
  Duration stream_patience{2000};
  std::int64_t priority = 0;  // 0 is the most urgent.
  std::vector<WeightedService> targets;
  std::uint32_t max_attempts = 1;  // Upstreams that one request may run on.
  bool allows_anonymous = false;   // Requests need no API key.
  // Another upstream may continue a broken stream from the id of its last event.
  bool resumable = false;

  /** Whether a request that an upstream may have run may be sent to another upstream. */
  bool may_retry() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStream && resumable);
  }
};

/** Capacity of each model engine of a service. */
struct EngineSpec {
  std::uint32_t slots = 0;  // Requests that run at the same time.
  std::uint64_t kv_capacity_tokens = 0;
  double kv_bytes_per_token = 0;
  double link_bytes_per_ms = 0;  // For transfers of KV cache; 0 if not known.
};

/** A store for KV cache blocks. */
struct CacheStoreSpec {
  Endpoint endpoint;
  std::string zone;
  std::uint64_t capacity_tokens = 0;
  double transfer_setup_ms = 0;  // Delay before the first byte of each transfer.
  double link_bytes_per_ms = 0;  // 0 if not known.
};

/** A service: a pool of upstreams, or a store for KV cache blocks. */
struct ServiceInfo {
  std::string name;
  std::uint32_t max_connections = 0;  // To each upstream, summed over all gateways.
  double cold_requests_per_s = 0;     // Capacity of a cold upstream; 0 for no limit.
  Duration cold_time{3000};           // For which an upstream stays cold.
  std::optional<EngineSpec> engine;   // Model engines only.
  // Of the most urgent requests to the service; set by `ServingConfig::set_urgent_goals`.
  std::int64_t urgent_priority = 0;
  Duration urgent_latency_goal{0};
  std::optional<CacheStoreSpec> store;  // Cache stores only; they serve no route.
};

/** A client account. */
struct ClientAccount {
  std::string name;
  std::optional<std::int64_t> priority;  // Overrides the priority of the route.
  bool isolated = false;                 // Shares no cache blocks with other accounts.
};

/** The priority of an account's requests to a route. `account` is null for anonymous requests. */
inline std::int64_t request_priority(const RouteRule& route, const ClientAccount* account) {
  return account != nullptr && account->priority ? *account->priority : route.priority;
}

/** Limits on the requests and connections of callers. */
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4194304;
  Duration header_timeout{3000};
  Duration idle_timeout{15000};
};

/** One version of the operator's configuration. */
struct ServingConfig {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::unordered_map<std::string, ServiceInfo, StringHash, std::equal_to<>> services;
  // Whether the configuration has a list of accounts. With a list, even an empty one, requests to
  // routes that do not allow anonymous requests need an API key; without one, no request does.
  bool lists_accounts = false;
  std::vector<ClientAccount> accounts;  // Empty unless `lists_accounts`.
  std::unordered_map<std::string, std::size_t, StringHash, std::equal_to<>>
      account_index_by_api_key;
  CallerLimits limits;

  /** Whether requests to the route need the API key of an account. */
  bool requires_api_key(const RouteRule& route) const {
    return lists_accounts && !route.allows_anonymous;
  }
  /** Derives the goals of the most urgent requests to each service from the priorities that
   * requests of the accounts can have. Call once the routes, services and accounts are complete. */
  void set_urgent_goals();
  /** Returns the route of `host` with the longest matching path prefix, or null. */
  const RouteRule* find_route(std::string_view host, std::string_view path) const;
  /** Returns the account that the API key belongs to, or null. */
  const ClientAccount* find_account(std::string_view api_key) const;
  /** Returns the service with the name, or null. */
  const ServiceInfo* find_service(std::string_view name) const;
  /** Returns the names of the isolated accounts. */
  IsolatedAccounts isolated_accounts() const;

 private:
  // The priorities of the accounts that have a key. Others send no requests.
  struct AccountPriorities {
    std::optional<std::int64_t> most_urgent;  // Of those that have one.
    bool some_use_the_routes = false;         // Some accounts have none.
  };
  AccountPriorities account_priorities() const;
  // The most urgent priority that a request to the route can have.
  std::int64_t most_urgent_priority(const RouteRule& route,
                                    const AccountPriorities& priorities) const;
};

/** A zone that had been out of service and was back `ago`. */
struct ReturnedZone {
  std::string zone;
  Duration ago{0};
};

/** An upstream's registration in the platform's store, written by the upstream. */
struct UpstreamRegistration {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  std::uint32_t slots = 0;  // Requests that run at the same time.
  bool leaving = false;
  Duration remaining_cold_time{0};                       // As of the registration.
  std::map<std::string, std::uint64_t> weight_versions;  // Loaded version, by model.
  std::int64_t started_ms = 0;   // Unix time in ms; distinguishes restarts under the same id.
  std::string software_version;  // Empty if the registration does not tell it.
};

/** The weight version that all engines of a model should have loaded. */
struct TargetWeights {
  std::string model;
  std::uint64_t version = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_SERVING_CONFIG_H_
