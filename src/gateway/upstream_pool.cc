// Choice of upstreams: waits, cached parts, cold upstreams, failures. Weight versions are in
// upstream_weights.cc.

#include "gateway/upstream_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"

namespace bluebellstep {
namespace {

// Prompt tokens that an engine reads in a millisecond, by the deployments' sheets.
constexpr double kPrefillTokensPerMs = 50;
// Added wait by each request that an engine runs or holds in its queue, in ms.
constexpr double kWaitPerRunning = 0.4;
constexpr double kWaitPerQueued = 15;
// Share of an engine's memory that prompts of running requests can fill before others wait, and the
// wait of a request that finds no room, in ms.
constexpr double kUsableMemoryShare = 0.9;
constexpr double kNoRoomMs = 250;
// Cost of a kilobyte that is sent to another zone, in ms.
constexpr double kOtherZoneMsPerKb = 0.2;
// Work of one request at a plain service, in ms; only ratios of waits matter.
constexpr double kPlainWorkMs = 20;
// A reported load counts half after this time.
constexpr double kLoadHalfLifeMs = 400;
// Cost of another zone: the way there and back, and the bytes. In ms.
constexpr double kOtherZoneMs = 4;
// Parts that are shared by less than this are read again sooner than looked for.
constexpr std::uint32_t kLeastAffinityTokens = 512;
// Share of the time to read a shared part that the choice of an upstream of this rank costs where
// nothing is known of its cache: other gateways send the part to the first ranks too.
constexpr double kRankCost[] = {0.35, 0.7, 1.0};
// Upstreams whose scores differ by less than this count as equal, and each request orders them in
// its own way: gateways that choose within the time of a report see the same loads, and would all
// choose the same upstream. About the wait that all gateways together add in that time, in ms.
constexpr double kEngineSpreadMs = 20;
constexpr double kPlainSpreadMs = 3;
// Shared parts that are read again are charged besides the time that they take.
constexpr double kReadAgainFactor = 3;

constexpr Duration kShunNotReached{400};
// A fetch from an engine that is gone takes some hundred ms.
constexpr Duration kAvoidAsSource{3000};
constexpr Duration kShunMisdirected{200};
// The entry of an upstream that crashed vanishes after three of its reports are missing.
constexpr Duration kShunReplaced{4000};
// Time from a read prompt to the first event, with the way there and back, in ms.
constexpr double kFirstTokenMs = 30;
constexpr Duration kShunFull{100};
// About the time in which an engine lets its runs finish and loads weights.
constexpr Duration kShunLoading{800};
constexpr Duration kRateWindow{1000};
// Part of the bound on cold upstreams that is used; the rest covers late arrivals.
constexpr double kColdSafetyShare = 0.85;
// An upstream that is not known to be cold may get this multiple, in case it turned cold.
constexpr double kWarmFactor = 2;
// A gateway counts with at most this multiple of an even share of all requests.
constexpr double kLargestShareInEven = 4;
constexpr Duration kRetryNoUpstream{400};
constexpr Duration kRetryCold{250};
// Part of `max_connections` that is used.
constexpr double kConnectionSafetyShare = 0.9;

// Key of a prompt for the ranking of upstreams: its first large part that others share.
std::optional<PromptPart> shared_part(const PickQuery& query) {
  for (std::size_t i = 0; i + 1 < query.prompt.size(); ++i) {
    if (query.prompt[i].tokens >= kLeastAffinityTokens) {
      return query.prompt[i];
    }
  }
  return std::nullopt;
}

void drop_before(std::deque<Instant>& times, Instant limit) {
  while (!times.empty() && times.front() <= limit) {
    times.pop_front();
  }
}

}  // namespace

void UpstreamPool::put(UpstreamRegistration entry, Instant now) {
  const auto found = upstreams_.find(entry.id);
  const bool new_start = found == upstreams_.end() ||
                         found->second.entry.started_ms != entry.started_ms ||
                         found->second.entry.endpoint != entry.endpoint;
  if (new_start) {
    Upstream upstream;
    // Finished requests of the earlier start are still reported.
    upstream.in_flight = found == upstreams_.end() ? InFlight{} : found->second.in_flight;
    upstream.cold_until = now + entry.remaining_cold_time;
    std::string id = entry.id;
    upstream.id_hash = hash64(id);
    upstream.entry = std::move(entry);
    upstreams_.insert_or_assign(std::move(id), std::move(upstream));
    return;
  }
  Upstream& upstream = found->second;
  upstream.cold_until = std::max(upstream.cold_until, now + entry.remaining_cold_time);
  for (const auto& [model, version] : upstream.entry.weight_versions) {
    // Versions only rise, and responses show them before the entry does.
    std::uint64_t& newest = entry.weight_versions[model];
    newest = std::max(newest, version);
  }
  upstream.entry = std::move(entry);
  upstream.lapsed_until.reset();
}

void UpstreamPool::remove(std::string_view id, Instant now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  const bool around_outage =
      unreachable_since_ || (reachable_since_ && now < *reachable_since_ + limits_.lapse_grace);
  if (around_outage && !found->second.entry.leaving) {
    found->second.lapsed_until = (reachable_since_ ? *reachable_since_ : now) + limits_.lapse_grace;
    return;
  }
  upstreams_.erase(found);
}

void UpstreamPool::replace_all(std::vector<UpstreamRegistration> entries, Instant now) {
  std::set<std::string, std::less<>> present;
  for (UpstreamRegistration& entry : entries) {
    present.insert(entry.id);
    put(std::move(entry), now);
  }
  std::vector<std::string> missing;
  for (const auto& [id, upstream] : upstreams_) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    remove(id, now);
  }
}

