// Where cached prompt parts lie: in which engines, and complete in which stores.
//
// Load pattern: long prompts return after gaps, when the engine that read them has evicted them or
// is busy. Reading a shared part again costs far more than moving it, so each request names a
// source for every part that its engine does not hold, and a store that keeps what no store has
// yet.
//
// A store of this kind checks nothing: a part that is still being written could be fetched. Parts
// are therefore fetched only on events that report them complete, and what a gateway knows of a
// store counts for a short time only. After a restart of a store nothing is saved to it until all
// that was known before has run out everywhere.

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
#include "gateway/call_heads.h"
#include "gateway/load_aggregator.h"
#include "http/http_types.h"

namespace bluebellstep {

/** An engine or a store that keeps cached parts. */
struct CacheNode {
  std::string name;  // Of the engine's entry, or of the store's service.
  Endpoint endpoint;
  std::string zone;
  bool is_store = false;
  std::uint64_t capacity_tokens = 0;  // Stores only.
  std::int64_t started_ms = 0;        // Engines only; another start holds nothing.
  double start_ms = 0;                // Each transfer waits this long before it begins.
  double tokens_per_ms = 350;         // Of a transfer to the same zone.
};

/** One event of a source. */
struct SegmentEvent {
  std::string cache_namespace;  // The text under which the part is found.
  std::uint64_t segment = 0;
  std::uint32_t tokens = 0;  // Stored now; 0 if the part is gone.
};

/** An answer to a poll. */
struct CachePollResult {
  std::uint64_t epoch = 0;    // Another one means that the source has started again.
  std::uint64_t next = 0;     // Where the next poll goes on.
  bool events_lost = false;   // Events are missing before these.
  std::int64_t clock_ms = 0;  // The source's clock.
  std::vector<SegmentEvent> events;
};

/** What a request says of cached parts, one entry for each part; an unset endpoint stands for none.
 */
struct CachePlan {
  std::vector<std::optional<Endpoint>> fetch;
  std::vector<std::optional<Endpoint>> save;
  std::optional<std::int64_t> fetch_until_ms;  // On the sources' clock.
  std::uint32_t fetched_tokens = 0;
  double fetch_ms = 0;  // Time until all parts that the engine lacks are there.
  // Time of the transfer of each part that the engine lacks, 0 for the others; see `sent`.
  std::vector<std::uint32_t> transfer_ms;

  bool fetches() const { return fetched_tokens > 0; }
  bool saves() const;
};

/** The scope under which parts are found: a model, its weight version, and the account where it is
 * isolated (else empty). */
std::string cache_namespace(std::string_view model,
                            std::uint64_t weight_version,
                            std::string_view account);

class CacheDirectory {
 public:
  /** `board` tells of the other gateways' fetches. */
  explicit CacheDirectory(const LoadAggregator& load_aggregator)
      : load_aggregator_(load_aggregator) {}

  /** What is known of a store counts this long after the poll that told it. */
  static constexpr Duration kStoreStateValidity{1500};
  /** Fetches from a store end this long after the poll that they rest on. */
  static constexpr Duration kFetchDeadline{3000};
  /** Nothing is saved to a store that started again less than this ago. Above `kFetchDeadline`. */
  static constexpr Duration kSaveDelayAfterRestart{4000};
  /** A part that was sent to an engine or a store counts as there for this long without an event.
   */
  static constexpr Duration kExpectedSegmentValidity{1500};
  /** A store is filled up to this share; the rest covers saves that other gateways began. */
  static constexpr double kStoreFillLimit = 0.95;
  /** Weight of the newest delay in the average of a source. */
  static constexpr double kFetchDelayWeight = 0.25;
  /** Without new delays the average halves in this time, so that the source is tried again. */
  static constexpr Duration kFetchDelayHalfLife{1000};
  /** A part is fetched if that is expected to take less than this, or than this multiple of the
   * time to read it again, which is also charged. */
  static constexpr double kShortFetchMs = 40;
  static constexpr double kPrefillCostFactor = 4;
  static constexpr double kPrefillTokensPerMs = 50;
  /** Transfers between zones take this multiple of the time. */
  static constexpr double kOtherZoneFactor = 2;
  /** Share of the parts of an engine that are evicted before a fetch, with the lag of events. */
  static constexpr double kEvictedShare = 0.25;
  /** Sources whose costs differ by less than this count as equal, and each request orders them in
   * its own way. In ms. */
  static constexpr double kNodeTieBreakMs = 2;
  /** A part is small for a store if its transfer takes less than this multiple of the store's
   * start. */
  static constexpr double kSmallSegmentStartMultiple = 4;

  /** Smaller parts are read sooner than others can be told of them. */
  static constexpr std::uint32_t kMinPublishedTokens = 512;

  /** Smaller parts are not worth a place in a store. Small parts at the start of many prompts are:
   * without them the parts after them are of no use. */
  static constexpr std::uint32_t kMinSavedTokens = 16;

  /** Sets all sources; those that are left out are forgotten. */
  void set_nodes(std::vector<CacheNode> nodes);

  /** Takes the answer to a poll. */
  void on_events(std::string_view node, const CachePollResult& events, Instant now);

  /** A poll from here is answered with the number of the newest event alone: it is above every
   * number that a source reaches, and the largest that all JSON libraries can hold. */
  static constexpr std::uint64_t kFromNewestEvent = (std::uint64_t{1} << 53) - 1;

