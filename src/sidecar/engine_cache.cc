// Decisions on blocks, and the calls that carry them out.

#include "sidecar/engine_cache.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bluebellstep {
namespace {

constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::uint64_t kTokensPerBlock = kBlockTextBytes / kBytesPerToken;

// Copying must not take the engine's time from prompts.
constexpr std::uint32_t kMaxExports = 2;
constexpr std::size_t kMaxWaitingExports = 10'000;
constexpr Duration kExportLimit = {10'000};

}  // namespace

EngineCache::EngineCache(RpcLoop& loop,
                         HttpClient& client,
                         EngineCacheOptions options,
                         Metrics& metrics)
    : loop_(loop),
      client_(client),
      options_(std::move(options)),
      metrics_(metrics),
      index_(options_.enabled ? options_.index_blocks : 1),
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

void EngineCache::prepare(Run& run, std::function<void(std::uint32_t)> done) {
  PromptProgress& prompt = run.prompt;
  prompt.blocks = block_keys(cache_seed(run.spec.account, run.spec.target, run.spec.weight_version),
                             run.spec.body);
  const std::size_t known = index_.engine_prefix_length(prompt.blocks);
  // While the index is suspect, a block that the engine does not reuse is no sign of a cold engine.
  prompt.known_blocks = follower_.needs_full_list() ? 0 : static_cast<std::uint32_t>(known);
  for (const BlockKey& key : prompt.blocks) {
    index_.touch(key);
  }
  const std::uint64_t all = run.spec.body.size() / kBytesPerToken;
  const std::uint64_t tokens = all - std::min<std::uint64_t>(all, known * kTokensPerBlock);
  prefill_tokens_[run.id] = tokens;
  waiting_prefill_tokens_ += tokens;
  if (options_.prefill_tokens_per_s > 0) {
    prompt.predicted_first_token = {
        static_cast<std::int64_t>(waiting_prefill_tokens_ * 1000 / options_.prefill_tokens_per_s)};
  }
  const FetchPlan fetch = plan(run, known);
  if (fetch.blocks == 0) {
    done(0);
    return;
  }
  start_fetch(run, known, fetch, std::move(done));
}

FetchPlan EngineCache::plan(const Run& run, std::size_t known) const {
  if (!stores_.has_stores() || known == run.prompt.blocks.size()) {
    return {};
  }
  std::vector<BlockLocations> places;
  for (std::size_t i = known; i < run.prompt.blocks.size(); ++i) {
    BlockLocations place = index_.find(run.prompt.blocks[i]).value_or(BlockLocations{});
    if (!place.in_memory && !place.in_disk) {
      // Another sidecar may have stored it; the first block that is missing ends the fetch.
      place.in_memory = true;
      place.bytes = block_bytes_;
    }
    places.push_back(place);
  }
  FetchQuery query;
  query.blocks = places;
  const std::uint64_t all = run.spec.body.size() / kBytesPerToken;
  query.tokens = all - std::min<std::uint64_t>(all, known * kTokensPerBlock);
  // Without a known rate every fetch is taken to be worth it.
  query.prefill_tokens_per_s =
      options_.prefill_tokens_per_s > 0 ? static_cast<double>(options_.prefill_tokens_per_s) : 1;
  query.links = {stores_.link_state(Tier::kMemory), stores_.link_state(Tier::kDisk)};
  query.deadline = std::min(run.spec.deadline, clock_.now() + options_.longest_fetch);
  return planner_.plan(query, clock_.now());
}

void EngineCache::start_fetch(const Run& run,
                              std::size_t known,
                              const FetchPlan& plan,
                              std::function<void(std::uint32_t)> done) {
  const std::uint64_t id = next_fetch_++;
  Fetch& fetch = fetches_[id];
  const auto first = run.prompt.blocks.begin() + static_cast<std::ptrdiff_t>(known);
  fetch.keys.assign(first, first + static_cast<std::ptrdiff_t>(plan.blocks));
  fetch.imported.assign(plan.blocks, false);
  fetch.end = plan.blocks;
  fetch.give_up_at = plan.give_up_at;
  fetch.done = std::move(done);
  const AccountId account = accounts_.intern(run.spec.account);
  for (std::size_t at = 0; at < plan.blocks; ++at) {
    const auto place = index_.find(fetch.keys[at]);
    const bool only_on_disk = place.has_value() && place->in_disk && !place->in_memory;
    read_block(id, at, account, only_on_disk ? Tier::kDisk : Tier::kMemory);
  }
}

void EngineCache::read_block(std::uint64_t fetch_id, std::size_t at, AccountId account, Tier tier) {
  const Fetch& fetch = fetches_.at(fetch_id);
  const BlockKey key = fetch.keys[at];
  const BlockGeneration oldest = index_.find(key).value_or(BlockLocations{}).generation;
  stores_.read({.key = key,
                .account = account,
                .tier = tier,
                .bytes = block_bytes_,
                .oldest = oldest,
                .deadline = fetch.give_up_at},
               [this, fetch_id, at, account, tier, key](std::optional<StoreClient::Block> block) {
                 const auto found = fetches_.find(fetch_id);
                 if (found == fetches_.end()) {
                   return;
                 }
                 if (block.has_value()) {
                   index_.add_to_store(key, tier, block->generation, block->frame_bytes);
                   import_block(fetch_id, at, *std::move(block));
                   return;
                 }
                 index_.remove_from_store(key, tier);
                 // A block that the memory tier had no room for is on disk.
                 if (tier == Tier::kMemory && at < found->second.end) {
                   read_block(fetch_id, at, account, Tier::kDisk);
                 } else {
                   block_missing(fetch_id, at);
                 }
               });
}

void EngineCache::import_block(std::uint64_t fetch_id, std::size_t at, StoreClient::Block block) {
  block_bytes_ = block.frame_bytes;
  const BlockKey key = fetches_.at(fetch_id).keys[at];
  HttpCall call;
  call.method = "PUT";
  call.path = "/kv/blocks/" + key.to_hex();
  call.headers = {{"content-type", "application/octet-stream"}};
  call.body = std::move(block.payload);
  call_engine(std::move(call), [this, fetch_id, at, key](const HttpClient::Response& response) {
    const bool is_imported = response.status >= 200 && response.status < 300;
    if (is_imported) {
      index_.add_to_engine(key);
    }
    const auto found = fetches_.find(fetch_id);
    if (found == fetches_.end()) {
      return;
    }
    if (!is_imported) {
      block_missing(fetch_id, at);
      return;
    }
    found->second.imported[at] = true;
    finish_if_complete(fetch_id);
  });
}

void EngineCache::block_missing(std::uint64_t fetch_id, std::size_t at) {
  Fetch& fetch = fetches_.at(fetch_id);
  fetch.end = std::min(fetch.end, at);
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
  fetch.done(static_cast<std::uint32_t>(prefix - fetch.imported.begin()));
}

void EngineCache::note_started(Run& run) {
  note_dropped(run);
}

void EngineCache::note_dropped(const Run& run) {
  if (const auto found = prefill_tokens_.find(run.id); found != prefill_tokens_.end()) {
    waiting_prefill_tokens_ -= found->second;
    prefill_tokens_.erase(found);
  }
}

void EngineCache::note_finished(const Run& run) {
  const AccountId account = accounts_.intern(run.spec.account);
  for (const BlockKey& key : run.prompt.blocks) {
    index_.add_to_engine(key);
    const auto place = index_.find(key);
    const bool is_stored = place.has_value() && (place->in_memory || place->in_disk);
    if (!is_stored && stores_.has_stores() && exports_.size() < kMaxWaitingExports) {
      exports_.emplace_back(key, account);
    }
  }
  export_next();
}

void EngineCache::export_next() {
  while (exports_running_ < kMaxExports && !exports_.empty()) {
    const auto [key, account] = exports_.front();
    exports_.erase(exports_.begin());
    const auto place = index_.find(key);
    if (place.has_value() && (place->in_memory || place->in_disk)) {
      continue;
    }
    ++exports_running_;
    HttpCall call;
    call.path = "/kv/blocks/" + key.to_hex();
    call_engine(
        std::move(call), [this, key = key, account = account](HttpClient::Response response) {
          const bool is_whole = std::holds_alternative<HttpClient::Complete>(response.outcome);
          if (is_whole && response.status == 200) {
            export_block(key, account, std::move(response.body), Tier::kMemory);
            return;
          }
          index_.remove_from_engine(key);
          --exports_running_;
          export_next();
        });
  }
}

void EngineCache::export_block(BlockKey key, AccountId account, std::string payload, Tier tier) {
  const StoreClient::Request request{.key = key,
                                     .account = account,
                                     .tier = tier,
                                     .bytes = payload.size(),
                                     .oldest = {},
                                     .deadline = clock_.now() + kExportLimit};
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
                  --exports_running_;
                  export_next();
                });
}

