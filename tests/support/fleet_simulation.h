// Simulation of a fleet under a virtual clock: gateways in front of engines that prefill prompts
// one after another.

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

/** Size and load of a simulated fleet. Rates are sums over all gateways. */
struct FleetLoad {
  std::size_t gateways = 30;
  std::size_t engines = 54;
  double short_prompts_per_s = 680;
  double long_prompts_per_s = 77;
  Duration duration{15'000};
  // Engines out of service from the start, which the gateways know.
  std::size_t engines_down = 0;
};

/** Number of prompts, and of those that were late: no upstream was available, or the first token
 * came later than `FleetSimulation::kMaxShortPromptDelay` or `kMaxLongPromptDelay` after the
 * arrival. */
struct FleetResult {
  std::size_t short_prompts = 0;
  std::size_t late_short_prompts = 0;
  std::size_t long_prompts = 0;
  std::size_t late_long_prompts = 0;  // Not those that were refused.
  std::size_t refused_long_prompts = 0;
};

/**
 * Runs the upstream selection and the load reports of the gateways against simulated engines. Load
 * reports arrive after 2 ms. No two prompts have a segment in common, so none benefits from the KV
 * cache.
 */
class FleetSimulation {
 public:
  static constexpr Duration kMaxShortPromptDelay{300};
  static constexpr Duration kMaxLongPromptDelay{600};

  FleetSimulation(std::uint64_t seed, FleetLoad load);

  /** Runs the simulation to its end. Call it only once. */
  FleetResult run();

 private:
  struct Gateway {
    LoadAggregator load_aggregator;
    CacheDirectory cache{load_aggregator};
    std::unique_ptr<RequestQuota> quota;
    std::unique_ptr<UpstreamPool> pool;
    ReportPacer pacer;
    std::uint64_t sequence = 0;
  };

  // Sends one prompt through a random gateway and schedules the next arrival.
  void schedule_arrivals(bool is_long);
  void send(Gateway& gateway, bool is_long);
  // Sends a load report to the other gateways if one is due.
  void report_if_due(std::size_t gateway);

  FleetLoad load_;
  EventQueue events_;
  ServiceInfo service_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  // By engine: end of the prefill of all prompts sent to it.
  std::vector<Instant> prefill_done_at_;
  FleetResult result_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_FLEET_SIMULATION_H_
