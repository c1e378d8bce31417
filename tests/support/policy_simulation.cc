// Arrivals, sidecars, engines and cache stores of the policy simulation.

#include "tests/support/policy_simulation.h"

#include <algorithm>
#include <cmath>

namespace bluebellstep {
namespace {

constexpr ModelId kModel{0};
constexpr double kPrefillTokensPerSecond = 20'000;
constexpr std::uint64_t kAnswerTokens = 100;
constexpr Duration kDecodeTimePerToken = 30_ms;
// Tokens at the end of each prompt that are not part of a block.
constexpr std::uint64_t kQuestionTokens = 50;
constexpr std::uint32_t kBlockBytes = 5'000'000;
constexpr std::array<double, kTierCount> kLinkBytesPerSecond = {10e9, 1e9};
// Far fewer than the blocks of all prompts, so that blocks are evicted before their prompt returns.
constexpr std::size_t kEngineBlocks = 300;
// Share of the requests whose prompt has no blocks.
constexpr double kShortPromptShare = 0.25;
// Share of the others with a new prompt, once the account has its maximum number of prompts.
constexpr double kNewPromptShare = 0.05;

}  // namespace

PolicySimulation::PolicySimulation(PolicyOptions options)
    : options_(std::move(options)), random_(options_.seed) {
  AdmissionLimits limits;
  limits.max_running = options_.max_running;
  limits.max_prefilling = options_.max_prefilling;
  for (std::uint32_t i = 0; i < kEntries; ++i) {
    entries_.push_back(std::make_unique<Entry>(options_.seed + i));
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
  prompts_.resize(options_.rates.size());
  results_.first_token_ms.resize(options_.rates.size());
  results_.refused_by_account.resize(options_.rates.size());
}

void PolicySimulation::warm_server(Server& server) {
  server.admission.set_weight_version(kModel, "v1");
  while (server.admission.is_cold(now_)) {
    const Admission admission =
        server.admission.try_admit({.model = kModel, .weight_version = "v1"}, now_);
    server.admission.finish(std::get<Admitted>(admission).slot, now_, Outcome::kCompleted);
  }
}

void PolicySimulation::schedule(Instant at, const std::function<void()>& action) {
  events_.push({{at, ++last_event_}, action});
}

PolicyResults PolicySimulation::run() {
  const Instant end{options_.warm_up.ms + options_.measured_time.ms};
  for (std::uint32_t a = 0; a < options_.rates.size(); ++a) {
    if (options_.rates[a] > 0) {
      schedule({0}, [this, a] { arrive({a}); });
    }
  }
  schedule({0}, [this] { send_heartbeats(); });
  while (!events_.empty() && events_.top().first.first < end) {
    now_ = events_.top().first.first;
    const auto action = events_.top().second;
    events_.pop();
    action();
  }
  return std::move(results_);
}

void PolicySimulation::send_heartbeats() {
  for (std::uint32_t i = 0; i < kServers; ++i) {
    const Server& server = *servers_[i];
    UpstreamHint hint;
    hint.load = server.admission.running() + static_cast<std::uint32_t>(server.queue.size());
    hint.limit = server.admission.limit(now_);
    for (auto& entry : entries_) {
      entry->table.apply_hint({i}, hint, now_);
    }
  }
  schedule(now_ + 500_ms, [this] { send_heartbeats(); });
}

void PolicySimulation::arrive(AccountId account) {
  const std::uint64_t id = ++last_job_;
  jobs_[id] = make_job(account);
  submit(id);
  const double gap_ms = -std::log(1 - random_.uniform()) * 1000 / options_.rates[account.value];
  schedule(now_ + Duration{static_cast<std::int64_t>(std::ceil(gap_ms))},
           [this, account] { arrive(account); });
}

PolicySimulation::Job PolicySimulation::make_job(AccountId account) {
  Job job{.account = account, .keys = {}, .tokens = kQuestionTokens, .arrival = now_, .cost = {}};
  auto& prompts = prompts_[account.value];
  if (random_.chance(kShortPromptShare)) {
    return job;
  }
  if (prompts.size() < options_.max_prompts_per_account || random_.chance(kNewPromptShare)) {
    std::vector<BlockKey> keys(6 + random_.below(13));
    for (BlockKey& key : keys) {
      key = {random_.next(), random_.next()};
    }
    prompts.push_back(std::move(keys));
    if (prompts.size() > options_.max_prompts_per_account) {
      prompts.pop_front();
    }
    job.keys = prompts.back();
  } else {
    job.keys = prompts[random_.below(prompts.size())];
  }
  job.tokens += job.keys.size() * FetchPlanner::kBlockTokens;
  return job;
}

void PolicySimulation::submit(std::uint64_t id) {
  const Job& job = jobs_.at(id);
  results_.requests += is_measured(job) ? 1 : 0;
  Entry& entry = *entries_[random_.below(kEntries)];
  entry.retry_budget.record_first_attempt();
  RouteQuery query{.target = kModel};
  query.zone = {static_cast<std::uint32_t>(random_.below(3))};
  if (options_.route_by_prompt && !job.keys.empty()) {
    query.root_key = job.keys.front().low;
  }
  std::vector<UpstreamId> excluded;
  do {
    const Route route = entry.chooser.choose(query, excluded, now_);
    const auto* selected = std::get_if<SelectedRoute>(&route);
    if (selected == nullptr) {
      break;
    }
    entry.table.record_sent_request(selected->upstream);
    if (try_submit(selected->upstream.value, id)) {
      return;
    }
    excluded.push_back(selected->upstream);
  } while (entry.retry_budget.try_acquire_retry());
  results_.refused += is_measured(job) ? 1 : 0;
  results_.refused_by_account[job.account.value] += is_measured(job) ? 1 : 0;
  jobs_.erase(id);
}

AdmissionRequest PolicySimulation::admission_request(const Server& server,
                                                     const Job& job,
                                                     bool from_queue) const {
  return {.model = kModel,
          .weight_version = "v1",
          .waiting = server.queue.size(),
          .account_waiting = server.queue.size(job.account),
          .waiting_accounts = server.queue.waiting_accounts(),
          .within_share = job.high_priority,
          .from_queue = from_queue};
}

bool PolicySimulation::try_submit(std::uint32_t server_index, std::uint64_t id) {
  Server& server = *servers_[server_index];
  Job& job = jobs_.at(id);
  job.high_priority = server.queue.is_within_share(job.account);
  const Admission admission =
      server.admission.try_admit(admission_request(server, job, false), now_);
  if (std::holds_alternative<Refused>(admission)) {
    return false;
  }
  // Blocks in the stores count as cached, because their transfer takes no time of the engine.
  const auto first_unknown = std::ranges::find_if(
      job.keys, [&](BlockKey key) { return !find_block(server, key).has_value(); });
  const std::size_t cached =
      static_cast<std::size_t>(first_unknown - job.keys.begin()) * FetchPlanner::kBlockTokens;
  job.cost = cost_of(
      {.prompt_tokens = job.tokens, .cached_tokens = cached, .decode_tokens = kAnswerTokens});
  if (const auto* admitted = std::get_if<Admitted>(&admission)) {
    server.queue.charge(job.account, job.cost);
    start(server_index, id, admitted->slot);
  } else {
    server.queue.push(job.account, {id}, job.cost, Priority::kNormal);
  }
  return true;
}

void PolicySimulation::start_queued(std::uint32_t server_index) {
  Server& server = *servers_[server_index];
  while (const auto front = server.queue.front()) {
    const Job& job = jobs_.at(front->value);
    const Admission admission =
        server.admission.try_admit(admission_request(server, job, true), now_);
    const auto* admitted = std::get_if<Admitted>(&admission);
    if (admitted == nullptr) {
      return;
    }
    server.queue.pop();
    start(server_index, front->value, admitted->slot);
  }
}

std::optional<BlockLocations> PolicySimulation::find_block(const Server& server, BlockKey key) {
  if (!options_.knows_every_block) {
    return server.known_blocks.find(key);
  }
  const Store& store = stores_[selector_.select(key, now_)->value];
  return BlockLocations{.in_memory = store.blocks[0].find(key).has_value(),
                        .in_disk = store.blocks[1].find(key).has_value(),
                        .bytes = kBlockBytes};
}

std::pair<std::size_t, Duration> PolicySimulation::fetch(Server& server,
                                                         const Job& job,
                                                         std::size_t engine_blocks) {
  std::vector<BlockLocations> locations;
  FetchQuery query;
  for (std::size_t i = engine_blocks; i < job.keys.size(); ++i) {
    const auto location = find_block(server, job.keys[i]);
    if (!location || (!location->in_memory && !location->in_disk)) {
      break;
    }
    locations.push_back(*location);
  }
  const auto wait = [&](Instant until) { return std::max<std::int64_t>(0, (until - now_).ms); };
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    const auto busy =
        std::max(wait(stores_[0].link_free_at[tier]), wait(stores_[1].link_free_at[tier]));
    query.links[tier] = {
        kLinkBytesPerSecond[tier],
        static_cast<std::uint64_t>(static_cast<double>(busy) / 1000 * kLinkBytesPerSecond[tier])};
  }
  query.blocks = locations;
  query.tokens = job.tokens - engine_blocks * FetchPlanner::kBlockTokens;
  query.prefill_tokens_per_s = kPrefillTokensPerSecond;
  for (const Prefill& prefill : server.prefill_queue) {
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
      server.known_blocks.remove_from_store(key, Tier::kMemory);
      server.known_blocks.remove_from_store(key, Tier::kDisk);
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

void PolicySimulation::store_blocks(Server& server, const Job& job) {
  for (const BlockKey key : job.keys) {
    server.engine_cache.add_to_engine(key);
    server.known_blocks.add_to_engine(key);
    computed_.insert(key);
    Store& store = stores_[selector_.select(key, now_)->value];
    const BlockGeneration generation = generations_.next(now_);
    for (const Tier tier : {Tier::kMemory, Tier::kDisk}) {
      store.blocks[static_cast<std::size_t>(tier)].add_to_store(key, tier, generation, kBlockBytes);
      server.known_blocks.add_to_store(key, tier, generation, kBlockBytes);
    }
  }
}

void PolicySimulation::start(std::uint32_t server_index, std::uint64_t id, SlotId slot) {
  Server& server = *servers_[server_index];
  const Job job = std::move(jobs_.at(id));
  jobs_.erase(id);
  const std::size_t in_engine = server.engine_cache.engine_prefix_length(job.keys);
  const auto [fetched, fetch_time] = fetch(server, job, in_engine);
  const std::size_t reused = in_engine + fetched;
  const std::uint64_t tokens = job.tokens - reused * FetchPlanner::kBlockTokens;
  if (is_measured(job)) {
    results_.blocks += job.keys.size();
    results_.recomputed_blocks += job.keys.size() - reused;
    results_.new_blocks += static_cast<std::uint64_t>(std::ranges::count_if(
        job.keys, [&](const BlockKey& key) { return !computed_.contains(key); }));
  }
  store_blocks(server, job);

  const Duration prefill{static_cast<std::int64_t>(
      std::ceil(static_cast<double>(tokens) / kPrefillTokensPerSecond * 1000))};
  const Cost actual_cost = cost_of({.prompt_tokens = tokens, .decode_tokens = kAnswerTokens});
  const auto first_token = [this, server_index, slot, job, actual_cost] {
    Server& this_server = *servers_[server_index];
    this_server.admission.first_token(slot, now_, {});
    this_server.queue.correct_charge(job.account, actual_cost - job.cost);
    if (is_measured(job)) {
      results_.first_token_ms[job.account.value].push_back((now_ - job.arrival).ms);
    }
    schedule(now_ + kDecodeTimePerToken * kAnswerTokens, [this, server_index, slot] {
      servers_[server_index]->admission.finish(slot, now_, Outcome::kCompleted);
      start_queued(server_index);
    });
    start_queued(server_index);
  };
  schedule(now_ + fetch_time,
           [this, server_index, prefill, high_priority = job.high_priority, first_token] {
             add_prefill(server_index, {prefill, high_priority, first_token});
           });
}

// Subtracts the time spent on the prefill in progress and inserts the new one: behind the other
// prefills with a high priority if it has one too, otherwise at the end.
void PolicySimulation::add_prefill(std::uint32_t server_index, Prefill prefill) {
  Server& server = *servers_[server_index];
  if (!server.prefill_queue.empty()) {
    server.prefill_queue.front().remaining =
        server.prefill_queue.front().remaining - (now_ - server.front_started_at);
  }
  auto position = server.prefill_queue.end();
  if (prefill.high_priority) {
    position = std::ranges::find_if(server.prefill_queue,
                                    [](const Prefill& p) { return !p.high_priority; });
  }
  server.prefill_queue.insert(position, std::move(prefill));
  start_front_prefill(server_index);
}

void PolicySimulation::start_front_prefill(std::uint32_t server_index) {
  Server& server = *servers_[server_index];
  server.front_started_at = now_;
  const std::uint64_t event = ++server.prefill_event_number;
  if (server.prefill_queue.empty()) {
    return;
  }
  schedule(now_ + server.prefill_queue.front().remaining, [this, server_index, event] {
    Server& this_server = *servers_[server_index];
    if (this_server.prefill_event_number != event) {
      return;  // A prefill was added since; a later event completes the front one.
    }
    const auto done = this_server.prefill_queue.front().done;
    this_server.prefill_queue.pop_front();
    start_front_prefill(server_index);
    done();
  });
}

}  // namespace bluebellstep
