// Runs a scenario under a virtual clock: entry instances, sidecars and engines, and the messages
// between them, which can be delayed or lost, and wait while their receiver is paused. A run is
// reproducible from its seed.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_SCENARIO_RUNNER_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_SCENARIO_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/event_queue.h"
#include "tests/support/scenario.h"
#include "tests/support/scenario_sidecar.h"
#include "tests/support/test_bundle.h"
#include "zones/zone_registry.h"

namespace bluebellstep::scenario {

/** Totals of one run, and its first violation. */
struct Report {
  std::uint64_t sent = 0;  // Requests sent by entry instances.
  std::uint64_t admitted = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t broken = 0;
  std::uint64_t crashes = 0;  // Of engines; those that a `go_cold` explains are counted below.
  std::uint64_t explained_crashes = 0;
  std::optional<std::string> violation;  // Time and description.
};

/** One run of a scenario. */
class ScenarioRunner {
 public:
  /** `scenario` and `operators` must outlive the runner. Share `operators` between runs, because
   * key generation is slow. `omitted` is disabled. */
  ScenarioRunner(const Scenario& scenario,
                 const TestOperators& operators,
                 std::uint64_t seed,
                 Mechanism omitted);

  /** Runs the scenario to its end and checks its conditions. Call it only once. */
  Report run();

 private:
  // State of a process of either kind.
  struct Process {
    bool paused = false;
    std::vector<std::function<void()>> delayed_messages;  // Messages that arrived during a pause.
  };

  struct Entry {
    std::unique_ptr<ZoneRegistry> zones;  // Null while the process is not running.
    std::uint64_t incarnation = 1;
    std::map<std::size_t, SidecarHint> hints;  // Latest hint, by sidecar.
    // By sidecar: the incarnation to which the entry instance is connected.
    std::map<std::size_t, std::uint64_t> connected_incarnation;
  };

  void start_processes();
  void install_listener(std::size_t sidecar);
  void apply(const Step& step);
  void start_load(const LoadSpec& load);
  // Delivers a zone notice to a process, as an operator does.
  void submit_notice(const Step& step);
  void kill(const std::string& name);
  void start(const std::string& name);
  void start_sidecar(std::size_t index);
  void resume(const std::string& name);
  void drain(const std::string& name);
  void tick();

  // Delivers a message after a random delay. It is lost if the link is broken, or at random if
  // `may_lose` is set.
  void send(const std::string& from, const std::string& to, bool may_lose, std::function<void()>);
  // Sends a request now, unless the entry instance is stopped or paused, and then at each interval.
  void send_periodically(std::size_t entry, Duration interval);
  void send_request(std::size_t entry);
  // Sends heartbeats to all other processes now, and then at each heartbeat interval.
  void send_heartbeats(std::size_t entry);
  void exchange_heartbeats(std::size_t entry, std::size_t sidecar);
  // Sends the notices of one entry instance to another.
  void send_notices(std::size_t entry, std::size_t other);
  std::vector<ZoneNotice> notices_of(const ZoneRegistry& zones) const;
  // Returns whether at least one notice changed the state of a zone.
  bool apply_notices(ZoneRegistry& zones, const std::vector<ZoneNotice>& notices);
  // Checks that a request which a sidecar has just admitted is within the time bounds.
  void check_admission(std::size_t sidecar);
  void record_violation(const std::string& description);
  void check_totals();

  std::string entry_name(std::size_t index) const { return "entry-" + std::to_string(index + 1); }
  std::optional<std::size_t> entry_index(const std::string& name) const;
  std::size_t sidecar_index(const std::string& name) const;

  const Scenario& scenario_;
  const TestOperators& operators_;
  Mechanism omitted_;
  EventQueue queue_;
  Bundle bundle_;
  Report report_;
  LoadSpec load_;
  bool platform_up_ = true;
  std::uint64_t serial_ = 1;
  std::uint64_t request_ids_ = 0;
  std::map<std::string, Process> processes_;
  std::vector<Entry> entries_;
  std::vector<std::unique_ptr<SimulatedSidecar>> sidecars_;
  std::set<std::pair<std::string, std::string>> broken_links_;
  std::map<std::string, Instant> out_of_service_since_;  // By zone that is out of service.
  std::map<std::size_t, Instant> leaving_since_;         // By sidecar.
};

}  // namespace bluebellstep::scenario

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_SCENARIO_RUNNER_H_
