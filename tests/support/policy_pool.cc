// The simulated pool.

#include "tests/support/policy_pool.h"

#include <algorithm>
#include <cmath>

namespace bluebellstep {
namespace {

constexpr ModelId kModel{0};
constexpr double kPrefillTokensPerSecond = 20'000;
constexpr std::uint64_t kAnswerTokens = 100;
constexpr Duration kTokenTime = 30_ms;
constexpr std::uint64_t kQuestionTokens = 50;
constexpr std::uint32_t kBlockBytes = 5'000'000;
constexpr std::array<double, kTierCount> kLinkBytesPerSecond = {10e9, 1e9};
// Far less than the prompts in use, so that blocks are evicted before their prompt returns.
constexpr std::size_t kEngineBlocks = 300;
constexpr double kShareOneLine = 0.25;
constexpr double kShareNewManual = 0.05;

}  // namespace

PolicyPool::PolicyPool(PolicyRun run) : run_(std::move(run)), random_(run_.seed) {
  AdmissionLimits limits;
  limits.max_running = run_.max_running;
  limits.max_prefilling = run_.max_prefilling;
  for (std::uint32_t i = 0; i < kEntries; ++i) {
    entries_.push_back(std::make_unique<Entry>(run_.seed + i));
  }
  for (std::uint32_t i = 0; i < kServers; ++i) {
    servers_.push_back(std::make_unique<Server>(limits, kEngineBlocks));
    warm_server(*servers_.back());
    for (auto& entry : entries_) {
      entry->table.add("server-" + std::to_string(i), {i % 3}, {kModel});
    }
  }
  for (std::uint32_t i = 0; i < kStores; ++i) {
    selector_.add("store-" + std::to_string(i));
  }
  prompts_.resize(run_.rates.size());
  figures_.first_tokens.resize(run_.rates.size());
  figures_.refused_by_account.resize(run_.rates.size());
}

void PolicyPool::warm_server(Server& server) {
  server.admission.set_weight_version(kModel, "v1");
  while (server.admission.is_cold(now_)) {
    const Admission admission =
        server.admission.try_admit({.model = kModel, .weight_version = "v1"}, now_);
    server.admission.finish(std::get<Admitted>(admission).slot, now_, Outcome::kCompleted);
  }
}

void PolicyPool::schedule(Instant at, const std::function<void()>& action) {
  events_.push({{at, ++event_count_}, action});
}

PolicyFigures PolicyPool::run() {
  const Instant end{run_.warm_up.ms + run_.measured.ms};
  for (std::uint32_t a = 0; a < run_.rates.size(); ++a) {
    if (run_.rates[a] > 0) {
      schedule({0}, [this, a] { arrive({a}); });
    }
  }
  schedule({0}, [this] { heartbeat(); });
  while (!events_.empty() && events_.top().first.first < end) {
    now_ = events_.top().first.first;
    const auto action = events_.top().second;
    events_.pop();
    action();
  }
  return std::move(figures_);
}

void PolicyPool::heartbeat() {
  for (std::uint32_t i = 0; i < kServers; ++i) {
    const Server& server = *servers_[i];
    UpstreamHint hint;
    hint.load = server.admission.running() + static_cast<std::uint32_t>(server.queue.size());
    hint.limit = server.admission.limit(now_);
    for (auto& entry : entries_) {
      entry->table.apply_hint({i}, hint, now_);
    }
  }
  schedule(now_ + 500_ms, [this] { heartbeat(); });
}

void PolicyPool::arrive(AccountId account) {
  const std::uint64_t id = ++last_job_;
  jobs_[id] = make_job(account);
  submit(id);
  const double gap_ms = -std::log(1 - random_.uniform()) * 1000 / run_.rates[account.value];
  schedule(now_ + Duration{static_cast<std::int64_t>(std::ceil(gap_ms))},
           [this, account] { arrive(account); });
}

PolicyPool::Job PolicyPool::make_job(AccountId account) {
  Job job{.account = account, .keys = {}, .tokens = kQuestionTokens, .arrival = now_, .cost = {}};
  auto& prompts = prompts_[account.value];
  if (random_.chance(kShareOneLine)) {
    return job;
  }
  if (prompts.size() < run_.prompts_per_account || random_.chance(kShareNewManual)) {
    std::vector<BlockKey> keys(6 + random_.below(13));
    for (BlockKey& key : keys) {
      key = {random_.next(), random_.next()};
    }
    prompts.push_back(std::move(keys));
    if (prompts.size() > run_.prompts_per_account) {
      prompts.pop_front();
    }
    job.keys = prompts.back();
  } else {
    job.keys = prompts[random_.below(prompts.size())];
  }
  job.tokens += job.keys.size() * FetchPlanner::kBlockTokens;
  return job;
}

void PolicyPool::submit(std::uint64_t id) {
  const Job& job = jobs_.at(id);
  figures_.requests += is_measured(job) ? 1 : 0;
  Entry& entry = *entries_[random_.below(kEntries)];
  entry.retries.record_first_attempt();
  RouteQuery query{.target = kModel};
  query.zone = {static_cast<std::uint32_t>(random_.below(3))};
  if (run_.route_by_prompt && !job.keys.empty()) {
    query.root_key = job.keys.front().low;
  }
  std::vector<UpstreamId> excluded;
  do {
    const Route route = entry.chooser.choose(query, excluded, now_);
    const auto* to = std::get_if<SelectedRoute>(&route);
    if (to == nullptr) {
      break;
    }
    entry.table.record_sent_request(to->upstream);
    if (offer(to->upstream.value, id)) {
      return;
    }
    excluded.push_back(to->upstream);
  } while (entry.retries.try_acquire_retry());
  figures_.refused += is_measured(job) ? 1 : 0;
  figures_.refused_by_account[job.account.value] += is_measured(job) ? 1 : 0;
  jobs_.erase(id);
}

AdmissionRequest PolicyPool::request_of(const Server& server,
                                        const Job& job,
                                        bool from_queue) const {
  return {.model = kModel,
          .weight_version = "v1",
          .waiting = server.queue.size(),
          .account_waiting = server.queue.size(job.account),
          .waiting_accounts = server.queue.waiting_accounts(),
          .within_share = job.urgent,
          .from_queue = from_queue};
}

bool PolicyPool::offer(std::uint32_t at, std::uint64_t id) {
  Server& server = *servers_[at];
  Job& job = jobs_.at(id);
  job.urgent = server.queue.is_within_share(job.account);
  const Admission admission = server.admission.try_admit(request_of(server, job, false), now_);
  if (std::holds_alternative<Refused>(admission)) {
    return false;
  }
  // Blocks in the stores count as cached: their transfer costs the engine nothing.
  const auto first_unknown = std::ranges::find_if(
      job.keys, [&](BlockKey key) { return !find_block(server, key).has_value(); });
  const std::size_t cached =
      static_cast<std::size_t>(first_unknown - job.keys.begin()) * FetchPlanner::kBlockTokens;
  job.cost = cost_of(
      {.prompt_tokens = job.tokens, .cached_tokens = cached, .decode_tokens = kAnswerTokens});
  if (const auto* admitted = std::get_if<Admitted>(&admission)) {
    server.queue.charge(job.account, job.cost);
    start(at, id, admitted->slot);
  } else {
    server.queue.push(job.account, {id}, job.cost, Priority::kNormal);
  }
  return true;
}

void PolicyPool::pump(std::uint32_t at) {
  Server& server = *servers_[at];
  while (const auto front = server.queue.front()) {
    const Job& job = jobs_.at(front->value);
    const Admission admission = server.admission.try_admit(request_of(server, job, true), now_);
    const auto* admitted = std::get_if<Admitted>(&admission);
    if (admitted == nullptr) {
      return;
    }
    server.queue.pop();
    start(at, front->value, admitted->slot);
  }
}

std::optional<BlockLocations> PolicyPool::find_block(const Server& server, BlockKey key) {
  if (!run_.knows_every_block) {
    return server.known.find(key);
  }
  const Store& store = stores_[selector_.select(key, now_)->value];
  return BlockLocations{.in_memory = store.blocks[0].find(key).has_value(),
                        .in_disk = store.blocks[1].find(key).has_value(),
                        .bytes = kBlockBytes};
}

std::pair<std::size_t, Duration> PolicyPool::fetch(Server& server,
                                                   const Job& job,
                                                   std::size_t engine_blocks) {
  std::vector<BlockLocations> places;
  FetchQuery query;
  for (std::size_t i = engine_blocks; i < job.keys.size(); ++i) {
    const auto known = find_block(server, job.keys[i]);
    if (!known || (!known->in_memory && !known->in_disk)) {
      break;
    }
    places.push_back(*known);
  }
  const auto wait = [&](Instant until) { return std::max<std::int64_t>(0, (until - now_).ms); };
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    const auto busy =
        std::max(wait(stores_[0].link_free_at[tier]), wait(stores_[1].link_free_at[tier]));
    query.links[tier] = {
        kLinkBytesPerSecond[tier],
        static_cast<std::uint64_t>(static_cast<double>(busy) / 1000 * kLinkBytesPerSecond[tier])};
  }
  query.blocks = places;
  query.tokens = job.tokens - engine_blocks * FetchPlanner::kBlockTokens;
  query.prefill_tokens_per_s = kPrefillTokensPerSecond;
  for (const Prefill& prefill : server.prefills) {
    query.engine_queue = query.engine_queue + prefill.remaining;
  }
  query.deadline = now_ + 5_s;
  const FetchPlan plan = FetchPlanner().plan(query, now_);

