// Holders of cached parts, and the plan of fetches and saves.

#include "gateway/cache_directory.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"
#include "http1/message_parser.h"

namespace bluebellstep {

std::string cache_scope(std::string_view model,
                        std::uint64_t weight_version,
                        std::string_view account) {
  std::string scope = "w" + std::to_string(weight_version);
  scope.append("/").append(model);
  if (!account.empty()) {
    scope.append("/").append(account);
  }
  return scope;
}

bool CachePlan::saves() const {
  return std::any_of(save.begin(), save.end(), [](const auto& store) { return store.has_value(); });
}

std::uint64_t CacheDirectory::key_of(std::string_view scope, std::uint64_t part) {
  return combine_hashes(hash64(scope), part);
}

const CacheDirectory::Source* CacheDirectory::find(std::string_view name) const {
  const auto found = sources_.find(name);
  return found == sources_.end() ? nullptr : &found->second;
}

void CacheDirectory::set_sources(std::vector<CacheSource> sources) {
  std::map<std::string, Source, std::less<>> next;
  for (CacheSource& info : sources) {
    const auto known = sources_.find(info.name);
    std::string name = info.name;
    const bool same = known != sources_.end() && known->second.info.endpoint == info.endpoint &&
                      known->second.info.started_ms == info.started_ms;
    Source source = same ? std::move(known->second) : Source{};
    source.info = std::move(info);
    next.emplace(std::move(name), std::move(source));
  }
  sources_ = std::move(next);
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

void CacheDirectory::on_events(std::string_view name, const CacheEvents& events, Instant now) {
  const auto found = sources_.find(name);
  if (found == sources_.end()) {
    return;
  }
  Source& source = found->second;
  if (source.epoch != events.epoch) {
    source.epoch = events.epoch;
    source.epoch_since = now;
    clear(source);
  } else if (events.lost && !source.info.is_store) {
    // Evictions may be among what was lost.
    clear(source);
  }
  source.polled = now;
  source.clock_at_poll_ms = events.clock_ms;
  source.next = events.next;
  for (const CacheEvent& event : events.events) {
    Held held{.tokens = event.tokens, .expected_until = std::nullopt, .part = event.part};
    if (source.info.is_store) {
      held.scope = event.scope;
    }
    set_part(source, key_of(event.scope, event.part), std::move(held));
  }
}

std::uint64_t CacheDirectory::next_event(std::string_view name) const {
  const Source* source = find(name);
  return source == nullptr ? 0 : source->next;
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

bool CacheDirectory::may_fetch_from(const Source& source,
                                    std::string_view engine,
                                    std::uint32_t tokens,
                                    Instant now) const {
  if (source.info.name == engine || now < source.avoided_until || !source.polled ||
      (source.info.is_store && now >= *source.polled + kStoreKnowledge)) {
    return false;
  }
  const double limit = std::max(kShortFetchMs, kReadAgainFactor * tokens / kReadTokensPerMs);
  return delay_ms(source, now) < limit;
}

// Returns a source of a part for an engine: stores before engines, since an engine may evict the
// part within a second, and one in the engine's zone if there is any.
const CacheDirectory::Source* CacheDirectory::find_holder(const Source& engine,
                                                          std::uint64_t key,
                                                          std::uint32_t tokens,
                                                          StoreUse use,
                                                          Instant now) const {
  const Source* best = nullptr;
  int best_rank = 0;
  std::uint64_t best_score = 0;
  for (const auto& [name, source] : sources_) {
    if (source.info.is_store && !use.fetch) {
      continue;
    }
    const auto held = source.parts.find(key);
    // A part that is only expected may still be under way, so it is no source.
    if (held == source.parts.end() || held->second.tokens < tokens || held->second.expected_until ||
        !may_fetch_from(source, engine.info.name, tokens, now)) {
      continue;
    }
    const int rank =
        (source.info.is_store ? 2 : 0) + (source.info.zone == engine.info.zone ? 1 : 0);
    const std::uint64_t score = rendezvous_score(hash64(engine.info.name), hash64(name));
    if (best == nullptr || rank > best_rank || (rank == best_rank && score > best_score)) {
      best = &source;
      best_rank = rank;
      best_score = score;
    }
  }
  return best;
}

std::vector<bool> CacheDirectory::fetchable(std::string_view scope,
                                            std::span<const PromptPart> prompt,
                                            StoreUse use,
                                            Instant now) const {
  std::vector<bool> result;
  for (const PromptPart& part : prompt) {
    const std::uint64_t key = key_of(scope, part.id);
    result.push_back(std::any_of(sources_.begin(), sources_.end(), [&](const auto& item) {
      const auto held = item.second.parts.find(key);
      return (use.fetch || !item.second.info.is_store) && held != item.second.parts.end() &&
             held->second.tokens >= part.tokens && !held->second.expected_until &&
             may_fetch_from(item.second, {}, part.tokens, now);
    }));
  }
  return result;
}

CacheDirectory::Coverage CacheDirectory::coverage(std::string_view engine,
                                                  std::string_view scope,
                                                  std::span<const PromptPart> prompt,
                                                  const std::vector<bool>& fetchable,
                                                  Instant now) const {
  const Source* source = find(engine);
  Coverage result;
  // A part is of use only if all parts before it are there.
  for (std::size_t i = 0; source != nullptr && i < prompt.size(); ++i) {
    if (holds(*source, key_of(scope, prompt[i].id), prompt[i].tokens, now)) {
      result.held_tokens += prompt[i].tokens;
    } else if (fetchable[i]) {
      result.fetched_tokens += prompt[i].tokens;
    } else {
      break;
    }
  }
  return result;
}

bool CacheDirectory::stored_anywhere(std::uint64_t key, std::uint32_t tokens) const {
  return std::any_of(sources_.begin(), sources_.end(), [&](const auto& item) {
    const auto held = item.second.parts.find(key);
    return item.second.info.is_store && held != item.second.parts.end() &&
           held->second.tokens >= tokens;
  });
}

// Returns the store for a part: with room, in the engine's zone if there is one.
CacheDirectory::Source* CacheDirectory::choose_store(const Source& engine,
                                                     std::uint64_t key,
                                                     std::uint32_t tokens,
                                                     Instant now) {
  Source* best = nullptr;
  bool best_near = false;
  std::uint64_t best_score = 0;
  for (auto& [name, source] : sources_) {
    const double limit = static_cast<double>(source.info.capacity_tokens) * kFillShare;
    if (!source.info.is_store || !source.polled || now >= *source.polled + kStoreKnowledge ||
        now < source.epoch_since + kSaveHold ||
        static_cast<double>(source.stored_tokens + tokens) > limit) {
      continue;
    }
    const bool near = source.info.zone == engine.info.zone;
    const std::uint64_t score = rendezvous_score(key, hash64(name));
    if (best == nullptr || near > best_near || (near == best_near && score > best_score)) {
      best = &source;
      best_near = near;
      best_score = score;
    }
  }
  return best;
}

CachePlan CacheDirectory::plan(std::string_view engine_name,
                               std::string_view scope,
                               std::span<const PromptPart> prompt,
                               StoreUse use,
                               Instant now) {
  CachePlan plan;
  const Source* engine = find(engine_name);
  if (engine == nullptr) {
    return plan;
  }
  plan.fetch.resize(prompt.size());
  plan.save.resize(prompt.size());
  bool reachable = true;  // All parts so far are at the engine or fetched.
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    const PromptPart& part = prompt[i];
    const std::uint64_t key = key_of(scope, part.id);
    if (reachable) {
      const bool held = holds(*engine, key, part.tokens, now);
      // A source is named also for parts that the engine should hold: it may have evicted them
      // since its last event, and fetches only what it lacks.
      const Source* holder = find_holder(*engine, key, part.tokens, use, now);
      reachable = held || holder != nullptr;
      if (holder != nullptr) {
        plan.fetch[i] = holder->info.endpoint;
        plan.fetched_tokens += held ? 0 : part.tokens;
        if (holder->info.is_store) {
          const std::int64_t until = holder->clock_at_poll_ms + kFetchLimit.ms;
          plan.fetch_until_ms = std::min(plan.fetch_until_ms.value_or(until), until);
        }
      }
    }
    const bool shared = i + 1 < prompt.size();
    if (use.save && shared && part.tokens >= kLeastSavedTokens &&
        !stored_anywhere(key, part.tokens)) {
      if (const Source* store = choose_store(*engine, key, part.tokens, now)) {
        plan.save[i] = store->info.endpoint;
      }
    }
  }
  return plan;
}

void CacheDirectory::sent(std::string_view engine_name,
                          std::string_view scope,
                          std::span<const PromptPart> prompt,
                          const CachePlan& plan,
                          Instant now) {
  for (auto& [name, source] : sources_) {
    for (std::size_t i = 0; i < prompt.size(); ++i) {
      const bool arrives = source.info.is_store
                               ? i < plan.save.size() && plan.save[i] == source.info.endpoint
                               : name == engine_name;
      const std::uint64_t key = key_of(scope, prompt[i].id);
      if (!arrives || holds(source, key, prompt[i].tokens, now)) {
        continue;
      }
      Held held{.tokens = prompt[i].tokens, .expected_until = now + kExpectation};
      held.part = prompt[i].id;
      if (source.info.is_store) {
        held.scope = std::string(scope);
      }
      set_part(source, key, std::move(held));
    }
  }
}

void CacheDirectory::avoid(std::string_view engine, Instant until) {
  if (const auto found = sources_.find(engine); found != sources_.end()) {
    found->second.avoided_until = std::max(found->second.avoided_until, until);
  }
}

std::vector<CacheDirectory::StoredPart> CacheDirectory::stored_before(std::string_view store,
                                                                      std::string_view model,
                                                                      std::uint64_t version) const {
  std::vector<StoredPart> parts;
  const Source* source = find(store);
  if (source == nullptr) {
    return parts;
  }
  for (const auto& [key, held] : source->parts) {
    const std::string_view scope = held.scope;
    const std::size_t slash = scope.find('/');
    if (held.expected_until || !scope.starts_with('w') || slash == std::string_view::npos) {
      continue;
    }
    const auto stored_version = parse_decimal(scope.substr(1, slash - 1));
    std::string_view stored_model = scope.substr(slash + 1);
    stored_model = stored_model.substr(0, stored_model.find('/'));
    if (stored_version && *stored_version < version && stored_model == model) {
      parts.push_back({held.scope, held.part});
    }
  }
  return parts;
}

std::optional<std::uint64_t> CacheDirectory::epoch(std::string_view name) const {
  const Source* source = find(name);
  return source == nullptr ? std::nullopt : source->epoch;
}

std::vector<CacheSource> CacheDirectory::sources() const {
  std::vector<CacheSource> result;
  for (const auto& [name, source] : sources_) {
    result.push_back(source.info);
  }
  return result;
}

}  // namespace bluebellstep
