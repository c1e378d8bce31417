// Decides the order and pace in which model engines load their target weight version. Engines are
// out of service while they load, so only some of them load at the same time. Engines whose weights
// are too old for requests are out of service anyway, so they do not wait for each other: each
// change of the lease's holder costs a term, and loads that were commanded before go on meanwhile.
//
// Only the gateway that holds the rollout lease runs it. Each load command carries the lease's
// fencing number and the engine's command sequence as last reported, so that an engine rejects a
// command that is delayed until after a later one.

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

/** The state that a model engine reports. */
struct EngineReport {
  std::uint64_t command_sequence = 0;  // Number of commands accepted since the engine started.
  bool busy = false;                   // A command is in progress.
  std::int64_t started_ms = 0;         // Unix time in ms.
  std::optional<std::uint64_t> weight_version;  // Of the requested model.
};

/** A command to an engine to load a weight version of a model. */
struct WeightLoadCommand {
  std::string upstream_id;
  std::string model;
  std::uint64_t weight_version = 0;
  std::uint64_t expected_sequence = 0;  // The command has no effect if the engine's own differs.
  std::uint64_t fencing_number = 0;     // Of the rollout lease.
  std::string holder;                   // Of the rollout lease: a gateway's name.
};

/** An engine's answer to a `WeightLoadCommand`. */
enum class WeightLoadAnswer {
  kAccepted,
  kAlreadyLoaded,
  kStaleFencingNumber,  // Rejected: the engine has received a higher fencing number.
  kRefused,             // Not carried out: the engine is busy, or has another id.
  kOutcomeUnknown,      // The command may take effect now, seconds later, or never.
};

/** An update of an engine whose weights of a model are older than the target version. */
struct EngineUpdate {
  std::string upstream_id;
  std::string model;
  std::uint64_t current_version = 0;
  std::uint64_t target_version = 0;
  std::size_t running_requests = 0;  // As last reported. Engines with the fewest load first.
  // From then on no gateway sends it requests, since its weights are too old.
  Instant serves_until{INT64_MAX};
};

/** A call to an engine: a request for its report, or a load command. */
struct EngineCall {
  enum class Kind { kRequestReport, kLoadWeights };
  Kind kind = Kind::kRequestReport;
  WeightLoadCommand command;  // For `kRequestReport`, only `upstream_id` and `model` are set.
};

/** Schedules the reports and load commands of a rollout. `RolloutDriver` makes the calls and
 * passes the answers back. All times are read from one monotonic clock. */
class WeightRollout {
 public:
  /** Interval between report requests to an engine while it loads or is busy. */
  static constexpr Duration kReportInterval{250};
  /** Shortest duration of a load. No report is requested earlier after an accepted command. */
  static constexpr Duration kMinLoadTime{800};
  /** If an accepted load is not complete after this time, the command is sent again. */
  static constexpr Duration kLoadTimeout{6000};
  /** Delay after an engine failed to report, or after a command with unknown outcome. */
  static constexpr Duration kRetryDelay{1000};
  /** One in this many engines may load at the same time; engines are out of service meanwhile. */
  static constexpr std::size_t kEnginesPerConcurrentLoad = 4;

  /** Replaces the set of engines to update. Engines that are left out are up to date or removed.
   * `engine_count` counts all engines of the models that have a target version. */
  void set_pending_updates(std::vector<EngineUpdate> updates,
                           std::size_t engine_count,
                           Instant now);

  /** Returns a call to make now, or nothing. Call repeatedly until it returns nothing. */
  std::optional<EngineCall> next(Instant now);

  /** Handles an engine's report; nothing if the engine did not send a valid one. */
  void on_report(std::string_view upstream_id, std::optional<EngineReport> report, Instant now);
  /** Handles the answer to a load command. */
  void on_load_answer(std::string_view upstream_id, WeightLoadAnswer answer, Instant now);

  bool has_pending_updates() const { return !engines_.empty(); }
  /** When to call `next` again if no answer arrives before; nothing if no engine is waiting. */
  std::optional<Instant> next_due() const;

 private:
  enum class Phase {
    kWaiting,             // For `due` and for a free load slot.
    kAwaitingReport,      // A report was requested.
    kReadyToLoad,         // The report allows a load command.
    kAwaitingLoadAnswer,  // A load command was sent.
    kLoading              // A load may be in progress; its progress is polled from `due` on.
  };

  struct Engine {
    EngineUpdate update;
    Phase phase = Phase::kWaiting;
    Instant due_at;  // In `kWaiting` and `kLoading`: earliest time of the next report request.
    Instant load_started_at;
    // Of the report that the last load command was based on. The command expects this sequence, so
    // a higher one shows that the engine accepted it, whatever version it was for.
    std::uint64_t reported_sequence = 0;
    // Since its last report. Engines that fail to report yield to others, since each request for a
    // report that is not answered takes up a load slot for as long as the call may take.
    std::uint32_t failed_reports = 0;
    std::int64_t reported_start_ms = 0;
    // A command was sent that may be in progress; counts towards `max_concurrent_loads`. Ends when
    // a report shows that the engine accepted the command, or started again, and is not busy.
    bool load_may_run = false;
  };

  // Loads of engines that would receive requests if they did not load.
  std::size_t concurrent_loads(Instant now) const;
  std::size_t max_concurrent_loads() const;
  EngineCall request_report(Engine& engine);

  std::map<std::string, Engine, std::less<>> engines_;
  std::size_t engine_count_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_WEIGHT_ROLLOUT_H_