void UpstreamPool::note_store(bool reachable, Instant now) {
  if (!reachable) {
    unreachable_since_ = unreachable_since_.value_or(now);
    reachable_since_.reset();
  } else if (unreachable_since_) {
    unreachable_since_.reset();
    reachable_since_ = now;
  }
}

void UpstreamPool::drop_lapsed(Instant now) {
  if (unreachable_since_) {
    return;
  }
  std::erase_if(upstreams_, [&](const auto& item) {
    const auto& until = item.second.lapsed_until;
    return until && now >= std::max(*until, *reachable_since_ + limits_.lapse_grace);
  });
}

bool UpstreamPool::is_cold(const Upstream& upstream, Instant now) const {
  return now < upstream.cold_until;
}

// The part of all gateways' requests that this one sends. The balancer divides connections
// unevenly, so that an even share would bind the busiest gateways long before the upstreams are
// busy.
double UpstreamPool::traffic_share(Instant now) {
  drop_before(recent_sends_, now - kRateWindow);
  const auto own = static_cast<double>(recent_sends_.size()) + 1;
  const auto others = static_cast<double>(board_.others_sends());
  const double even = 1 / static_cast<double>(gateways_);
  if (others == 0) {
    return even;  // Nobody is heard, which does not mean that nobody sends.
  }
  return std::clamp(own / (own + others), even, std::min(1.0, kLargestShareInEven * even));
}

bool UpstreamPool::has_room(Upstream& upstream,
                            const ServiceInfo& service,
                            double traffic_share,
                            Instant now) const {
  drop_before(upstream.recent_sends, now - kRateWindow);
  if (service.cold_requests_per_s <= 0) {
    return true;
  }
  const double bound = service.cold_requests_per_s * limits_.cold_overage + limits_.cold_slack;
  const double share =
      is_cold(upstream, now) ? 1 / static_cast<double>(gateways_) : kWarmFactor * traffic_share;
  return static_cast<double>(upstream.recent_sends.size()) + 1 <=
         std::max(1.0, bound * kColdSafetyShare * share);
}