  /** Where the next poll of a source goes on. */
  std::uint64_t next_event(std::string_view node) const;

  /** What a request may do with stores. */
  struct StoreUse {
    bool fetch = true;
    bool save = true;
  };

  /** Sources that a prompt's parts can be fetched from, one entry for each part. */
  class FetchCandidates;
  /** `spread` differs between requests. */
  FetchCandidates fetch_candidates(std::string_view cache_namespace,
                                   std::span<const PromptPart> prompt,
                                   StoreUse use,
                                   std::uint64_t tie_breaker,
                                   Instant now) const;

  /** What a request to an engine would find. */
  struct Coverage {
    std::uint32_t held_tokens = 0;     // At the start of the prompt, at the engine.
    std::uint32_t fetched_tokens = 0;  // Fetched from other sources.
    double fetch_ms = 0;               // Time that the fetches take, with their waits.
  };
  /** `holders` is what the method of that name returned for the same scope and prompt. */
  Coverage coverage(std::string_view engine,
                    std::string_view cache_namespace,
                    std::span<const PromptPart> prompt,
                    const FetchCandidates& fetch_candidates,
                    Instant now) const;

  /** Plans a request to an engine. The last part belongs to the request alone and is not saved. */
  CachePlan plan(std::string_view engine,
                 std::string_view cache_namespace,
                 std::span<const PromptPart> prompt,
                 const FetchCandidates& fetch_candidates,
                 StoreUse use,
                 Instant now) const;

  /** The request was sent: its parts will be at the engine, and in the stores that it names. */
  void record_sent(std::string_view engine,
                   std::string_view cache_namespace,
                   std::span<const PromptPart> prompt,
                   const CachePlan& plan,
                   Instant now);

  /** Parts that were sent to engines which did not hold them, since the last call. Small parts are
   * left out. */
  std::vector<SentSegment> take_sent_segments() { return std::exchange(sent_segments_, {}); }

  /** Another gateway sent these parts. */
  void record_sent_by_peers(std::span<const SentSegment> segments, Instant now);

  /** The fetches of a plan that was sent have ended. */
  void record_fetch_finished(const CachePlan& plan);

  /** Fetches of this gateway that are under way, for the others. */
  std::vector<UpstreamLoad> transfer_loads() const;

  /** Requests that fetched from these sources began to be answered `delay` later than expected.
   * Transfers of a source run one after another, so a slow link delays all of them. */
  void record_fetch_delay(std::span<const std::optional<Endpoint>> nodes,
                          Duration delay,
                          Instant now);

  /** An engine did not answer: it is no source for a while. */
  void exclude_from_fetch(std::string_view engine, Instant until);

  /** A part in a store. */
  struct StoredSegment {
    std::string cache_namespace;
    std::uint64_t segment = 0;
  };
  /** Parts in a store that were kept for versions of a model before `version`. */
  std::vector<StoredSegment> segments_before_version(std::string_view store,
                                                     std::string_view model,
                                                     std::uint64_t version) const;

  /** The epoch of a source as of the last poll. */
  std::optional<std::uint64_t> epoch(std::string_view node) const;

  std::vector<CacheNode> nodes() const;

 private:
  struct CachedSegment {
    std::uint32_t tokens = 0;
    std::optional<Instant> expected_until;  // Set while no event has reported the part.
    std::string cache_namespace;            // Stores only, to free parts by scope.
    std::uint64_t segment = 0;
  };

  struct Node {
    CacheNode info;
    std::optional<std::uint64_t> epoch;
    Instant epoch_since;
    std::uint64_t next = 0;
    std::optional<Instant> last_poll;
    std::int64_t clock_at_poll_ms = 0;
    Instant excluded_until;
    double delay_ms = 0;  // Average delay of fetches, as of `delay_at`.
    Instant delay_at;
    std::unordered_map<std::uint64_t, CachedSegment> segments;
    std::uint64_t stored_tokens = 0;  // Stores only.
    std::uint64_t name_hash = 0;
    std::uint64_t transfer_ms = 0;  // Of this gateway's fetches that are under way.
  };

  static std::uint64_t key_of(std::string_view cache_namespace, std::uint64_t segment);
  const Node* find(std::string_view name) const;
  bool holds(const Node& node, std::uint64_t key, std::uint32_t tokens, Instant now) const;
  static double delay_ms(const Node& node, Instant now);
  static bool is_usable(const Node& node, Instant now);
  double transfer_ms(const Node& node, std::string_view zone, std::uint32_t tokens) const;
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
  std::vector<std::string> zones_;                          // Of all sources.
  std::unordered_map<std::uint32_t, std::string> engines_;  // Names by `LoadAggregator::key_of`.
  std::vector<SentSegment> sent_segments_;
};

/** The two best sources of each part for engines of each zone. Valid until the directory changes.
 */
class CacheDirectory::FetchCandidates {
 public:
  struct Candidate {
    const Node* node = nullptr;
    double cost_ms = 0;  // By which sources are compared.
    double wait_ms = 0;  // Until the transfer begins.
    double transfer_ms = 0;
  };

  /** The best source of a part for an engine, which is no source for itself; or none. */
  Candidate find(std::size_t segment, const Node& engine) const;

 private:
  friend class CacheDirectory;
  using Best = std::array<Candidate, 2>;

  std::span<const std::string> zones_;
  std::vector<std::vector<Best>> segments_;  // By part and zone.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CACHE_DIRECTORY_H_
