// Directory of the engines and stores that hold cached prompt segments.
//
// Load pattern: long prompts return after gaps, when the engine that prefilled them has evicted
// them or is busy. Prefilling a shared segment again costs far more than transferring its KV cache.
// Therefore each request names a cache node for every segment that its engine does not hold, and a
// store in which to save the segments that no store has yet.
//
// Stores do not verify segments, so a fetch could read a segment that is still being written.
// Therefore a segment is fetched only after an event has reported it complete, and the known state
// of a store is valid only for a short time. After a restart of a store, nothing is saved to it
// until the state from before the restart has expired at all gateways.

#ifndef BLUEBELLSTEP_GATEWAY_CACHE_DIRECTORY_H_
#define BLUEBELLSTEP_GATEWAY_CACHE_DIRECTORY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "gateway/decoded_headers.h"
#include "gateway/load_aggregator.h"
#include "http/http_types.h"

namespace bluebellstep {

/** An engine or a store that holds cached segments. */
struct CacheNode {
  std::string name;  // Id of the engine's registration, or name of the store's service.
  Endpoint endpoint;
  std::string zone;
  bool is_store = false;
  std::uint64_t capacity_tokens = 0;  // Stores only.
  std::int64_t started_ms = 0;        // Engines only. A restarted engine holds nothing.
  double transfer_setup_ms = 0;       // Delay before the first byte of each transfer.
  double tokens_per_ms = 350;         // Transfer rate within a zone.
};

/** A change of one segment at a cache node. */
struct SegmentEvent {
  std::string cache_namespace;  // See `CacheNamespaces`.
  std::uint64_t segment = 0;    // Segment id.
  std::uint32_t tokens = 0;     // Tokens stored now; 0 if the segment was removed.
};

/** The answer of a cache node to a poll. */
struct CachePollResult {
  std::uint64_t epoch = 0;    // Changes when the node is restarted.
  std::uint64_t next = 0;     // Event number from which to continue.
  bool events_lost = false;   // Events before these are missing.
  std::int64_t clock_ms = 0;  // The node's clock.
  std::vector<SegmentEvent> events;
};

/** The cache instructions of a request. The vectors have one element for each prompt segment; an
 * unset endpoint means no fetch or no save. */
struct CachePlan {
  std::vector<std::optional<Endpoint>> fetch_endpoints;
  std::vector<std::optional<Endpoint>> save_endpoints;
  // Deadline for fetches from stores, on the clock of the cache nodes.
  std::optional<std::int64_t> fetch_deadline_ms;
  std::uint32_t fetched_tokens = 0;  // Tokens of the segments that the engine lacks and fetches.
  double fetch_ms = 0;               // Time until these segments have arrived at the engine.
  // Transfer time of each segment that the engine lacks, 0 for the others; see `record_sent`.
  std::vector<std::uint32_t> transfer_ms;

  bool fetches() const { return fetched_tokens > 0; }
  bool saves() const;
};

/** Tracks the segments of each cache node by its events, and plans the fetches and saves of
 * requests.
 *
 * All times of type `Instant` are read from one monotonic clock.
 */
class CacheDirectory {
 public:
  /** @param load_aggregator  Provides the load caused by fetches of the other gateways. */
  explicit CacheDirectory(const LoadAggregator& load_aggregator)
      : load_aggregator_(load_aggregator) {}

  /** The known state of a store is valid for this time after the last poll. */
  static constexpr Duration kStoreStateValidity{1500};
  /** Fetches from a store must end within this time after the poll that the plan is based on. */
  static constexpr Duration kFetchDeadline{3000};
  /** Nothing is saved to a store for this time after its restart. Longer than `kFetchDeadline`, so
   * that no fetch that is based on the state before the restart can read a new segment. */
  static constexpr Duration kSaveDelayAfterRestart{4000};
  /** A segment that was sent to an engine or a store is expected to be there for this time if no
   * event reports it. */
  static constexpr Duration kExpectedSegmentValidity{1500};
  /** Stores are filled up to this share. The rest covers saves in progress by other gateways. */
  static constexpr double kStoreFillLimit = 0.95;
  /** Weight of the newest delay in the moving average of a node. */
  static constexpr double kFetchDelayWeight = 0.25;
  /** Half-life of the average delay without new samples, so that the node is tried again. */
  static constexpr Duration kFetchDelayHalfLife{1000};
  /** A segment is fetched if this is expected to take less than `kShortFetchMs`, or less than
   * `kPrefillCostFactor` times the time to prefill it again. The factor is above 1 because prefill
   * is also charged. */
  static constexpr double kShortFetchMs = 40;
  static constexpr double kPrefillCostFactor = 4;
  /** Transfers between zones take longer by this factor. */
  static constexpr double kOtherZoneFactor = 2;
  /** Share of an engine's segments that are evicted before a fetch, because events arrive late. */
  static constexpr double kEvictedShare = 0.25;
  /** Nodes whose costs differ by less than this count as equal, and each request orders them
   * differently. */
  static constexpr double kNodeTieBreakMs = 2;
  /** A segment is small for a store if its transfer takes less than this multiple of the store's
   * transfer setup time. */
  static constexpr double kSmallSegmentSetupMultiple = 4;