// Whether an upstream that may get the query seems to serve at present.
bool UpstreamPool::is_usable(Upstream& upstream, const PickQuery& query, Instant now) const {
  const std::uint32_t others = board_.others(LoadBoard::key_of(upstream.id_hash)).failures;
  return now >= upstream.shunned_until && upstream.health.may_get(query.may_retry, others, now);
}

bool UpstreamPool::may_get(const Upstream& upstream, const PickQuery& query, Instant now) const {
  const UpstreamRegistration& entry = upstream.entry;
  if (entry.leaving || entry.service != query.service->name || zones_out_.contains(entry.zone) ||
      std::find(query.excluded.begin(), query.excluded.end(), entry.id) != query.excluded.end()) {
    return false;
  }
  if (query.model.empty() || !query.service->engine) {
    return true;
  }
  const auto version = version_of(upstream, query.model);
  return version && !is_outdated(*version, query.model, now);
}

double UpstreamPool::wait_ms(const Upstream& upstream, const PickQuery& query, Instant now) const {
  const double age = static_cast<double>((now - upstream.load_at).ms);
  const double fresh = std::exp2(-age / kLoadHalfLifeMs);
  InFlight in_flight = board_.others(LoadBoard::key_of(upstream.id_hash));
  in_flight += upstream.in_flight;
  if (!query.service->engine) {
    const double held = std::max(static_cast<double>(in_flight.requests),
                                 fresh * (upstream.load.running + upstream.load.waiting));
    const double slots = std::max<std::uint32_t>(1, upstream.entry.slots);
    return held * kPlainWorkMs / slots;
  }
  const double running =
      std::max(static_cast<double>(in_flight.requests), fresh * upstream.load.running);
  double wait = static_cast<double>(in_flight.unread_tokens) / kPrefillTokensPerMs +
                running * kWaitPerRunning + fresh * upstream.load.waiting * kWaitPerQueued;
  // Running requests keep their prompts in memory; one that finds no room waits for others to end.
  const double memory =
      static_cast<double>(query.service->engine->kv_capacity_tokens) * kUsableMemoryShare;
  const double needed = static_cast<double>(in_flight.held_tokens) + query.prompt_tokens;
  if (needed > memory && memory > 0) {
    wait += kNoRoomMs * needed / memory;
  }
  return wait;
}

const UpstreamPool::PromptKnowledge& UpstreamPool::knowledge_of(const Upstream& upstream,
                                                                const PickQuery& query,
                                                                KnowledgeByVersion& knowledge,
                                                                Instant now) const {
  const std::uint64_t version = version_of(upstream, query.model).value_or(0);
  const auto known = knowledge.find(version);
  if (known != knowledge.end()) {
    return known->second;
  }
  PromptKnowledge added;
  const bool isolated = query.account != nullptr && query.account->isolated;
  added.scope = cache_scope(query.model, version, isolated ? query.account->name : "");
  const auto rollout = rollouts_.find(query.model);
  added.stores = {.fetch = rollout == rollouts_.end() || version >= rollout->second.complete,
                  .save = version >= newest_wanted(query.model)};
  added.holders = cache_.holders(added.scope, query.prompt, added.stores, query.spread, now);
  return knowledge.emplace(version, std::move(added)).first->second;
}

double UpstreamPool::spread_ms(const Upstream& upstream, const PickQuery& query) {
  const double limit = query.service->engine ? kEngineSpreadMs : kPlainSpreadMs;
  return limit * unit_interval(rendezvous_score(query.spread, upstream.id_hash));
}

