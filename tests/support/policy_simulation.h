// Simulated pool for tests of the policies: entries, sidecars, engines and stores under virtual
// time, around the product's own decision classes.
//
// Service model: an engine prefills one prompt at a time at a fixed rate, urgent ones first (a
// prefill in chunks can be interrupted), and decodes all running ones side by side at a fixed rate.
// Store tiers have one link each.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_POLICY_SIMULATION_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_POLICY_SIMULATION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admission/admission_controller.h"
#include "base/random.h"
#include "cache/block_index.h"
#include "cache/fetch_planner.h"
#include "cache/store_selector.h"
#include "fairness/fair_queue.h"
#include "routing/retry_budget.h"
#include "routing/route_chooser.h"

namespace bluebellstep {

/** What one run of the pool is like. */
struct PolicyOptions {
  std::uint64_t seed = 1;
  /** False for the baseline, which routes by least load alone. */
  bool route_by_prompt = true;
  /** True for the oracle: every sidecar knows every block in the stores. */
  bool knows_every_block = false;
  /** Requests a second of each account. */
  std::vector<double> rates;
  std::uint32_t max_prompts_per_account = 400;
  std::uint32_t max_running = 16;
  std::uint32_t max_prefilling = 0;
  Duration warm_up = 1200_s;
  Duration measured_time = 1200_s;
};

/** What was measured after the warm-up. */
struct PolicyResults {
  std::uint64_t blocks = 0;
  std::uint64_t recomputed_blocks = 0;
  /** Blocks never computed before. */
  std::uint64_t new_blocks = 0;
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::vector<std::uint64_t> refused_by_account;
  /** Milliseconds to the first token by account. */
  std::vector<std::vector<std::int64_t>> first_token_ms;
};

/** One run at the sizes of Namsan: 12 answer servers in 3 zones, 3 entries, 2 stores. */
class PolicySimulation {
 public:
  static constexpr std::uint32_t kServers = 12;
  static constexpr std::uint32_t kEntries = 3;
  static constexpr std::uint32_t kStores = 2;

  explicit PolicySimulation(PolicyOptions run);

  PolicyResults run();

 private:
  struct Job {
    AccountId account;
    std::vector<BlockKey> keys;
    std::uint64_t tokens = 0;
    Instant arrival;
    Cost cost;
    // The account was within its share at arrival; the engine gets it with a high priority.
    bool high_priority = false;
  };

  struct Prefill {
    Duration remaining;
    bool high_priority = false;
    std::function<void()> done;
  };

  struct Server {
    Server(const AdmissionLimits& limits, std::size_t engine_blocks)
        : admission(limits, {-1'000'000}), engine_cache(engine_blocks) {}

    AdmissionController admission;
    FairQueue queue{FairQueue::kPromptBurst};
    BlockIndex known_blocks{400'000};
    BlockIndex engine_cache;  // What the engine really holds.
    // Prefills under way or waiting in the engine, and the one being worked on since
    // `front_started_at`.
    std::deque<Prefill> prefill_queue;
    std::uint64_t prefill_event_number = 0;
    Instant front_started_at{0};
  };

  struct Entry {
    Entry(std::uint64_t seed) : chooser(table, seed) {}

    UpstreamTable table;
    RouteChooser chooser;
    EntryRetryBudget retry_budget;
  };

  // What a store really holds, and until when its links are busy; by tier.
  struct Store {
    std::array<BlockIndex, kTierCount> blocks{BlockIndex(8'000), BlockIndex(40'000)};
    std::array<Instant, kTierCount> link_free_at{};
  };

  void schedule(Instant at, const std::function<void()>& action);
  void warm_server(Server& server);
  void send_heartbeats();
  void arrive(AccountId account);
  Job make_job(AccountId account);
  void submit(std::uint64_t id);
  bool try_submit(std::uint32_t server_index, std::uint64_t id);
  AdmissionRequest admission_request(const Server& server, const Job& job, bool from_queue) const;
  void start_queued(std::uint32_t server_index);
  void start(std::uint32_t server_index, std::uint64_t id, SlotId slot);
  std::optional<BlockLocations> find_block(const Server& server, BlockKey key);
  std::pair<std::size_t, Duration> fetch(Server& server, const Job& job, std::size_t engine_blocks);
  void add_prefill(std::uint32_t server_index, Prefill prefill);
  void work_on_prefill(std::uint32_t server_index);
  void store_blocks(Server& server, const Job& job);
  bool is_measured(const Job& job) const { return job.arrival >= Instant{options_.warm_up.ms}; }

  using Event = std::pair<std::pair<Instant, std::uint64_t>, std::function<void()>>;
  struct Later {
    bool operator()(const Event& a, const Event& b) const { return a.first > b.first; }
  };

  PolicyOptions options_;
  PolicyResults results_;
  Random random_;
  Instant now_{0};
  std::uint64_t last_event_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::array<Store, kStores> stores_;
  StoreSelector selector_;
  GenerationAllocator generations_;
  std::vector<std::deque<std::vector<BlockKey>>> prompts_;  // By account.
  std::set<BlockKey> computed_;
  std::map<std::uint64_t, Job> jobs_;
  std::uint64_t last_job_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_POLICY_SIMULATION_H_
