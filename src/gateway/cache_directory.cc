// FetchCandidates of cached parts, and the plan of fetches and saves.

#include "gateway/cache_directory.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <set>
#include <utility>

#include "base/hash.h"
#include "http1/message_parser.h"

namespace bluebellstep {

std::string cache_namespace(std::string_view model,
                            std::uint64_t weight_version,
                            std::string_view account) {
  std::string cache_namespace = "w" + std::to_string(weight_version);
  cache_namespace.append("/").append(model);
  if (!account.empty()) {
    cache_namespace.append("/").append(account);
  }
  return cache_namespace;
}

bool CachePlan::saves() const {
  return std::any_of(save.begin(), save.end(), [](const auto& store) { return store.has_value(); });
}

std::uint64_t CacheDirectory::key_of(std::string_view cache_namespace, std::uint64_t segment) {
  return combine_hashes(hash64(cache_namespace), segment);
}

const CacheDirectory::Source* CacheDirectory::find(std::string_view name) const {
  const auto found = sources_.find(name);
  return found == sources_.end() ? nullptr : &found->second;
}

void CacheDirectory::set_nodes(std::vector<CacheNode> sources) {
  std::map<std::string, Source, std::less<>> next;
  std::set<std::string> zones;
  engines_.clear();
  for (CacheNode& info : sources) {
    const auto known = sources_.find(info.name);
    std::string name = info.name;
    const bool same = known != sources_.end() && known->second.info.endpoint == info.endpoint &&
                      known->second.info.started_ms == info.started_ms;
    Source source = same ? std::move(known->second) : Source{};
    source.info = std::move(info);
    source.name_hash = hash64(name);
    zones.insert(source.info.zone);
    if (!source.info.is_store) {
      engines_.emplace(LoadAggregator::key_of(source.name_hash), name);
    }
    next.emplace(std::move(name), std::move(source));
  }
  sources_ = std::move(next);
  zones_.assign(zones.begin(), zones.end());
}

void CacheDirectory::clear(Source& source) {
  source.parts.clear();
  source.stored_tokens = 0;
}

void CacheDirectory::set_part(Source& source, std::uint64_t key, Held held) {
  Held& known = source.parts[key];
  source.stored_tokens += held.tokens;
  source.stored_tokens -= std::min<std::uint64_t>(source.stored_tokens, known.tokens);
  if (held.tokens == 0) {
    source.parts.erase(key);
    return;
  }
  known = std::move(held);
}

void CacheDirectory::on_events(std::string_view name, const CachePollResult& events, Instant now) {
  const auto found = sources_.find(name);
  if (found == sources_.end()) {
    return;
  }
  Source& source = found->second;
  if (source.epoch != events.epoch) {
    source.epoch = events.epoch;
    source.epoch_since = now;
    clear(source);
  } else if (events.events_lost && !source.info.is_store) {
    // Evictions may be among what was lost.
    clear(source);
  }
  source.polled = now;
  source.clock_at_poll_ms = events.clock_ms;
  source.next = events.next;
  for (const SegmentEvent& event : events.events) {
    Held held{.tokens = event.tokens, .expected_until = std::nullopt, .segment = event.segment};
    if (source.info.is_store) {
      held.cache_namespace = event.cache_namespace;
    }
    set_part(source, key_of(event.cache_namespace, event.segment), std::move(held));
  }
}

std::uint64_t CacheDirectory::next_event(std::string_view name) const {
  const Source* source = find(name);
  if (source == nullptr) {
    return 0;
  }
  // What an engine stored long ago it has evicted since.
  return source->info.is_store || source->polled ? source->next : kFromNewestEvent;
}

bool CacheDirectory::holds(const Source& source,
                           std::uint64_t key,
                           std::uint32_t tokens,
                           Instant now) const {
  const auto held = source.parts.find(key);
  if (held == source.parts.end() || held->second.tokens < tokens) {
    return false;
  }
  return !held->second.expected_until || now < *held->second.expected_until;
}

double CacheDirectory::delay_ms(const Source& source, Instant now) {
  const double age = static_cast<double>((now - source.delay_at).ms);
  return source.delay_ms * std::exp2(-age / static_cast<double>(kDelayHalfLife.ms));
}

void CacheDirectory::observed(std::span<const std::optional<Endpoint>> sources,
                              Duration delay,
                              Instant now) {
  for (auto& [name, source] : sources_) {
    if (std::find(sources.begin(), sources.end(), source.info.endpoint) == sources.end()) {
      continue;
    }
    const double sample = static_cast<double>(std::max<std::int64_t>(0, delay.ms));
    source.delay_ms = (1 - kDelayWeight) * delay_ms(source, now) + kDelayWeight * sample;
    source.delay_at = now;
  }
}

bool CacheDirectory::is_usable(const Source& source, Instant now) {
  return now >= source.avoided_until && source.polled &&
         (!source.info.is_store || now < *source.polled + kStoreKnowledge);
}

double CacheDirectory::transfer_ms(const Source& source,
                                   std::string_view zone,
                                   std::uint32_t tokens) const {
  const double factor = source.info.zone == zone ? 1 : kOtherZoneFactor;
  return source.info.start_ms + factor * tokens / source.info.tokens_per_ms;
}

double CacheDirectory::wait_ms(const Source& source, Instant now) const {
  const std::uint64_t under_way =
      source.transfer_ms + board_.others(LoadAggregator::key_of(source.name_hash)).transfer_ms;
  return static_cast<double>(under_way) + delay_ms(source, now);
}

CacheDirectory::FetchCandidates::Candidate CacheDirectory::FetchCandidates::find(
    std::size_t segment,
    const Source& engine) const {
  const auto zone = std::find(zones_.begin(), zones_.end(), engine.info.zone);
  if (zone == zones_.end()) {
    return {};
  }
  const Best& best = parts_[segment][static_cast<std::size_t>(zone - zones_.begin())];
  return best[0].source == &engine ? best[1] : best[0];
}

CacheDirectory::FetchCandidates CacheDirectory::holders(std::string_view cache_namespace,
                                                        std::span<const PromptPart> prompt,
                                                        StoreUse use,
                                                        std::uint64_t tie_breaker,
                                                        Instant now) const {
  FetchCandidates result;
  result.zones_ = zones_;
  for (const PromptPart& segment : prompt) {
    std::vector<FetchCandidates::Best>& by_zone = result.parts_.emplace_back(zones_.size());
    const std::uint64_t key = key_of(cache_namespace, segment.id);
    const double read_ms = kReadAgainFactor * segment.tokens / kReadTokensPerMs;
    const double limit = std::max(kShortFetchMs, read_ms);
    for (const auto& [name, source] : sources_) {
      const auto held = source.parts.find(key);
      // A part that is only expected may still be under way, so it is no source.
      if (held == source.parts.end() || held->second.tokens < segment.tokens ||
          held->second.expected_until || (source.info.is_store && !use.fetch) ||
          !is_usable(source, now)) {
        continue;
      }
      const double wait = wait_ms(source, now);
      const double extra =
          (source.info.is_store ? 0 : kEvictedShare * read_ms) +
          kSourceSpreadMs * unit_interval(rendezvous_score(tie_breaker, source.name_hash));
      for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
        const double transfer = transfer_ms(source, zones_[zone], segment.tokens);
        const FetchCandidates::Candidate candidate{.source = &source,
                                                   .cost_ms = wait + transfer + extra,
                                                   .wait_ms = wait,
                                                   .transfer_ms = transfer};
        auto& [first, second] = by_zone[zone];
        if (wait + transfer >= limit) {
          continue;
        }
        if (first.source == nullptr || candidate.cost_ms < first.cost_ms) {
          second = std::exchange(first, candidate);
        } else if (second.source == nullptr || candidate.cost_ms < second.cost_ms) {
          second = candidate;
        }
      }
    }
  }
  return result;
}

