// KV cache blocks of the engine beside this sidecar, and their copies in the cache stores.

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
  bool enabled = false;  // False beside a plain service.
  Endpoint engine;
  std::uint64_t prefill_tokens_per_s = 0;  // 0: unknown; then every block that is found is fetched.
  std::size_t index_capacity = 200'000;    // About 11 MB.

  /** A run waits for blocks from the stores for this long at most. */
  Duration max_fetch_wait = {600};

  /** Time between polls of the engine's cache events. */
  Duration event_poll_interval = {250};
};

/**
 * Tracks which blocks the engine and the stores hold, brings blocks of returning prompts back into
 * the engine, and copies new ones to the stores. Lives on the control thread.
 */
class EngineCache {
 public:
  EngineCache(RpcLoop& loop, HttpClient& client, EngineCacheOptions options, Metrics& metrics);
  ~EngineCache();

  /** Applies the stores and shares of a bundle. */
  void apply_bundle(const Bundle& bundle);

  /** Fills in the blocks of a prompt, fetches those worth it into the engine, and calls `done` with
   * their number. */
  void prepare(Run& run, std::function<void(std::uint32_t fetched_blocks)> on_done);

  /** The engine began to answer a run. */
  void record_started(Run& run);

  /** The engine finished a run: it holds all blocks of the prompt, and new ones are copied to the
   * stores. */
  void record_finished(const Run& run);

  /** The run ended without a first token. */
  void remove_waiting_prefill(const Run& run);

  /** Forgets what the engine holds, after it restarted. */
  void reset_engine_blocks();

  /** Handles deadlines and polls the engine's cache events; call it every few milliseconds. */
  void tick();

 private:
  /** A fetch of the leading missing blocks of one prompt. */
  struct Fetch {
    std::vector<BlockKey> keys;
    std::vector<bool> imported;  // As long as keys.
    std::size_t end = 0;         // Blocks from here on are not waited for.
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
  std::uint32_t block_bytes_ = 1u << 16;      // Size of the last block seen, for estimates.
  std::uint64_t waiting_prefill_tokens_ = 0;  // Of runs without a first token.
  std::map<RequestId, std::uint64_t> prefill_tokens_;  // The parts of the sum above.
  std::uint64_t next_fetch_ = 1;
  std::map<std::uint64_t, Fetch> fetches_;
  // Blocks to copy, oldest first, and whether one is being copied.
  std::vector<std::pair<BlockKey, AccountId>> export_queue_;
  std::uint32_t exports_in_flight_ = 0;
  bool poll_in_flight_ = false;
  Instant next_poll_at_;
  std::shared_ptr<EngineCache*> self_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_ENGINE_CACHE_H_
