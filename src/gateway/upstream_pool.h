// The upstreams that a gateway knows, what it sends them, and its choice among them.

#ifndef BLUEBELLSTEP_GATEWAY_UPSTREAM_POOL_H_
#define BLUEBELLSTEP_GATEWAY_UPSTREAM_POOL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "gateway/cache_directory.h"
#include "gateway/call_heads.h"
#include "gateway/load_board.h"
#include "gateway/serving_config.h"
#include "gateway/upstream_health.h"

namespace bluebellstep {

/** Bounds that hold over all gateways together. */
struct PoolLimits {
  double cold_overage = 1.5;       // A cold upstream may get this multiple of what it bears,
  double cold_slack = 5;           // plus this many requests, each second.
  Duration version_limit{10'000};  // Requests must not begin on older weights after this time.
  // A gateway that has just started may use older weights this long. It does not know when the
  // newer ones were named, and requests may wait for seconds in an engine's queue before they
  // begin.
  Duration start_grace{500};
  Duration lapse_grace{2500};  // Entries that lapsed in a store outage are back within this time.
};

/** What is asked of the pool. */
struct PickQuery {
  const ServiceInfo* service = nullptr;
  std::string_view zone;   // Of this gateway.
  std::string_view model;  // Empty for plain services.
  const ClientAccount* account = nullptr;
  std::span<const PromptPart> prompt;
  std::uint32_t prompt_tokens = 0;
  std::size_t body_bytes = 0;
  bool may_retry = false;                 // The request may be sent again if it fails.
  std::uint64_t spread = 0;               // Differs between requests; orders equal upstreams.
  std::span<const std::string> excluded;  // Ids of upstreams that were tried.
};

/** The chosen upstream. */
struct Picked {
  std::string upstream_id;
  Endpoint endpoint;
  std::optional<std::uint64_t> weight_version;
  double expected_ms = 0;  // Wait before the answer begins, as estimated for the choice.
  std::uint32_t uncached_tokens = 0;
  std::uint32_t held_tokens = 0;  // That the engine should hold.
  std::string cache_scope;        // Cached parts are found only under the same scope. Engines only.
  CachePlan cache;
};

/** No upstream may get the request now. */
struct NonePicked {
  Duration retry_after{0};
  std::string_view reason;
};
using PickResult = std::variant<Picked, NonePicked>;

/** How a send ended, for the judgement of the upstream. */
enum class SendEnd {
  kAnswered,
  kError,       // Answered with an error of the upstream's own.
  kRejected,    // Not run: full, or not the expected upstream.
  kFailed,      // Broken, late or unusable.
  kNotReached,  // No connection.
  kDropped,     // The caller left; says nothing of the upstream.
};

/** State of all upstreams. Times are those of one monotonic clock. */
class UpstreamPool {
 public:
  UpstreamPool(PoolLimits limits, CacheDirectory& cache, const LoadBoard& board)
      : limits_(limits), cache_(cache), board_(board) {}

  void set_limits(const PoolLimits& limits) { limits_ = limits; }

  // What the store says.
  void put(UpstreamRegistration entry, Instant now);
  void remove(std::string_view id, Instant now);
  /** Replaces all entries after a list; those that are missing are removed. */
  void replace_all(std::vector<UpstreamRegistration> entries, Instant now);
  void set_zones_out(std::set<std::string, std::less<>> zones) { zones_out_ = std::move(zones); }
  /** `named_before` says that the version was named at an unknown time before this gateway
   * started. */
  void set_wanted_weights(const TargetWeights& wanted, bool named_before, Instant now);
  /** Reports whether the store answers. Entries that vanish around an outage are kept for a while:
   * the store lets them lapse, and live upstreams register again. */
  void note_store(bool reachable, Instant now);
  /** Drops the entries whose grace after an outage is over. */
  void drop_lapsed(Instant now);
  void set_gateways(std::size_t count) { gateways_ = count < 1 ? 1 : count; }
  std::size_t gateways() const { return gateways_; }

  PickResult pick(const PickQuery& query, Instant now);

  /** Sets what is called with the tokens to read of each prompt that is sent. */
  void on_prompt_sent(std::function<void(std::uint32_t uncached_tokens)> callback) {
    prompt_sent_ = std::move(callback);
  }

  /** Counts a request that is sent to an upstream, until `finished`. */
  void sent(const Picked& picked, const PickQuery& query, Instant now);
  /** The prompt of a request has been read, or its send has ended. */
  void prompt_read(const Picked& picked);
  /** The answer of a request that was sent `elapsed` ago began. */
  void answer_began(const Picked& picked, Duration elapsed, Instant now);
  /** `held_tokens` are the prompt tokens of the request. */
  void finished(std::string_view id, std::uint32_t held_tokens, SendEnd end, Instant now);
  void reported_load(std::string_view id, const ReportedLoad& load, Instant now);
  /** An upstream showed that its weights have this version. */
  void reported_version(std::string_view id, std::string_view model, std::uint64_t version);
  /** The upstream at this address is another one (`replaced`), or has other weights. */
  void misdirected(std::string_view id, bool replaced, Instant now);