CacheDirectory::Coverage CacheDirectory::coverage(std::string_view engine,
                                                  std::string_view cache_namespace,
                                                  std::span<const PromptPart> prompt,
                                                  const FetchCandidates& holders,
                                                  Instant now) const {
  const Source* source = find(engine);
  Coverage result;
  double wait = 0;
  // A part is of use only if all parts before it are there.
  for (std::size_t i = 0; source != nullptr && i < prompt.size(); ++i) {
    if (holds(*source, key_of(cache_namespace, prompt[i].id), prompt[i].tokens, now)) {
      result.held_tokens += prompt[i].tokens;
      continue;
    }
    const FetchCandidates::Candidate holder = holders.find(i, *source);
    if (holder.source == nullptr) {
      break;
    }
    result.fetched_tokens += prompt[i].tokens;
    result.fetch_ms += holder.transfer_ms;
    wait = std::max(wait, holder.wait_ms);
  }
  result.fetch_ms += wait;
  return result;
}

bool CacheDirectory::stored_anywhere(std::uint64_t key, std::uint32_t tokens) const {
  return std::any_of(sources_.begin(), sources_.end(), [&](const auto& item) {
    const auto held = item.second.parts.find(key);
    return item.second.info.is_store && held != item.second.parts.end() &&
           held->second.tokens >= tokens;
  });
}