double UpstreamPool::score(const Upstream& upstream,
                           const PickQuery& query,
                           std::size_t rank,
                           KnowledgeByVersion& knowledge,
                           Instant now) const {
  double score = wait_ms(upstream, query, now) + spread_ms(upstream, query);
  if (upstream.entry.zone != query.zone) {
    score += kOtherZoneMs + kOtherZoneMsPerKb * static_cast<double>(query.body_bytes) / 1024;
  }
  if (!query.service->engine) {
    return score;
  }
  const PromptKnowledge& known = knowledge_of(upstream, query, knowledge, now);
  const CacheDirectory::Coverage coverage =
      cache_.coverage(upstream.entry.id, known.scope, query.prompt, known.holders, now);
  score += coverage.fetch_ms;
  const std::uint32_t own = query.prompt.empty() ? 0 : query.prompt.back().tokens;
  const std::uint32_t shared = query.prompt_tokens - std::min(own, query.prompt_tokens);
  const std::uint32_t covered = coverage.held_tokens + coverage.fetched_tokens;
  if (covered < shared) {
    const double cost = kRankCost[std::min(rank, std::size(kRankCost) - 1)] * kReadAgainFactor;
    score += cost * (shared - covered) / kPrefillTokensPerMs;
  }
  if (version_of(upstream, query.model).value_or(0) < newest_wanted(query.model)) {
    // Answers of older weights count less.
    constexpr double kOlderWeightsMs = 120;
    score += kOlderWeightsMs;
  }
  return score;
}

PickResult UpstreamPool::pick(const PickQuery& query, Instant now) {
  struct Candidate {
    Upstream* upstream;
    std::uint64_t affinity;
  };
  std::vector<Candidate> candidates;
  const auto shared = shared_part(query);
  const double own_share = traffic_share(now);
  bool limited = false;
  for (int pass = 0; pass < 2 && candidates.empty(); ++pass) {
    // Upstreams that failed just now are used only where there is no other.
    const bool take_shunned = pass == 1;
    for (auto& [id, upstream] : upstreams_) {
      if (!may_get(upstream, query, now) || (!take_shunned && !is_usable(upstream, query, now))) {
        continue;
      }
      if (!has_room(upstream, *query.service, own_share, now)) {
        limited = true;
        continue;
      }
      candidates.push_back(
          {&upstream, shared ? rendezvous_score(shared->id, upstream.id_hash) : std::uint64_t{0}});
    }
  }
  if (candidates.empty()) {
    return limited ? NonePicked{kRetryCold, "upstreams_cold"}
                   : NonePicked{kRetryNoUpstream, "no_upstream"};
  }
  if (shared) {
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& a, const Candidate& b) { return a.affinity > b.affinity; });
  }
  const Candidate* best = nullptr;
  double best_score = 0;
  KnowledgeByVersion knowledge;
  for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
    const double value = score(*candidates[rank].upstream, query, rank, knowledge, now);
    if (best == nullptr || value < best_score) {
      best = &candidates[rank];
      best_score = value;
    }
  }
  const UpstreamRegistration& entry = best->upstream->entry;
  Picked picked{.upstream_id = entry.id,
                .endpoint = entry.endpoint,
                .weight_version = version_of(*best->upstream, query.model),
                .expected_ms = wait_ms(*best->upstream, query, now)};
  if (query.service->engine) {
    const PromptKnowledge& known = knowledge_of(*best->upstream, query, knowledge, now);
    const CacheDirectory::Coverage coverage =
        cache_.coverage(entry.id, known.scope, query.prompt, known.holders, now);
    picked.cache_scope = known.scope;
    picked.held_tokens = coverage.held_tokens;
    picked.cache =
        cache_.plan(entry.id, known.scope, query.prompt, known.holders, known.stores, now);
    picked.uncached_tokens =
        query.prompt_tokens -
        std::min(query.prompt_tokens, coverage.held_tokens + picked.cache.fetched_tokens);
  }
  return picked;
}

void UpstreamPool::sent(const Picked& picked, const PickQuery& query, Instant now) {
  const auto found = upstreams_.find(picked.upstream_id);
  if (found == upstreams_.end()) {
    return;
  }
  Upstream& upstream = found->second;
  upstream.in_flight +=
      {.requests = 1, .unread_tokens = picked.uncached_tokens, .held_tokens = query.prompt_tokens};
  upstream.recent_sends.push_back(now);
  upstream.health.sent();
  recent_sends_.push_back(now);
  if (query.service->engine) {
    cache_.sent(picked.upstream_id, picked.cache_scope, query.prompt, picked.cache, now);
  }
  if (prompt_sent_ && picked.uncached_tokens > 0) {
    prompt_sent_(picked.uncached_tokens);
  }
}

