// Plans and executes fetches and exports of blocks, and follows the cache events of the engine.

#include "sidecar/engine_cache.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bluebellstep {
namespace {

constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::uint64_t kTokensPerBlock = kBlockTextBytes / kBytesPerToken;

// Limits on exports, which must not slow down prompts on the engine.
constexpr std::uint32_t kMaxExportsInFlight = 2;
constexpr std::size_t kMaxQueuedExports = 10'000;
constexpr Duration kExportTimeout = {10'000};

}  // namespace

EngineCache::EngineCache(RpcLoop& loop,
                         HttpClient& client,
                         EngineCacheOptions options,
                         Metrics& metrics)
    : loop_(loop),
      client_(client),
      options_(std::move(options)),
      metrics_(metrics),
      index_(options_.enabled ? options_.index_capacity : 1),
      follower_(index_),
      stores_(loop, client, metrics),
      self_(std::make_shared<EngineCache*>(this)) {}

EngineCache::~EngineCache() {
  *self_ = nullptr;
}

void EngineCache::apply_bundle(const Bundle& bundle) {
  stores_.apply_bundle(bundle, accounts_);
}

template <typename Handler>
void EngineCache::call_engine(HttpCall call, Handler handler) {
  call.endpoint = options_.engine;
  client_.send(std::move(call),
               [this, self = self_, handler = std::move(handler)](HttpClient::Response response) {
                 loop_.post([self, handler, response = std::move(response)]() mutable {
                   if (*self != nullptr) {
                     handler(std::move(response));
                   }
                 });
               });
}

void EngineCache::prepare(Run& run, std::function<void(std::uint32_t)> on_done) {
  PromptProgress& prompt = run.prompt;
  prompt.blocks = block_keys(cache_seed(run.spec.account, run.spec.target, run.spec.weight_version),
                             run.spec.body);
  const std::size_t known = index_.engine_prefix_length(prompt.blocks);
  // While the engine locations in the index may be wrong, a block that the engine does not reuse is
  // no signal of a cold engine.
  prompt.known_blocks = follower_.needs_full_list() ? 0 : static_cast<std::uint32_t>(known);
  for (const BlockKey& key : prompt.blocks) {
    index_.touch(key);
  }
  const std::uint64_t prompt_tokens = run.spec.body.size() / kBytesPerToken;
  const std::uint64_t tokens =
      prompt_tokens - std::min<std::uint64_t>(prompt_tokens, known * kTokensPerBlock);
  prefill_tokens_[run.id] = tokens;
  waiting_prefill_tokens_ += tokens;
  if (options_.prefill_tokens_per_s > 0) {
    prompt.predicted_first_token = {
        static_cast<std::int64_t>(waiting_prefill_tokens_ * 1000 / options_.prefill_tokens_per_s)};
  }
  const FetchPlan fetch = plan(run, known);
  if (fetch.blocks == 0) {
    on_done(0);
    return;
  }
  start_fetch(run, known, fetch, std::move(on_done));
}

FetchPlan EngineCache::plan(const Run& run, std::size_t known) const {
  if (!stores_.has_stores() || known == run.prompt.blocks.size()) {
    return {};
  }
  std::vector<BlockLocations> query_blocks;
  for (std::size_t i = known; i < run.prompt.blocks.size(); ++i) {
    BlockLocations locations = index_.find(run.prompt.blocks[i]).value_or(BlockLocations{});
    if (!locations.in_memory && !locations.in_disk) {
      // Another sidecar may have stored the block. The first missing block ends the fetch.
      locations.in_memory = true;
      locations.bytes = block_bytes_;
    }
    query_blocks.push_back(locations);
  }
  FetchQuery query;
  query.blocks = query_blocks;
  const std::uint64_t prompt_tokens = run.spec.body.size() / kBytesPerToken;
  query.tokens = prompt_tokens - std::min<std::uint64_t>(prompt_tokens, known * kTokensPerBlock);
  // If the rate is unknown, a minimal rate makes every fetch faster than computing.
  query.prefill_tokens_per_s =
      options_.prefill_tokens_per_s > 0 ? static_cast<double>(options_.prefill_tokens_per_s) : 1;
  query.links = {stores_.link_state(Tier::kMemory), stores_.link_state(Tier::kDisk)};
  query.deadline = std::min(run.spec.deadline, clock_.now() + options_.max_fetch_wait);
  return planner_.plan(query, clock_.now());
}

void EngineCache::start_fetch(const Run& run,
                              std::size_t known,
                              const FetchPlan& plan,
                              std::function<void(std::uint32_t)> on_done) {
  const std::uint64_t id = next_fetch_++;
  Fetch& fetch = fetches_[id];
  const auto first = run.prompt.blocks.begin() + static_cast<std::ptrdiff_t>(known);
  fetch.keys.assign(first, first + static_cast<std::ptrdiff_t>(plan.blocks));
  fetch.imported.assign(plan.blocks, false);
  fetch.end = plan.blocks;
  fetch.give_up_at = plan.give_up_at;
  fetch.on_done = std::move(on_done);
  const AccountId account = accounts_.intern(run.spec.account);
  for (std::size_t block_index = 0; block_index < plan.blocks; ++block_index) {
    const auto locations = index_.find(fetch.keys[block_index]);
    const bool only_on_disk = locations.has_value() && locations->in_disk && !locations->in_memory;
    read_block(id, block_index, account, only_on_disk ? Tier::kDisk : Tier::kMemory);
  }
}

void EngineCache::read_block(std::uint64_t fetch_id,
                             std::size_t block_index,
                             AccountId account,
                             Tier tier) {
  const Fetch& fetch = fetches_.at(fetch_id);
  const BlockKey key = fetch.keys[block_index];
  const BlockGeneration min_generation = index_.find(key).value_or(BlockLocations{}).generation;
  stores_.read(
      {.key = key,
       .account = account,
       .tier = tier,
       .bytes = block_bytes_,
       .min_generation = min_generation,
       .deadline = fetch.give_up_at},
      [this, fetch_id, block_index, account, tier, key](std::optional<StoreClient::Block> block) {
        const auto found = fetches_.find(fetch_id);
        if (found == fetches_.end()) {
          return;
        }
        if (block.has_value()) {
          index_.add_to_store(key, tier, block->generation, block->frame_bytes);
          import_block(fetch_id, block_index, *std::move(block));
          return;
        }
        index_.remove_from_store(key, tier);
        // Blocks that do not fit into the memory tier are exported to the disk tier.
        if (tier == Tier::kMemory && block_index < found->second.end) {
          read_block(fetch_id, block_index, account, Tier::kDisk);
        } else {
          handle_missing_block(fetch_id, block_index);
        }
      });
}

void EngineCache::import_block(std::uint64_t fetch_id,
                               std::size_t block_index,
                               StoreClient::Block block) {
  block_bytes_ = block.frame_bytes;
  const BlockKey key = fetches_.at(fetch_id).keys[block_index];
  HttpCall call;
  call.method = "PUT";
  call.path = "/kv/blocks/" + key.to_hex();
  call.headers = {{"content-type", "application/octet-stream"}};
  call.body = std::move(block.payload);
  call_engine(std::move(call),
              [this, fetch_id, block_index, key](const HttpClient::Response& response) {
                const bool is_imported = response.status >= 200 && response.status < 300;
                if (is_imported) {
                  index_.add_to_engine(key);
                }
                const auto found = fetches_.find(fetch_id);
                if (found == fetches_.end()) {
                  return;
                }
                if (!is_imported) {
                  handle_missing_block(fetch_id, block_index);
                  return;
                }
                found->second.imported[block_index] = true;
                finish_if_complete(fetch_id);
              });
}

void EngineCache::handle_missing_block(std::uint64_t fetch_id, std::size_t block_index) {
  Fetch& fetch = fetches_.at(fetch_id);
  fetch.end = std::min(fetch.end, block_index);
  finish_if_complete(fetch_id);
}

void EngineCache::finish_if_complete(std::uint64_t fetch_id) {
  const Fetch& fetch = fetches_.at(fetch_id);
  const auto end = fetch.imported.begin() + static_cast<std::ptrdiff_t>(fetch.end);
  if (std::find(fetch.imported.begin(), end, false) == end) {
    finish_fetch(fetch_id);
  }
}

void EngineCache::finish_fetch(std::uint64_t fetch_id) {
  const auto found = fetches_.find(fetch_id);
  const Fetch fetch = std::move(found->second);
  fetches_.erase(found);
  const auto prefix = std::find(fetch.imported.begin(), fetch.imported.end(), false);
  fetch.on_done(static_cast<std::uint32_t>(prefix - fetch.imported.begin()));
}

void EngineCache::record_started(Run& run) {
  remove_waiting_prefill(run);
}

void EngineCache::remove_waiting_prefill(const Run& run) {
  if (const auto found = prefill_tokens_.find(run.id); found != prefill_tokens_.end()) {
    waiting_prefill_tokens_ -= found->second;
    prefill_tokens_.erase(found);
  }
}

void EngineCache::record_finished(const Run& run) {
  const AccountId account = accounts_.intern(run.spec.account);
  for (const BlockKey& key : run.prompt.blocks) {
    index_.add_to_engine(key);
    const auto locations = index_.find(key);
    const bool is_stored = locations.has_value() && (locations->in_memory || locations->in_disk);
    if (!is_stored && stores_.has_stores() && export_queue_.size() < kMaxQueuedExports) {
      export_queue_.emplace_back(key, account);
    }
  }
  export_next();
}

void EngineCache::export_next() {
  while (exports_in_flight_ < kMaxExportsInFlight && !export_queue_.empty()) {
    const auto [key, account] = export_queue_.front();
    export_queue_.erase(export_queue_.begin());
    const auto locations = index_.find(key);
    if (locations.has_value() && (locations->in_memory || locations->in_disk)) {
      continue;
    }
    ++exports_in_flight_;
    HttpCall call;
    call.path = "/kv/blocks/" + key.to_hex();
    call_engine(
        std::move(call), [this, key = key, account = account](HttpClient::Response response) {
          const bool is_complete = std::holds_alternative<HttpClient::Complete>(response.outcome);
          if (is_complete && response.status == 200) {
            export_block(key, account, std::move(response.body), Tier::kMemory);
            return;
          }
          index_.remove_from_engine(key);
          --exports_in_flight_;
          export_next();
        });
  }
}

void EngineCache::export_block(BlockKey key, AccountId account, std::string payload, Tier tier) {
  const StoreClient::TransferRequest request{.key = key,
                                             .account = account,
                                             .tier = tier,
                                             .bytes = payload.size(),
                                             .min_generation = {},
                                             .deadline = clock_.now() + kExportTimeout};
  std::string copy = tier == Tier::kMemory ? payload : std::string();
  stores_.write(request, std::move(payload),
                [this, key, account, tier, size = request.bytes,
                 copy = std::move(copy)](std::optional<BlockGeneration> generation) mutable {
                  if (generation.has_value()) {
                    index_.add_to_store(key, tier, *generation, static_cast<std::uint32_t>(size));
                  } else if (tier == Tier::kMemory) {
                    export_block(key, account, std::move(copy), Tier::kDisk);
                    return;
                  }
                  --exports_in_flight_;
                  export_next();
                });
}

void EngineCache::reset_engine_blocks() {
  follower_.engine_restarted();
}

void EngineCache::tick() {
  if (!options_.enabled) {
    return;
  }
  const Instant now = clock_.now();
  stores_.tick();
  std::vector<std::uint64_t> expired;
  for (const auto& [id, fetch] : fetches_) {
    if (now >= fetch.give_up_at) {
      expired.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    metrics_.count("bluebellstep_fetches_total", "given_up");
    finish_fetch(id);
  }
  if (!poll_in_flight_ && now >= next_poll_at_) {
    poll_events();
  }
}

void EngineCache::poll_events() {
  poll_in_flight_ = true;
  const bool is_full_list = follower_.needs_full_list();
  HttpCall call;
  call.path =
      is_full_list ? "/kv/blocks" : "/kv/events?after=" + std::to_string(follower_.position());
  call.idle_timeout = {2000};
  call_engine(std::move(call), [this, is_full_list](const HttpClient::Response& response) {
    poll_in_flight_ = false;
    next_poll_at_ = clock_.now() + options_.event_poll_interval;
    handle_event_response(response, is_full_list);
  });
}

void EngineCache::handle_event_response(const HttpClient::Response& response, bool is_full_list) {
  const bool is_complete = std::holds_alternative<HttpClient::Complete>(response.outcome);
  if (!is_complete || response.status != 200) {
    return;
  }
  if (is_full_list) {
    if (const auto list = parse_engine_block_list(response.body)) {
      follower_.apply(*list);
    }
  } else if (const auto batch = parse_engine_cache_events(response.body)) {
    follower_.apply(*batch);
  }
}

}  // namespace bluebellstep
