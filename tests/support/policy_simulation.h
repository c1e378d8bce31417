// Simulation of entry instances, sidecars, engines and cache stores under a virtual clock, for
// tests of the routing, admission, fairness and cache policies. The policy classes are those of the
// product; everything around them is simulated.
//
// Engine model: an engine prefills one prompt at a time at a fixed rate, those with a high priority
// first (a prefill can be interrupted, because it is done in chunks), and decodes all running
// requests concurrently, each at a fixed rate. Each tier of a store has one link.

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

/** Load and policies of one run. */
struct PolicyOptions {
  std::uint64_t seed = 1;
  /** Whether to route by the prompt; false for the baseline, which routes by least load only. */
  bool route_by_prompt = true;
  /** Whether every sidecar knows every block in the stores; true for the oracle. */
  bool knows_every_block = false;
  /** Requests per second, by account. */
  std::vector<double> rates;
  /** Maximum number of prompts that an account returns to. */
  std::uint32_t max_prompts_per_account = 400;
  std::uint32_t max_running = 16;
  std::uint32_t max_prefilling = 0;
  /** Requests that arrive within this time are not measured. */
  Duration warm_up = 1200_s;
  Duration measured_time = 1200_s;
};

/** Totals over the requests that arrived after the warm-up. */
struct PolicyResults {
  /** Prompt blocks of all requests that were started. */
  std::uint64_t blocks = 0;
  /** Blocks that were neither in the engine nor fetched from a store. */
  std::uint64_t recomputed_blocks = 0;
  /** Blocks that no engine had computed before; included in `recomputed_blocks`. */
  std::uint64_t new_blocks = 0;
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::vector<std::uint64_t> refused_by_account;
  /** Times from arrival to first token in milliseconds, by account. */
  std::vector<std::vector<std::int64_t>> first_token_ms;
};

/** Simulation of 12 model servers in 3 zones, 3 entry instances and 2 cache stores. */
class PolicySimulation {
 public:
  static constexpr std::uint32_t kServers = 12;
  static constexpr std::uint32_t kEntries = 3;
  static constexpr std::uint32_t kStores = 2;

  explicit PolicySimulation(PolicyOptions options);

  /** Runs the simulation to its end. Call it only once. */
  PolicyResults run();

 private:
  // One request.
  struct Job {
    AccountId account;
    std::vector<BlockKey> keys;
    std::uint64_t tokens = 0;
    Instant arrival;
    Cost cost;
    // Priority at the engine; set if the account was within its share at arrival.
    bool high_priority = false;
  };

  // A prefill that is in progress or waiting in an engine.
  struct Prefill {
    Duration remaining;
    bool high_priority = false;
    std::function<void()> done;
  };

  // A sidecar and its engine.
  struct Server {
    Server(const AdmissionLimits& limits, std::size_t engine_blocks)
        : admission(limits, {-1'000'000}), engine_cache(engine_blocks) {}

    AdmissionController admission;
    FairQueue queue{FairQueue::kPromptBurst};
    BlockIndex known_blocks{400'000};
    BlockIndex engine_cache;  // Actual contents of the engine's cache.
    // The front prefill has been in progress since `front_started_at`; the others are waiting.
    std::deque<Prefill> prefill_queue;
    std::uint64_t prefill_event_number = 0;  // Of the event that completes the front prefill.
    Instant front_started_at{0};
  };

  struct Entry {
    Entry(std::uint64_t seed) : chooser(table, seed) {}

    UpstreamTable table;
    RouteChooser chooser;
    EntryRetryBudget retry_budget;
  };

  // A cache store: its actual contents, and the time until which its links are busy, by tier.
  struct Store {
    std::array<BlockIndex, kTierCount> blocks{BlockIndex(8'000), BlockIndex(40'000)};
    std::array<Instant, kTierCount> link_free_at{};
  };

  void schedule(Instant at, const std::function<void()>& action);
  // Completes requests until slow start ends.
  void warm_server(Server& server);
  // Passes the hints of all servers to all entry instances, and schedules the next round.
  void send_heartbeats();
  // Submits a request of the account and schedules its next one.
  void arrive(AccountId account);
  Job make_job(AccountId account);
  // Sends a request through a random entry instance, which retries it elsewhere if it is refused.
  void submit(std::uint64_t id);
  // Starts or queues a request at a server. Returns false if the server refuses it.
  bool try_submit(std::uint32_t server_index, std::uint64_t id);
  AdmissionRequest admission_request(const Server& server, const Job& job, bool from_queue) const;
  // Starts queued requests as long as they are admitted.
  void start_queued(std::uint32_t server_index);
  void start(std::uint32_t server_index, std::uint64_t id, SlotId slot);
  // Locations of a block as far as the sidecar knows them.
  std::optional<BlockLocations> find_block(const Server& server, BlockKey key);
  // Fetches the blocks after the first `engine_blocks` from the stores. Returns their number and
  // the duration of the fetch.
  std::pair<std::size_t, Duration> fetch(Server& server, const Job& job, std::size_t engine_blocks);
  void add_prefill(std::uint32_t server_index, Prefill prefill);
  void start_front_prefill(std::uint32_t server_index);
  // Adds the blocks of a request to the engine and to both tiers of their stores.
  void store_blocks(Server& server, const Job& job);
  // Whether the request arrived after the warm-up.
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
  std::set<BlockKey> computed_;  // All blocks that an engine has computed.
  std::map<std::uint64_t, Job> jobs_;
  std::uint64_t last_job_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_POLICY_SIMULATION_H_
