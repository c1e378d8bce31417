// A sidecar and its engine in a scenario: the product's classes for admission, zones, shutdown and
// the block index, connected to the engine model without sockets.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_SCENARIO_SIDECAR_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_SCENARIO_SIDECAR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission_controller.h"
#include "cache/block_index.h"
#include "cache/block_key.h"
#include "shutdown/drain_controller.h"
#include "standins/engine_model.h"
#include "tests/support/scenario.h"
#include "zones/zone_registry.h"

namespace bluebellstep::scenario {

/** A request of an entry instance for one of the scenario's prompts. */
struct Request {
  std::uint64_t id = 0;
  std::size_t entry = 0;
  std::size_t prompt = 0;
  std::string version;  // Weight version that its blocks are keyed by.
  std::string account;
};

/** How a request ended. */
enum class RequestOutcome : std::uint8_t {
  kAnswered,
  kRefused,
  kBroken,  // The process or the engine's stream ended before the answer.
  kAborted  // At the stop limit of a drain.
};

/** Callbacks of a sidecar. The strings describe a violation. */
struct SidecarListener {
  std::function<void(const Request&, RequestOutcome)> on_end;
  std::function<void(const std::string&)> on_violation;
  std::function<void(const std::string&)> on_mixed_versions;
  std::function<void(const std::string&)> on_mixed_accounts;
  std::function<void()> on_admitted;
  std::function<void(int code)> on_exit;
};

/** State of a sidecar in its heartbeats. */
struct SidecarHint {
  bool leaving = false;
  std::string version;  // Weight version in force.
};

/** An engine and the sidecar process beside it. The engine keeps running when the process ends. */
class SimulatedSidecar {
 public:
  SimulatedSidecar(SidecarSpec spec, Mechanism omitted, OperatorKeys operators, Instant now);

  const SidecarSpec& spec() const { return spec_; }
  void set_listener(SidecarListener listener) { listener_ = std::move(listener); }
  void set_load(const LoadSpec& load) { load_ = load; }

  /** Starts a process with the zone states of the bundle. No effect if one is running. */
  void start(const Bundle& bundle, Instant now);

  /** Ends the process; its open requests end with `kBroken`. No effect if none is running. */
  void kill();

  bool is_running() const { return process_ != nullptr; }

  /** Number of requests that are running or waiting. The process must be running. */
  std::size_t open_requests() const { return process_->runs.size() + process_->waiting.size(); }

  std::uint64_t incarnation() const { return incarnation_; }
  ZoneRegistry& zones() { return process_->zones; }

  /** Passes the zone's state to admission control. Call after each change of `zones`. */
  void update_zone_state();

  /** Admits, queues or refuses a request. */
  void submit(const Request& request, Instant now);

  /** Delivers a SIGTERM to the process. */
  void drain(Instant now);

  /** Starts to load another weight version into the engine. */
  void swap_weights(const std::string& version, Instant now);

  /** Makes the engine cold without a report to the sidecar. */
  void go_cold(Instant now);

  /** Advances the engine to `now`, and the process too unless it is paused. */
  void tick(bool paused, Instant now);

  SidecarHint hint() const { return {process_->drain.leaving(), process_->version}; }

  /** Number of crashes of the engine, except the first one after each `go_cold` if it came before
   * any cold signal. */
  std::uint64_t unexplained_crashes() const { return unexplained_crashes_; }

  /** Number of crashes that are not in `unexplained_crashes`. */
  std::uint64_t explained_crashes() const {
    return engine_.counters().crashes - unexplained_crashes_;
  }

 private:
  // A request that was dispatched to the engine.
  struct Run {
    Request request;
    SlotId slot;
    std::vector<BlockKey> keys;
    std::uint32_t known_blocks = 0;
    Instant dispatched_at;
    Duration predicted;  // Expected time to the first token.
  };

  // State that is lost when the process ends.
  struct Process {
    AdmissionController admission;
    ZoneRegistry zones;
    DrainController drain;
    BlockIndex index;
    std::string version;
    std::deque<Request> waiting;
    std::map<standins::StreamId, Run> runs;
  };

  AdmissionRequest admission_request(const Request& request, bool from_queue) const;
  bool try_start(const Request& request, bool from_queue, Instant now);
  void dispatch(const Request& request, SlotId slot, Instant now);
  // Block keys of the request's prompt.
  std::vector<BlockKey> keys_of(const Request& request);
  // Cache seed of the request.
  BlockKey seed_of(const Request& request) const;
  // Reports a violation if a key was used for another weight version or client account before.
  void check_key_owners(const std::vector<BlockKey>& keys, const Request& request);
  void handle_event(const standins::StreamEvent& event, Instant now);
  void handle_started(Run& run, const standins::StreamStarted& started, Instant now);
  void end_run(standins::StreamId stream,
               Outcome outcome,
               RequestOutcome request_outcome,
               Instant now);
  void apply_cold_signal(std::optional<ColdSignal> signal);
  void count_crashes();
  void start_waiting(Instant now);
  void step_drain(Instant now);
  void abort_all(Instant now);
  void exit_process(int code);

  SidecarSpec spec_;
  Mechanism omitted_;
  OperatorKeys operators_;
  SidecarListener listener_;
  LoadSpec load_;
  standins::EngineModel engine_;
  std::string engine_version_ = "1";
  std::unique_ptr<Process> process_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t counted_crashes_ = 0;
  std::uint64_t unexplained_crashes_ = 0;
  bool undetected_cold_ = false;  // Set by `go_cold` until a cold signal or a crash.
  std::map<std::pair<std::size_t, BlockKey>, std::vector<BlockKey>>
      keys_by_prompt_;                      // By prompt and cache seed.
  std::map<BlockKey, Request> key_owners_;  // First request with each block key.
  std::vector<standins::StreamEvent>
      unread_events_;  // Engine events that the process has not handled yet.
};

/** Text of a prompt of this many blocks. Equal arguments give equal texts. */
std::string prompt_text(std::size_t prompt, std::uint32_t blocks);

}  // namespace bluebellstep::scenario

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_SCENARIO_SIDECAR_H_