  Instant end = now_;
  for (std::size_t i = 0; i < plan.blocks; ++i) {
    const BlockKey key = job.keys[engine_blocks + i];
    Store& store = stores_[selector_.select(key, now_)->value];
    const bool in_memory = store.blocks[0].find(key).has_value();
    if (!in_memory && !store.blocks[1].find(key)) {
      server.known.remove_from_store(key, Tier::kMemory);
      server.known.remove_from_store(key, Tier::kDisk);
      return {i, end - now_};
    }
    const std::size_t tier = in_memory ? 0 : 1;
    store.blocks[tier].touch(key);
    Instant& free_at = store.link_free_at[tier];
    free_at = std::max(free_at, now_) +
              Duration{static_cast<std::int64_t>(kBlockBytes / kLinkBytesPerSecond[tier] * 1000)};
    end = std::max(end, free_at);
  }
  return {plan.blocks, end - now_};
}

void PolicyPool::store_blocks(Server& server, const Job& job) {
  for (const BlockKey key : job.keys) {
    server.engine.add_to_engine(key);
    server.known.add_to_engine(key);
    computed_.insert(key);
    Store& store = stores_[selector_.select(key, now_)->value];
    const BlockGeneration generation = generations_.next(now_);
    for (const Tier tier : {Tier::kMemory, Tier::kDisk}) {
      store.blocks[static_cast<std::size_t>(tier)].add_to_store(key, tier, generation, kBlockBytes);
      server.known.add_to_store(key, tier, generation, kBlockBytes);
    }
  }
}

