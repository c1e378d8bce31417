// Management of the KV cache blocks of this sidecar's engine and of their copies in the cache
// stores.

#ifndef BLUEBELLSTEP_SIDECAR_ENGINE_CACHE_H_
#define BLUEBELLSTEP_SIDECAR_ENGINE_CACHE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bundle/bundle.h"
#include "cache/block_index.h"
#include "cache/cache_event_follower.h"
#include "cache/fetch_planner.h"
#include "http/http_client.h"
#include "metrics/metrics.h"
#include "rpc/rpc_loop.h"
#include "sidecar/engine_protocol.h"
#include "sidecar/run.h"
#include "sidecar/store_client.h"

namespace bluebellstep {

/** Settings of an `EngineCache`. */
struct EngineCacheOptions {
  bool enabled = false;  // False for a plain service.
  Endpoint engine;
  std::uint64_t prefill_tokens_per_s = 0;  // 0 if unknown; then all available blocks are fetched.
  std::size_t index_capacity = 200'000;    // In blocks; the default takes about 11 MB.

  /** Maximum time for which the dispatch of a run is delayed to fetch blocks. */
  Duration max_fetch_wait = {600};

  /** Time from the answer to a poll of the engine's cache events to the next poll. */
  Duration event_poll_interval = {250};
};

/**
 * Tracks which blocks are in the engine and in the cache stores, fetches the blocks of returning
 * prompts into the engine, and exports new blocks to the stores. Lives on the control thread.
 */
class EngineCache {
 public:
  /** All references must outlive this. */
  EngineCache(RpcLoop& loop, HttpClient& client, EngineCacheOptions options, Metrics& metrics);
  ~EngineCache();

  /** Applies the stores of a bundle and the shares of its accounts. */
  void apply_bundle(const Bundle& bundle);

  /** Computes the block keys of a run's prompt and predicts its time to first token. Fetches the
   * blocks that are faster to fetch than to compute into the engine, and then calls `on_done` with
   * the number of blocks fetched. */
  void prepare(Run& run, std::function<void(std::uint32_t fetched_blocks)> on_done);

  /** Records that the engine has started to answer a run. */
  void record_started(Run& run);

  /** Records that the engine has finished a run and has all blocks of its prompt. Queues those not
   * in the stores for export. */
  void record_finished(const Run& run);

  /** Excludes a run from the prefills that the engine still has to do. Has no effect if it was
   * excluded before. */
  void remove_waiting_prefill(const Run& run);

  /** Removes all engine locations from the index, because the engine may have lost its cache. */
  void reset_engine_blocks();

  /** Handles deadlines of fetches and polls the engine's cache events. Call it every few
   * milliseconds. */
  void tick();

 private:
  /** Fetch of blocks of one prompt, from the first block that is not in the engine on. */
  struct Fetch {
    std::vector<BlockKey> keys;
    std::vector<bool> imported;  // Same size as keys.
    std::size_t end = 0;         // The fetch does not wait for blocks from this index on.
    Instant give_up_at;
    std::function<void(std::uint32_t)> on_done;
  };

  FetchPlan plan(const Run& run, std::size_t known) const;
  void start_fetch(const Run& run,
                   std::size_t known,
                   const FetchPlan& plan,
                   std::function<void(std::uint32_t)> on_done);
  void read_block(std::uint64_t fetch, std::size_t block_index, AccountId account, Tier tier);
  void import_block(std::uint64_t fetch, std::size_t block_index, StoreClient::Block block);
  void handle_missing_block(std::uint64_t fetch, std::size_t block_index);
  void finish_if_complete(std::uint64_t fetch);
  void finish_fetch(std::uint64_t fetch);
  void export_next();
  void export_block(BlockKey key, AccountId account, std::string payload, Tier tier);
  void poll_events();
  void handle_event_response(const HttpClient::Response& response, bool is_full_list);
  template <typename Handler>
  void call_engine(HttpCall call, Handler handler);

  RpcLoop& loop_;
  HttpClient& client_;
  EngineCacheOptions options_;
  Metrics& metrics_;
  Clock clock_;
  NameTable<AccountId> accounts_;
  BlockIndex index_;
  CacheEventFollower follower_;
  FetchPlanner planner_;
  StoreClient stores_;
  std::uint32_t block_bytes_ = 1u << 16;  // Size of the last fetched block, used as an estimate.
  std::uint64_t waiting_prefill_tokens_ = 0;           // Sum of prefill_tokens_.
  std::map<RequestId, std::uint64_t> prefill_tokens_;  // Estimates, for runs without a first token.
  std::uint64_t next_fetch_ = 1;
  std::map<std::uint64_t, Fetch> fetches_;
  // Blocks to export, oldest first, and the number of exports in flight.
  std::vector<std::pair<BlockKey, AccountId>> export_queue_;
  std::uint32_t exports_in_flight_ = 0;
  bool poll_in_flight_ = false;
  Instant next_poll_at_;
  // Shared with callbacks, which may outlive this object. Points to null after its destruction.
  std::shared_ptr<EngineCache*> self_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_ENGINE_CACHE_H_