  /** Engines whose weights are not the wanted ones. */
  struct Outdated {
    std::string id;
    Endpoint endpoint;
    std::string model;
    std::uint64_t current_version = 0;
    std::uint64_t wanted_version = 0;
    std::size_t load = 0;
  };
  std::vector<Outdated> outdated(std::size_t& engines) const;

  /** Notes which versions all engines have; call after changes. */
  void note_rollouts(Instant now);
  /** A version that all engines have had for `kSettleTime`, by model. Parts of older ones in stores
   * are of no use, and no gateway fetches them any more. */
  static constexpr Duration kSettleTime{4000};
  std::map<std::string, std::uint64_t> settled_versions(Instant now) const;

  /** Connections that this gateway may hold to one upstream of a service. */
  std::size_t connection_share(const ServiceInfo& service) const;

  /** What this gateway has in flight and how much it sends, for the others. */
  LoadReport load_report(Instant now);

  /** Calls `visit(const UpstreamRegistration&)` for each upstream. */
  template <typename Visitor>
  void visit_entries(Visitor visit) const {
    for (const auto& [id, upstream] : upstreams_) {
      visit(upstream.entry);
    }
  }

  std::size_t size() const { return upstreams_.size(); }
  bool contains(std::string_view id) const { return upstreams_.find(id) != upstreams_.end(); }

 private:
  struct Upstream {
    UpstreamRegistration entry;
    std::uint64_t id_hash = 0;
    Instant cold_until;
    std::optional<Instant> lapsed_until;  // Gone from the store; kept until then.
    InFlight in_flight;                   // Of this gateway.
    ReportedLoad load;
    Instant load_at;
    UpstreamHealth health;
    Instant shunned_until;             // Full, not reached, or another one at its address.
    std::deque<Instant> recent_sends;  // Within the last second.
  };

  struct Wanted {
    std::uint64_t version = 0;
    Instant since;
  };

  // Versions that were named for a model, oldest first. Each bounds the use of older ones from its
  // own naming on.
  using WantedVersions = std::vector<Wanted>;

  bool is_cold(const Upstream& upstream, Instant now) const;
  bool has_room(Upstream& upstream,
                const ServiceInfo& service,
                double traffic_share,
                Instant now) const;
  double traffic_share(Instant now);
  bool is_usable(Upstream& upstream, const PickQuery& query, Instant now) const;
  bool may_get(const Upstream& upstream, const PickQuery& query, Instant now) const;
  // Parts of a query's prompt that can be fetched, by the weight version of their scope.
  struct PromptKnowledge {
    std::string scope;
    CacheDirectory::StoreUse stores;
    CacheDirectory::Holders holders;
  };
  using KnowledgeByVersion = std::map<std::uint64_t, PromptKnowledge>;

  static double spread_ms(const Upstream& upstream, const PickQuery& query);
  double score(const Upstream& upstream,
               const PickQuery& query,
               std::size_t rank,
               KnowledgeByVersion& knowledge,
               Instant now) const;
  const PromptKnowledge& knowledge_of(const Upstream& upstream,
                                      const PickQuery& query,
                                      KnowledgeByVersion& knowledge,
                                      Instant now) const;
  double wait_ms(const Upstream& upstream, const PickQuery& query, Instant now) const;
  std::optional<std::uint64_t> version_of(const Upstream& upstream, std::string_view model) const;
  bool has_older_weights(const Upstream& upstream) const;
  std::uint64_t newest_wanted(std::string_view model) const;
  bool is_outdated(std::uint64_t version, std::string_view model, Instant now) const;

  PoolLimits limits_;
  CacheDirectory& cache_;
  const LoadBoard& board_;
  std::map<std::string, Upstream, std::less<>> upstreams_;
  std::set<std::string, std::less<>> zones_out_;
  std::map<std::string, WantedVersions, std::less<>> wanted_;  // Never empty lists.
  struct Rollout {
    std::uint64_t oldest = 0;    // Of all engines, when last seen.
    std::uint64_t complete = 0;  // Newest version that all engines were seen to get.
    Instant complete_since;
    bool outdated_now = false;  // An engine has an older version again.
  };
  std::map<std::string, Rollout, std::less<>> rollouts_;  // By model.
  std::function<void(std::uint32_t)> prompt_sent_;
  std::deque<Instant> recent_sends_;  // To all upstreams, within the last second.
  std::size_t gateways_ = 1;
  std::optional<Instant> unreachable_since_;
  std::optional<Instant> reachable_since_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_UPSTREAM_POOL_H_
