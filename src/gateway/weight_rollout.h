// Brings model engines to the wanted weight version, a few at a time.
//
// Runs on one gateway at a time, the holder of the lease. Commands carry the lease's fencing number
// and the number of commands that the engine has accepted, so that a command that is carried out
// late, after others, has no effect.

#ifndef BLUEBELLSTEP_GATEWAY_WEIGHT_ROLLOUT_H_
#define BLUEBELLSTEP_GATEWAY_WEIGHT_ROLLOUT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace bluebellstep {

/** What an engine reports of itself. */
struct EngineReport {
  std::uint64_t command_sequence = 0;  // Commands accepted since its start.
  bool busy = false;                   // A command is being carried out.
  std::int64_t started_ms = 0;
  std::optional<std::uint64_t> weight_version;  // Of the model asked for.
};

/** A command to load a weight version. */
struct WeightLoadCommand {
  std::string upstream_id;
  std::string model;
  std::uint64_t weight_version = 0;
  std::uint64_t expected_sequence = 0;
  std::uint64_t fencing_number = 0;
  std::string holder;
};

enum class WeightLoadAnswer {
  kAccepted,
  kAlreadyLoaded,
  kStaleFencingNumber,  // The engine has seen a higher fencing number.
  kRefused,             // Not carried out: the engine is busy, or is another one.
  kOutcomeUnknown,      // May be carried out, now or seconds later.
};

/** An engine that should change its weights. */
struct RolloutTarget {
  std::string upstream_id;
  std::string model;
  std::uint64_t current_version = 0;
  std::uint64_t wanted_version = 0;
  std::size_t load = 0;  // Requests that run there as far as known; idle engines go first.
};

/** The next call to an engine. */
struct RolloutStep {
  enum class Kind { kReport, kLoad };
  Kind kind = Kind::kReport;
  WeightLoadCommand command;  // Only the upstream and the model are set for a report.
};

/** Decides which engine is asked or commanded next. */
class WeightRollout {
 public:
  /** Pause between two reports of one engine while its load runs. */
  static constexpr Duration kReportPause{250};
  /** A load takes at least this long, so that an earlier report is of no use. */
  static constexpr Duration kShortestLoad{800};
  /** An accepted load that shows no effect for this time is commanded again. */
  static constexpr Duration kLoadLimit{6000};
  /** Pause after a command whose fate is not known. */
  static constexpr Duration kRetryPause{1000};
  /** One engine in this many may load at once; more would take too many out of service. */
  static constexpr std::size_t kEnginesPerLoad = 4;

  /** Sets the engines that have another version than the wanted one; those that are left out are
   * done or gone. `engines` counts all engines of the models concerned. */
  void set_targets(std::vector<RolloutTarget> targets, std::size_t engines, Instant now);

  /** Returns a call to make now, or nothing. Ask again until there is none. */
  std::optional<RolloutStep> next(Instant now);

  void on_report(std::string_view upstream_id, std::optional<EngineReport> report, Instant now);
  void on_load(std::string_view upstream_id, WeightLoadAnswer answer, Instant now);

  bool needed() const { return !engines_.empty(); }
  /** When to call `next` again although nothing was reported. */
  std::optional<Instant> next_at() const;

 private:
  enum class Phase { kWaiting, kAsking, kReady, kCommanding, kLoading };

  struct Engine {
    RolloutTarget target;
    Phase phase = Phase::kWaiting;
    Instant due;  // `kWaiting` and `kLoading`: when to ask for a report.
    Instant load_began;
    std::uint64_t sequence = 0;
    bool commanded = false;  // A command was sent, so the engine takes a place among the loads.
  };

  std::size_t loading() const;
  std::size_t places() const;
  RolloutStep ask(Engine& engine);

  std::map<std::string, Engine, std::less<>> engines_;
  std::size_t engine_count_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_WEIGHT_ROLLOUT_H_