void EngineCache::forget_engine() {
  follower_.engine_restarted();
}

void EngineCache::tick() {
  if (!options_.enabled) {
    return;
  }
  const Instant now = clock_.now();
  stores_.tick();
  std::vector<std::uint64_t> late;
  for (const auto& [id, fetch] : fetches_) {
    if (now >= fetch.give_up_at) {
      late.push_back(id);
    }
  }
  for (const std::uint64_t id : late) {
    metrics_.count("bluebellstep_fetches_total", "given_up");
    finish_fetch(id);
  }
  if (!polling_ && now >= next_poll_) {
    poll_events();
  }
}

void EngineCache::poll_events() {
  polling_ = true;
  const bool is_list = follower_.needs_full_list();
  HttpCall call;
  call.path = is_list ? "/kv/blocks" : "/kv/events?after=" + std::to_string(follower_.position());
  call.idle_timeout = {2000};
  call_engine(std::move(call), [this, is_list](const HttpClient::Response& response) {
    polling_ = false;
    next_poll_ = clock_.now() + options_.event_interval;
    take_events(response, is_list);
  });
}

void EngineCache::take_events(const HttpClient::Response& response, bool is_list) {
  const bool is_whole = std::holds_alternative<HttpClient::Complete>(response.outcome);
  if (!is_whole || response.status != 200) {
    return;
  }
  if (is_list) {
    if (const auto list = parse_engine_block_list(response.body)) {
      follower_.apply(*list);
    }
  } else if (const auto batch = parse_engine_cache_events(response.body)) {
    follower_.apply(*batch);
  }
}

}  // namespace bluebellstep
