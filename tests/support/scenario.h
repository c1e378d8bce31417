// Scenario files: a fleet, its network, a sequence of load and faults, and the conditions that must
// hold. See tests/scenarios.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_SCENARIO_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_SCENARIO_H_

#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace bluebellstep::scenario {

/** Mechanism of the product that a run can disable, to show that the checks detect its absence. */
enum class Mechanism : std::uint8_t {
  kNone,
  kSlowStart,      // The concurrency limit is the maximum from the start.
  kColdDetection,  // First tokens and broken connections are not reported to admission control.
  kVersionCheck,   // Requests keyed by another weight version are admitted.
  kAccountSeed,    // The cache seed does not include the client account.
  kVersionedSeed,  // The cache seed does not include the weight version.
  kZoneCheck,      // Requests are admitted while the zone is out of service.
  kPauseCheck,     // Requests are admitted directly after a start or a pause of the process.
  kNoticeSpread,   // Heartbeats contain no zone notices.
  kLeavingCheck,   // A leaving sidecar does not refuse new requests.
  kGracefulStop,   // A process that receives SIGTERM exits at once.
};

struct SidecarSpec {
  std::string name;
  std::string zone;
};

/** Delay and loss of the messages between processes. Delays are uniformly distributed; `loss` is
 * the probability that a request or a heartbeat is lost. */
struct NetworkSpec {
  Duration min_delay{1};
  Duration max_delay{5};
  double loss = 0;
};

/** Requests that each entry instance sends from a `load` step on, one every `interval`. */
struct LoadSpec {
  Duration interval{50};
  std::uint32_t prompt_blocks = 1;
  std::uint32_t max_tokens = 16;
};

/** What a step does. In a file each has its name in snake case, for example `zone_notice`. */
enum class Action : std::uint8_t {
  kLoad,
  kZoneNotice,
  kPause,
  kResume,
  kKill,
  kStart,
  kDrain,
  kCut,       // Breaks the link between two processes.
  kHeal,      // Restores it.
  kGoCold,    // Makes an engine cold without a report.
  kSwap,      // Loads another weight version into an engine.
  kPlatform,  // Starts or ends a platform outage.
};

/** A step of a scenario. */
struct Step {
  Instant at;  // Time since the start of the run.
  Action action = Action::kLoad;
  int line = 0;        // In the file.
  std::string target;  // Process name, or the zone of a notice.
  std::string other;   // Other process of `cut` and `heal`, or the process that receives a notice.
  std::string value;   // "in" or "out", "up" or "down", or a weight version.
  LoadSpec load;
};

/** Conditions that a run must meet, named like their keys in the file. An unset one is not checked.
 */
struct Checks {
  std::optional<std::uint64_t> answered_at_least;
  /** Crashes of engines by overload. The first crash after a `go_cold` that came before any cold
   * signal does not count, because the sidecar could not know that the engine was cold. */
  std::optional<std::uint64_t> falls_at_most;
  /** No block key is used for two weight versions, or for two client accounts. */
  bool versions_apart = false;
  bool accounts_apart = false;
  /** Maximum time from a zone notice, or from the start of a drain, to the last admitted request.
   */
  std::optional<Duration> zone_out_within;
  std::optional<Duration> leaving_within;
  /** Drained processes exit with code 0 and without open requests. */
  bool graceful = false;
};

/** Contents of a scenario file. */
struct Scenario {
  std::string path;
  int promise = 0;          // Number of the promise in docs/design.md that the scenario tests.
  std::uint64_t seeds = 1;  // Number of runs, with the seeds from 1 on.
  Duration run_time{10'000};
  /** Each step is delayed by a random time up to this. */
  Duration jitter{0};
  /** Number of entry instances; their names are `entry-1`, `entry-2` and so on. */
  std::uint32_t entries = 1;
  std::vector<SidecarSpec> sidecars;
  NetworkSpec network;
  std::vector<Step> steps;
  Checks checks;
  /** With any one of these disabled, at least one seed must violate the checks. */
  std::vector<Mechanism> fails_without;
};

/** Error in a scenario file; `what` starts with the path and the line number. */
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Parses `text`, the contents of the file at `path`. Throws `ScenarioError`. */
Scenario parse_scenario(const std::string& path, const std::string& text);

/** Reads and parses the file at `path`. Throws `ScenarioError`. */
Scenario load_scenario(const std::string& path);

/** Name of a mechanism in scenario files, for example "slow_start". */
std::string_view to_string(Mechanism mechanism);

}  // namespace bluebellstep::scenario

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_SCENARIO_H_