  /** Smaller segments are not reported to other gateways: their prefill ends before the report
   * could be used. */
  static constexpr std::uint32_t kMinPublishedTokens = 512;

  /** Smaller segments are not worth the space in a store. The limit is low, because segments after
   * a small one at the start of a prompt are unusable without it. */
  static constexpr std::uint32_t kMinSavedTokens = 16;

  /** Sets the known nodes. The state of nodes that are not in the list, or were restarted, is
   * discarded. */
  void set_nodes(std::vector<CacheNode> nodes);

  /** Applies the answer of a node to a poll. */
  void on_events(std::string_view node, const CachePollResult& result, Instant now);

  /** Applies an answer that another gateway received to a poll from event number `since`. Returns
   * false if events before it are missing here. */
  bool on_relayed_events(std::string_view node,
                         std::uint64_t since,
                         const CachePollResult& result,
                         Instant now);

  /** A poll from this event number returns only the number of the newest event. It is above every
   * number that a node reaches, and the largest integer that all JSON libraries can represent. */
  static constexpr std::uint64_t kFromNewestEvent = (std::uint64_t{1} << 53) - 1;

  /** The event number from which the next poll of a node continues. */
  std::uint64_t next_event(std::string_view node) const;

  /** Whether a request may fetch from stores and save to them. */
  struct StoreUse {
    bool fetch = true;
    bool save = true;
  };

  /** The nodes from which the segments of a prompt can be fetched. */
  class FetchCandidates;
  /** Finds the nodes from which to fetch each segment of a prompt.
   *
   * @param prefill_tokens_per_ms  Rate at which engines prefill segments that are not fetched.
   * @param tie_breaker  Orders nodes of nearly equal cost. Differs between requests.
   */
  FetchCandidates fetch_candidates(std::string_view cache_namespace,
                                   std::span<const PromptSegment> prompt,
                                   StoreUse use,
                                   double prefill_tokens_per_ms,
                                   std::uint64_t tie_breaker,
                                   Instant now) const;

  /** The cached tokens that a request to an engine could use. */
  struct Coverage {
    std::uint32_t held_tokens = 0;     // Cached at the engine.
    std::uint32_t fetched_tokens = 0;  // Fetched from other nodes.
    double fetch_ms = 0;               // Duration of the fetches, including queueing.
  };
  /** Estimates the cached tokens for a request to an engine, up to the first segment that is
   * neither held by the engine nor can be fetched.
   *
   * @param fetch_candidates  Result of `fetch_candidates` for the same namespace and prompt.
   */
  Coverage coverage(std::string_view engine,
                    std::string_view cache_namespace,
                    std::span<const PromptSegment> prompt,
                    const FetchCandidates& fetch_candidates,
                    Instant now) const;

  /** Plans the fetches and saves of a request to an engine. The last segment is not saved, since it
   * belongs to the request alone. */
  CachePlan plan(std::string_view engine,
                 std::string_view cache_namespace,
                 std::span<const PromptSegment> prompt,
                 const FetchCandidates& fetch_candidates,
                 StoreUse use,
                 Instant now) const;

  /** A request was sent. Its segments are expected at the engine and in the stores of the plan. */
  void record_sent(std::string_view engine,
                   std::string_view cache_namespace,
                   std::span<const PromptSegment> prompt,
                   const CachePlan& plan,
                   Instant now);

  /** Returns the shared segments sent since the last call to engines that did not hold them.
   * Segments of less than `kMinPublishedTokens` are left out. */
  std::vector<SentSegment> take_sent_segments() { return std::exchange(sent_segments_, {}); }

