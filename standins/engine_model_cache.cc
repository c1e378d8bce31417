// Cache, load reports, weight loads and commands of the engine model.

#include <algorithm>

#include "standins/block_payload.h"
#include "standins/engine_model.h"

namespace bluebellstep::standins {

const LoadReport& EngineModel::load_report(Instant now) {
  advance(now);
  return load_history_.at(time(), load_lag());
}

CacheEventPage EngineModel::cache_events(std::uint64_t after, Instant now) {
  advance(now);
  return cache_log_.events_after(after, time(), faults_.events_lag.value_or(options_.events_lag));
}

std::vector<BlockKey> EngineModel::cached_keys(Instant now) {
  advance(now);
  return cache_.keys();
}

std::optional<std::string> EngineModel::export_block(BlockKey key, Instant now) {
  advance(now);
  const BlockRef block = cache_.find(key);
  if (!block) {
    return std::nullopt;
  }
  ++counters_.exports;
  return block->mismatched_bytes ? *block->mismatched_bytes
                                 : block_payload(key, options_.block_bytes);
}

bool EngineModel::import_block(BlockKey key, std::string bytes, Instant now) {
  advance(now);
  CachedBlock block{.key = key};
  if (bytes != block_payload(key, options_.block_bytes)) {
    block.mismatched_bytes = std::move(bytes);
  }
  const bool corrupt = block.mismatched_bytes.has_value();
  if (!cache_.replace(std::move(block))) {
    return false;
  }
  ++counters_.imports;
  counters_.corrupt_imports += corrupt ? 1 : 0;
  log_evictions();
  log_cache_event(CacheEventType::kStored, {key});
  return true;
}

void EngineModel::count_block_reads(const Run& run) {
  const auto any = [&run](auto&& predicate) {
    return std::any_of(run.blocks.begin(), run.blocks.end(), predicate);
  };
  counters_.corrupt_reads +=
      any([](const BlockRef& block) { return block->mismatched_bytes.has_value(); }) ? 1 : 0;
  counters_.wrong_version_reads += any([&run](const BlockRef& block) {
    return !block->weight_version.empty() && block->weight_version != run.weight_version;
  })
                                       ? 1
                                       : 0;
}

void EngineModel::store_blocks(Run& run) {
  const bool retired = models_.at(run.model) != run.weight_version;
  std::vector<BlockKey> stored;
  for (std::size_t i = run.blocks.size(); i < run.keys.size(); ++i) {
    BlockRef block = cache_.find(run.keys[i]);
    if (!block) {
      block = cache_.insert({.key = run.keys[i],
                             .model = run.model,
                             .weight_version = run.weight_version,
                             .retired = retired});
      if (!block) {
        break;
      }
      stored.push_back(run.keys[i]);
    }
    run.blocks.push_back(std::move(block));
  }
  cache_.find_prefix(run.keys);  // Makes the first blocks of the prompt the most recently used.
  log_evictions();
  if (!stored.empty()) {
    log_cache_event(CacheEventType::kStored, std::move(stored));
  }
}

void EngineModel::log_evictions() {
  std::vector<BlockKey> evicted = cache_.take_evicted();
  if (!evicted.empty()) {
    counters_.evicted_blocks += evicted.size();
    log_cache_event(CacheEventType::kEvicted, std::move(evicted));
  }
}

void EngineModel::log_cache_event(CacheEventType type, std::vector<BlockKey> keys) {
  cache_log_.record(type, std::move(keys), time(), faults_.drop_event_every);
}

CommandResult EngineModel::load_weights(std::string_view model,
                                        std::string_view version,
                                        std::uint64_t fencing_number,
                                        Instant now) {
  advance(now);
  if (!accept_fencing_number(fencing_number)) {
    return StaleFencingNumber{highest_fencing_number_};
  }
  if (weight_load_) {
    return CommandError::kLoadInProgress;
  }
  Duration duration = options_.weight_load_time;
  if (options_.weight_load_group && ++options_.weight_load_group->loading_servers > 2) {
    duration.ms = static_cast<std::int64_t>(static_cast<double>(duration.ms) *
                                            options_.contended_load_factor);
  }
  const WeightLoadId id{++last_id_};
  weight_load_ =
      WeightLoad{id, std::string(model), std::string(version), time_us_ + duration.ms * 1000};
  return id;
}

void EngineModel::finish_weight_load() {
  const WeightLoad load = *std::exchange(weight_load_, std::nullopt);
  if (options_.weight_load_group) {
    --options_.weight_load_group->loading_servers;
  }
  // Adapters ("model:adapter") use the weights of their base model.
  const bool is_new = models_.emplace(load.model, load.version).second;
  for (auto& [name, version] : models_) {
    const bool uses_weights = name == load.model || name.starts_with(load.model + ":");
    if (!is_new && uses_weights && version != load.version) {
      version = load.version;
      cache_.retire_model(name);
    }
  }
  log_evictions();
  ++counters_.weight_loads;
  finished_weight_loads_.push_back({load.id, true});
  load_changed_ = true;
}

CommandResult EngineModel::load_adapter(std::string_view model,
                                        std::string_view adapter,
                                        std::uint64_t fencing_number,
                                        Instant now) {
  advance(now);
  if (!accept_fencing_number(fencing_number)) {
    return StaleFencingNumber{highest_fencing_number_};
  }
  const auto base = models_.find(std::string(model));
  if (base == models_.end()) {
    return CommandError::kUnknownModel;
  }
  models_[base->first + ":" + std::string(adapter)] = base->second;
  load_changed_ = true;
  record_load();
  return CommandDone{};
}

CommandResult EngineModel::set_role(std::string_view role, std::uint64_t fencing_number) {
  if (!accept_fencing_number(fencing_number)) {
    return StaleFencingNumber{highest_fencing_number_};
  }
  role_ = role;
  return CommandDone{};
}

bool EngineModel::accept_fencing_number(std::uint64_t number) {
  if (number >= highest_fencing_number_) {
    highest_fencing_number_ = number;
    return true;
  }
  ++counters_.stale_commands;
  return !options_.checks_fencing_numbers;
}

void EngineModel::record_load() {
  if (!std::exchange(load_changed_, false)) {
    return;
  }
  LoadReport report{start_id_,
                    static_cast<std::uint32_t>(running_.size()),
                    static_cast<std::uint32_t>(waiting_.size()),
                    kv_tokens_used_,
                    options_.max_kv_tokens,
                    models_};
  load_history_.record(std::move(report), time(), load_lag());
}

}  // namespace bluebellstep::standins