void UpstreamPool::prompt_read(const Picked& picked) {
  cache_.fetched(picked.cache);
  if (const auto found = upstreams_.find(picked.upstream_id); found != upstreams_.end()) {
    std::uint64_t& unread = found->second.in_flight.unread_tokens;
    unread -= std::min<std::uint64_t>(unread, picked.uncached_tokens);
  }
}

void UpstreamPool::answer_began(const Picked& picked, Duration elapsed, Instant now) {
  if (!picked.cache.fetches()) {
    return;
  }
  const auto expected =
      static_cast<std::int64_t>(picked.expected_ms + picked.cache.fetch_ms +
                                picked.uncached_tokens / kPrefillTokensPerMs + kFirstTokenMs);
  cache_.observed(picked.cache.fetch, elapsed - Duration{expected}, now);
}

void UpstreamPool::finished(std::string_view id,
                            std::uint32_t held_tokens,
                            SendEnd end,
                            Instant now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  Upstream& upstream = found->second;
  InFlight& in_flight = upstream.in_flight;
  in_flight.requests -= in_flight.requests > 0 ? 1 : 0;
  in_flight.held_tokens -= std::min<std::uint64_t>(in_flight.held_tokens, held_tokens);
  if (in_flight.requests == 0) {
    // Whatever is left would be told to the other gateways for good.
    in_flight = {};
  }
  switch (end) {
    case SendEnd::kAnswered:
      upstream.health.succeeded(now);
      return;
    case SendEnd::kError:
      upstream.health.answered_error(now);
      return;
    case SendEnd::kRejected:
      upstream.health.trial_ended();
      // Full, or loading weights: either takes a while to pass.
      upstream.shunned_until = std::max(
          upstream.shunned_until, now + (has_older_weights(upstream) ? kShunLoading : kShunFull));
      return;
    case SendEnd::kDropped:
      upstream.health.trial_ended();
      return;
    case SendEnd::kNotReached:
      upstream.health.trial_ended();
      upstream.shunned_until = now + kShunNotReached;
      cache_.avoid(id, now + kAvoidAsSource);
      return;
    case SendEnd::kFailed:
      upstream.health.failed(now);
      if (upstream.health.failures() >= UpstreamHealth::kFailuresToShun) {
        cache_.avoid(id, now + kAvoidAsSource);
      }
      return;
  }
}

void UpstreamPool::reported_load(std::string_view id, const ReportedLoad& load, Instant now) {
  if (const auto found = upstreams_.find(id); found != upstreams_.end()) {
    found->second.load = load;
    found->second.load_at = now;
  }
}

void UpstreamPool::misdirected(std::string_view id, bool replaced, Instant now) {
  if (const auto found = upstreams_.find(id); found != upstreams_.end()) {
    found->second.shunned_until = now + (replaced ? kShunReplaced : kShunMisdirected);
  }
}

LoadReport UpstreamPool::load_report(Instant now) {
  drop_before(recent_sends_, now - kRateWindow);
  LoadReport report;
  report.sends = static_cast<std::uint32_t>(recent_sends_.size());
  report.lines = cache_.transfer_lines();
  report.parts = cache_.take_sent_parts();
  for (const auto& [id, upstream] : upstreams_) {
    InFlight told = upstream.in_flight;
    told.failures = upstream.health.failures();
    if (told != InFlight{}) {
      report.lines.push_back({.upstream = LoadBoard::key_of(upstream.id_hash), .in_flight = told});
    }
  }
  return report;
}

std::size_t UpstreamPool::connection_share(const ServiceInfo& service) const {
  const double share = static_cast<double>(service.max_connections) * kConnectionSafetyShare /
                       static_cast<double>(gateways_);
  return std::max<std::size_t>(2, static_cast<std::size_t>(share));
}

}  // namespace bluebellstep
