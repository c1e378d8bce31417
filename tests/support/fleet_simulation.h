// Gateways before engines that read prompts one after another, in virtual time.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_FLEET_SIMULATION_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_FLEET_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gateway/cache_directory.h"
#include "gateway/load_aggregator.h"
#include "gateway/report_pacer.h"
#include "gateway/upstream_pool.h"
#include "tests/support/event_queue.h"

namespace bluebellstep {

/** Load of one simulation. Rates are sums over all gateways. */
struct FleetLoad {
  std::size_t gateways = 30;
  std::size_t engines = 54;
  double short_prompts_per_s = 680;
  double long_prompts_per_s = 77;
  Duration duration{15'000};
};

/** How many prompts were sent, and how many had their first token after their limit. */
struct FleetResult {
  std::size_t short_prompts = 0;
  std::size_t late_short_prompts = 0;
  std::size_t long_prompts = 0;
  std::size_t late_long_prompts = 0;
};

/** The policy modules of real gateways, with datagrams that take 2 ms. Prompts share no parts. */
class FleetSimulation {
 public:
  static constexpr Duration kMaxShortPromptDelay{300};
  static constexpr Duration kMaxLongPromptDelay{600};

  FleetSimulation(std::uint64_t seed, FleetLoad load);

  FleetResult run();

 private:
  struct Gateway {
    LoadAggregator load_aggregator;
    CacheDirectory cache{load_aggregator};
    std::unique_ptr<UpstreamPool> pool;
    ReportPacer pacer;
    std::uint64_t sequence = 0;
  };

  // Sends one prompt through a random gateway, and prepares the next one.
  void schedule_arrivals(bool is_long);
  void send(Gateway& gateway, bool is_long);
  void report_if_due(std::size_t gateway);

  FleetLoad load_;
  EventQueue events_;
  ServiceInfo service_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<Instant>
      prefill_done_at_;  // By engine: when all prompts that were sent have been read.
  FleetResult result_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_FLEET_SIMULATION_H_
