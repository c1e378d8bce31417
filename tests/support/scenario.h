// Contents of a scenario file, and its reader.

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

/** Rules that a run can leave out, to show that its checks notice. */
enum class Mechanism : std::uint8_t {
  kNone,
  kSlowStart,      // The limit is the maximum from the start.
  kColdDetection,  // First tokens and broken connections are not reported to admission.
  kVersionCheck,   // Admission is not told which weight version a request is keyed by.
  kAccountSeed,    // The cache seed does not cover the client account.
  kVersionedSeed,  // The cache seed does not cover the weight version.
  kZoneCheck,      // Admission is not told that the zone is out.
  kPauseCheck,     // Admission is not told when the process runs.
  kNoticeSpread,   // Heartbeats carry no zone notices.
  kLeavingCheck,   // Neither admission nor the drain refuses new work.
  kGracefulStop,   // A process told to stop exits at once.
};

struct SidecarSpec {
  std::string name;
  std::string zone;
};

/** What happens to messages between processes. Answers and refusals are delayed but not lost. */
struct NetworkSpec {
  Duration min_delay{1};
  Duration max_delay{5};
  double loss = 0;
};

/** Requests that each entry instance sends from the first `load` step on. */
struct LoadSpec {
  Duration interval{50};
  std::uint32_t prompt_blocks = 1;
  std::uint32_t max_tokens = 16;
};

enum class Action : std::uint8_t {
  kLoad,
  kZoneNotice,
  kPause,
  kResume,
  kKill,
  kStart,
  kDrain,
  kCut,
  kHeal,
  kGoCold,
  kSwap,
  kPlatform,
};

struct Step {
  Instant at;
  Action action = Action::kLoad;
  int line = 0;
  std::string target;  // Process, or the zone of a notice.
  std::string other;   // Second process of a cut, or the process that gets a notice.
  std::string value;   // "in" or "out", "up" or "down", or a weight version.
  LoadSpec load;
};

/** Conditions on a whole run; an unset one is not checked. */
struct Checks {
  std::optional<std::uint64_t> answered_at_least;
  /** Falls of engines that no `go_cold` without a sign since explains. */
  std::optional<std::uint64_t> falls_at_most;
  /** No block key stands for two weight versions, or for two client accounts. */
  bool versions_apart = false;
  bool accounts_apart = false;
  /** Time from a notice, or from a drain, to the last admission of new work. */
  std::optional<Duration> zone_out_within;
  std::optional<Duration> leaving_within;
  /** Drained processes exit with code 0 and no open request. */
  bool graceful = false;
};

struct Scenario {
  std::string path;
  int promise = 0;
  std::uint64_t seeds = 1;
  Duration run_time{10'000};
  /** Each step is later by a random time up to this. */
  Duration jitter{0};
  std::uint32_t entries = 1;
  std::vector<SidecarSpec> sidecars;
  NetworkSpec network;
  std::vector<Step> steps;
  Checks checks;
  /** For each of these, some seed must violate the checks when the mechanism is left out. */
  std::vector<Mechanism> fails_without;
};

/** A mistake in a scenario file; `what` starts with file and line. */
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Reads `text`, the contents of `path`. Throws `ScenarioError`. */
Scenario parse_scenario(const std::string& path, const std::string& text);

/** Reads the file at `path`. Throws `ScenarioError`. */
Scenario load_scenario(const std::string& path);

/** The name used in files, for example "slow_start". */
std::string_view to_string(Mechanism mechanism);

}  // namespace bluebellstep::scenario

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_SCENARIO_H_