void PolicyPool::start(std::uint32_t at, std::uint64_t id, SlotId slot) {
  Server& server = *servers_[at];
  const Job job = std::move(jobs_.at(id));
  jobs_.erase(id);
  const std::size_t in_engine = server.engine.engine_prefix_length(job.keys);
  const auto [fetched, fetch_time] = fetch(server, job, in_engine);
  const std::size_t reused = in_engine + fetched;
  const std::uint64_t tokens = job.tokens - reused * FetchPlanner::kBlockTokens;
  if (is_measured(job)) {
    figures_.blocks += job.keys.size();
    figures_.recomputed += job.keys.size() - reused;
    figures_.new_blocks += static_cast<std::uint64_t>(std::ranges::count_if(
        job.keys, [&](const BlockKey& key) { return !computed_.contains(key); }));
  }
  store_blocks(server, job);

  const Duration prefill{static_cast<std::int64_t>(
      std::ceil(static_cast<double>(tokens) / kPrefillTokensPerSecond * 1000))};
  const Cost real = cost_of({.prompt_tokens = tokens, .decode_tokens = kAnswerTokens});
  const auto first_token = [this, at, slot, job, real] {
    Server& here = *servers_[at];
    here.admission.first_token(slot, now_, {});
    here.queue.correct_charge(job.account, real - job.cost);
    if (is_measured(job)) {
      figures_.first_tokens[job.account.value].push_back((now_ - job.arrival).ms);
    }
    schedule(now_ + kTokenTime * kAnswerTokens, [this, at, slot] {
      servers_[at]->admission.finish(slot, now_, Outcome::kCompleted);
      pump(at);
    });
    pump(at);
  };
  schedule(now_ + fetch_time, [this, at, prefill, urgent = job.urgent, first_token] {
    add_prefill(at, {prefill, urgent, first_token});
  });
}

// Credits the time worked since the last change, and gives the engine to the first urgent prefill,
// or else to the first one.
void PolicyPool::add_prefill(std::uint32_t at, Prefill prefill) {
  Server& server = *servers_[at];
  if (!server.prefills.empty()) {
    server.prefills.front().remaining =
        server.prefills.front().remaining - (now_ - server.busy_since);
  }
  auto place = server.prefills.end();
  if (prefill.urgent) {
    place = std::ranges::find_if(server.prefills, [](const Prefill& p) { return !p.urgent; });
  }
  server.prefills.insert(place, std::move(prefill));
  work_on_prefill(at);
}

void PolicyPool::work_on_prefill(std::uint32_t at) {
  Server& server = *servers_[at];
  server.busy_since = now_;
  const std::uint64_t event = ++server.prefill_event;
  if (server.prefills.empty()) {
    return;
  }
  schedule(now_ + server.prefills.front().remaining, [this, at, event] {
    Server& here = *servers_[at];
    if (here.prefill_event != event) {
      return;  // Another prefill has come in between.
    }
    const auto done = here.prefills.front().done;
    here.prefills.pop_front();
    work_on_prefill(at);
    done();
  });
}

}  // namespace bluebellstep