  /** Another gateway reported that it sent these segments. */
  void record_sent_by_peers(std::span<const SentSegment> segments, Instant now);

  /** The fetches of a plan passed to `record_sent` have ended. */
  void record_fetch_finished(const CachePlan& plan);

  /** The load caused by fetches of this gateway in progress, to be reported to the others. */
  std::vector<UpstreamLoad> transfer_loads() const;

  /** A request that fetched from the nodes at `node_endpoints` was answered `delay` later than
   * expected. The transfers of a node run one after another, so a slow link delays all of them. */
  void record_fetch_delay(std::span<const std::optional<Endpoint>> node_endpoints,
                          Duration delay,
                          Instant now);

  /** Nothing is fetched from an engine until `until`, because it did not answer. */
  void exclude_from_fetch(std::string_view engine, Instant until);

  /** A segment in a store. */
  struct StoredSegment {
    std::string cache_namespace;
    std::uint64_t segment = 0;
  };
  /** The segments in a store that belong to versions of a model before `version`. */
  std::vector<StoredSegment> segments_before_version(std::string_view store,
                                                     std::string_view model,
                                                     std::uint64_t version) const;

  /** The epoch of a node as of the last poll. */
  std::optional<std::uint64_t> epoch(std::string_view node) const;

  std::vector<CacheNode> nodes() const;

 private:
  struct CachedSegment {
    std::uint32_t tokens = 0;
    std::optional<Instant> expected_until;  // Set until an event reports the segment.
    std::string cache_namespace;            // Stores only, to free segments by namespace.
    std::uint64_t segment = 0;
  };

  struct Node {
    CacheNode info;
    std::optional<std::uint64_t> epoch;
    Instant epoch_since;                    // When the epoch was first seen.
    std::uint64_t next = 0;                 // Event number from which the next poll continues.
    std::optional<Instant> last_polled_at;  // Time of the last answer to a poll.
    std::int64_t clock_at_poll_ms = 0;
    Instant excluded_until;  // Nothing is fetched from the node before this time.
    double delay_ms = 0;     // Average delay of fetches, as of `delay_at`.
    Instant delay_at;
    std::unordered_map<std::uint64_t, CachedSegment> segments;  // By `key_of`.
    std::uint64_t stored_tokens = 0;                            // Stores only.
    std::uint64_t name_hash = 0;
    std::uint64_t transfer_ms = 0;  // Of this gateway's fetches in progress.
  };

  // Hash of a namespace and a segment id.
  static std::uint64_t key_of(std::string_view cache_namespace, std::uint64_t segment);
  const Node* find(std::string_view name) const;
  bool holds(const Node& node, std::uint64_t key, std::uint32_t tokens, Instant now) const;
  static double delay_ms(const Node& node, Instant now);
  static bool is_usable(const Node& node, Instant now);
  double transfer_ms(const Node& node, std::string_view zone, std::uint32_t tokens) const;
  // Estimated wait before a new transfer from the node starts.
  double wait_ms(const Node& node, Instant now) const;
  bool is_in_any_store(std::uint64_t key, std::uint32_t tokens) const;
  const Node* choose_store(const Node& engine,
                           std::uint64_t key,
                           std::uint32_t tokens,
                           Instant now) const;
  void set_segment(Node& node, std::uint64_t key, CachedSegment held);
  void clear(Node& node);

  const LoadAggregator& load_aggregator_;
  std::map<std::string, Node, std::less<>> nodes_;
  std::vector<std::string> zones_;                          // Of all nodes.
  std::unordered_map<std::uint32_t, std::string> engines_;  // Names by `LoadAggregator::key_of`.
  std::vector<SentSegment> sent_segments_;
};

/** The two best nodes to fetch each segment from, for engines of each zone. Valid until the
 * directory changes. */
class CacheDirectory::FetchCandidates {
 public:
  struct Candidate {
    const Node* node = nullptr;
    double cost_ms = 0;  // Cost by which nodes are compared.
    double wait_ms = 0;  // Time until the transfer starts.
    double transfer_ms = 0;
  };

  /** The best node to fetch a segment from, other than the engine itself. `node` is null if there
   * is none. */
  Candidate find(std::size_t segment, const Node& engine) const;

 private:
  friend class CacheDirectory;
  using Best = std::array<Candidate, 2>;

  std::span<const std::string> zones_;
  std::vector<std::vector<Best>> segments_;  // By segment and zone.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CACHE_DIRECTORY_H_
