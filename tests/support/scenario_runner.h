// Runs a scenario file under a virtual clock: entry instances, sidecars and engines, and messages
// between them that are delayed, lost or held back by a pause. Every run is repeatable from its
// seed.

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

/** What happened in one run. */
struct Report {
  std::uint64_t sent = 0;
  std::uint64_t admitted = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t broken = 0;
  std::uint64_t crashes = 0;  // That no `go_cold` explains.
  std::uint64_t explained_crashes = 0;
  std::optional<std::string> violation;
};

/** One run of a scenario. */
class ScenarioRunner {
 public:
  /** `operators` is shared by all runs of a test, because keys are slow to make. */
  ScenarioRunner(const Scenario& scenario,
                 const TestOperators& operators,
                 std::uint64_t seed,
                 Mechanism omitted);

  /** Runs to the end and checks. */
  Report run();

 private:
  // State common to all processes.
  struct Process {
    bool paused = false;
    std::vector<std::function<void()>> delayed_messages;  // Messages that arrived during a pause.
  };

  struct Entry {
    std::unique_ptr<ZoneRegistry> zones;  // Null while the process is dead.
    std::uint64_t incarnation = 1;
    std::map<std::size_t, SidecarHint> hints;  // Of the sidecars that it has a link to.
    std::map<std::size_t, std::uint64_t> connected_incarnation;
  };

  void start_processes();
  void install_listener(std::size_t sidecar);
  void apply(const Step& step);
  void start_load(const LoadSpec& load);
  void submit_notice(const Step& step);
  void kill(const std::string& name);
  void start(const std::string& name);
  void start_sidecar(std::size_t index);
  void resume(const std::string& name);
  void drain(const std::string& name);
  void tick();

  void send(const std::string& from, const std::string& to, bool may_lose, std::function<void()>);
  void send_periodically(std::size_t entry, Duration interval);
  void send_request(std::size_t entry);
  void send_heartbeats(std::size_t entry);
  void exchange_heartbeats(std::size_t entry, std::size_t sidecar);
  void send_notices(std::size_t entry, std::size_t other);
  std::vector<ZoneNotice> notices_of(const ZoneRegistry& zones) const;
  bool apply_notices(ZoneRegistry& zones, const std::vector<ZoneNotice>& notices);
  void check_admission(std::size_t sidecar);
  void record_violation(const std::string& what);
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
  std::map<std::string, Instant> out_of_service_since_;  // By zone, while it is out.
  std::map<std::size_t, Instant> leaving_since_;         // By sidecar.
};

}  // namespace bluebellstep::scenario

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_SCENARIO_RUNNER_H_