// Returns the store for a part: with room, and if possible one whose start does not take longer
// than the part is worth, in the engine's zone, with the longest start. Stores that start at once
// are few, and small parts need them most.
const CacheDirectory::Source* CacheDirectory::choose_store(const Source& engine,
                                                           std::uint64_t key,
                                                           std::uint32_t tokens,
                                                           Instant now) const {
  struct Rank {
    bool start_is_short = false;
    bool near = false;
    double start_ms = 0;
    std::uint64_t score = 0;
    auto operator<=>(const Rank&) const = default;
  };
  const Source* best = nullptr;
  Rank best_rank;
  for (const auto& [name, source] : sources_) {
    const double limit = static_cast<double>(source.info.capacity_tokens) * kFillShare;
    if (!source.info.is_store || !is_usable(source, now) || now < source.epoch_since + kSaveHold ||
        static_cast<double>(source.stored_tokens + tokens) > limit) {
      continue;
    }
    const bool start_is_short =
        tokens >= kSmallPartStarts * source.info.start_ms * source.info.tokens_per_ms;
    const Rank rank{.start_is_short = start_is_short,
                    .near = source.info.zone == engine.info.zone,
                    .start_ms = start_is_short ? source.info.start_ms : -source.info.start_ms,
                    .score = rendezvous_score(key, source.name_hash)};
    if (best == nullptr || rank > best_rank) {
      best = &source;
      best_rank = rank;
    }
  }
  return best;
}

CachePlan CacheDirectory::plan(std::string_view engine_name,
                               std::string_view cache_namespace,
                               std::span<const PromptPart> prompt,
                               const FetchCandidates& holders,
                               StoreUse use,
                               Instant now) const {
  CachePlan plan;
  const Source* engine = find(engine_name);
  if (engine == nullptr) {
    return plan;
  }
  plan.fetch.resize(prompt.size());
  plan.save.resize(prompt.size());
  plan.transfer_ms.resize(prompt.size());
  bool reachable = true;  // All parts so far are at the engine or fetched.
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    const PromptPart& segment = prompt[i];
    const std::uint64_t key = key_of(cache_namespace, segment.id);
    if (reachable) {
      const bool held = holds(*engine, key, segment.tokens, now);
      // A source is named also for parts that the engine should hold: it may have evicted them
      // since its last event, and fetches only what it lacks.
      const FetchCandidates::Candidate holder = holders.find(i, *engine);
      reachable = held || holder.source != nullptr;
      if (holder.source != nullptr) {
        const CacheNode& source = holder.source->info;
        plan.fetch[i] = source.endpoint;
        if (!held) {
          plan.fetched_tokens += segment.tokens;
          plan.fetch_ms = std::max(plan.fetch_ms, holder.wait_ms) + holder.transfer_ms;
          plan.transfer_ms[i] = static_cast<std::uint32_t>(std::ceil(holder.transfer_ms));
        }
        if (source.is_store) {
          const std::int64_t until = holder.source->clock_at_poll_ms + kFetchLimit.ms;
          plan.fetch_until_ms = std::min(plan.fetch_until_ms.value_or(until), until);
        }
      }
    }
    const bool shared = i + 1 < prompt.size();
    if (use.save && shared && segment.tokens >= kLeastSavedTokens &&
        !stored_anywhere(key, segment.tokens)) {
      if (const Source* store = choose_store(*engine, key, segment.tokens, now)) {
        plan.save[i] = store->info.endpoint;
      }
    }
  }
  return plan;
}

void CacheDirectory::record_sent(std::string_view engine_name,
                                 std::string_view cache_namespace,
                                 std::span<const PromptPart> prompt,
                                 const CachePlan& plan,
                                 Instant now) {
  for (auto& [name, source] : sources_) {
    for (std::size_t i = 0; i < prompt.size(); ++i) {
      if (i < plan.fetch.size() && plan.fetch[i] == source.info.endpoint) {
        source.transfer_ms += plan.transfer_ms[i];
      }
      const bool arrives = source.info.is_store
                               ? i < plan.save.size() && plan.save[i] == source.info.endpoint
                               : name == engine_name;
      const std::uint64_t key = key_of(cache_namespace, prompt[i].id);
      if (!arrives || holds(source, key, prompt[i].tokens, now)) {
        continue;
      }
      Held held{.tokens = prompt[i].tokens, .expected_until = now + kExpectation};
      held.segment = prompt[i].id;
      if (source.info.is_store) {
        held.cache_namespace = std::string(cache_namespace);
      } else if (i + 1 < prompt.size() && prompt[i].tokens >= kLeastToldTokens) {
        sent_parts_.push_back({.upstream = LoadAggregator::key_of(source.name_hash),
                               .key = key,
                               .tokens = prompt[i].tokens});
      }
      set_part(source, key, std::move(held));
    }
  }
}

void CacheDirectory::record_sent_by_peers(std::span<const SentSegment> parts, Instant now) {
  for (const SentSegment& segment : parts) {
    const auto name = engines_.find(segment.upstream);
    if (name == engines_.end()) {
      continue;  // An engine that this gateway does not know yet.
    }
    Source& source = sources_.at(name->second);
    if (!holds(source, segment.key, segment.tokens, now)) {
      set_part(source, segment.key,
               {.tokens = segment.tokens, .expected_until = now + kExpectation});
    }
  }
}

void CacheDirectory::fetched(const CachePlan& plan) {
  for (auto& [name, source] : sources_) {
    for (std::size_t i = 0; i < plan.fetch.size(); ++i) {
      if (plan.fetch[i] == source.info.endpoint) {
        source.transfer_ms -= std::min<std::uint64_t>(source.transfer_ms, plan.transfer_ms[i]);
      }
    }
  }
}

std::vector<UpstreamLoad> CacheDirectory::transfer_lines() const {
  std::vector<UpstreamLoad> lines;
  for (const auto& [name, source] : sources_) {
    if (source.transfer_ms > 0) {
      lines.push_back({.upstream = LoadAggregator::key_of(source.name_hash),
                       .in_flight = {.transfer_ms = source.transfer_ms}});
    }
  }
  return lines;
}

void CacheDirectory::avoid(std::string_view engine, Instant until) {
  if (const auto found = sources_.find(engine); found != sources_.end()) {
    found->second.avoided_until = std::max(found->second.avoided_until, until);
  }
}

std::vector<CacheDirectory::StoredSegment> CacheDirectory::stored_before(
    std::string_view store,
    std::string_view model,
    std::uint64_t version) const {
  std::vector<StoredSegment> parts;
  const Source* source = find(store);
  if (source == nullptr) {
    return parts;
  }
  for (const auto& [key, held] : source->parts) {
    const std::string_view cache_namespace = held.cache_namespace;
    const std::size_t slash = cache_namespace.find('/');
    if (held.expected_until || !cache_namespace.starts_with('w') ||
        slash == std::string_view::npos) {
      continue;
    }
    const auto stored_version = parse_decimal(cache_namespace.substr(1, slash - 1));
    std::string_view stored_model = cache_namespace.substr(slash + 1);
    stored_model = stored_model.substr(0, stored_model.find('/'));
    if (stored_version && *stored_version < version && stored_model == model) {
      parts.push_back({held.cache_namespace, held.segment});
    }
  }
  return parts;
}

std::optional<std::uint64_t> CacheDirectory::epoch(std::string_view name) const {
  const Source* source = find(name);
  return source == nullptr ? std::nullopt : source->epoch;
}

std::vector<CacheNode> CacheDirectory::sources() const {
  std::vector<CacheNode> result;
  for (const auto& [name, source] : sources_) {
    result.push_back(source.info);
  }
  return result;
}

}  // namespace bluebellstep
