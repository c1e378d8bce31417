// A sidecar with its engine in a scenario: the decision classes of the product around the engine
// model, without sockets.

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
  std::string version;  // That its blocks are keyed by.
  std::string account;
};

enum class RequestOutcome : std::uint8_t { kAnswered, kRefused, kBroken, kAborted };

/** What the runner learns from a sidecar. */
struct SidecarListener {
  std::function<void(const Request&, RequestOutcome)> on_end;
  std::function<void(const std::string&)> on_violation;
  std::function<void(const std::string&)> on_mixed_versions;
  std::function<void(const std::string&)> on_mixed_accounts;
  std::function<void()> on_admitted;
  std::function<void(int code)> on_exit;
};

/** What one sidecar tells in a heartbeat. */
struct SidecarHint {
  bool leaving = false;
  std::string version;
};

/** One sidecar slot. The engine outlives the process in it. */
class SimulatedSidecar {
 public:
  SimulatedSidecar(SidecarSpec spec, Mechanism omitted, OperatorKeys operators, Instant now);

  const SidecarSpec& spec() const { return spec_; }
  void set_listener(SidecarListener listener) { listener_ = std::move(listener); }
  void set_load(const LoadSpec& load) { load_ = load; }

  /** Starts a process, which is given the zones of the bundle. */
  void start(const Bundle& bundle, Instant now);

  /** Ends the process; open requests break. */
  void kill();

  bool is_running() const { return process_ != nullptr; }

  /** Requests that the process took and has not ended. */
  std::size_t open_requests() const { return process_->runs.size() + process_->waiting.size(); }

  std::uint64_t incarnation() const { return incarnation_; }
  ZoneRegistry& zones() { return process_->zones; }

  /** Takes over the state of the zone after a change of `zones`. */
  void update_zone_state();

  void submit(const Request& request, Instant now);
  void drain(Instant now);
  void swap_weights(const std::string& version, Instant now);

  /** The engine turns cold without a report. */
  void go_cold(Instant now);

  /** Moves the engine on, and the process too unless it is paused. */
  void tick(bool paused, Instant now);

  SidecarHint hint() const { return {process_->drain.leaving(), process_->version}; }

  /** Falls of the engine, but for one after each `go_cold` that no sign had shown yet. */
  std::uint64_t unexplained_crashes() const { return unexplained_crashes_; }

  /** Falls that a `go_cold` explains. */
  std::uint64_t explained_crashes() const {
    return engine_.counters().falls - unexplained_crashes_;
  }

 private:
  struct Run {
    Request request;
    SlotId slot;
    std::vector<BlockKey> keys;
    std::uint32_t known_blocks = 0;
    Instant dispatched;
    Duration predicted;
  };

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
  std::vector<BlockKey> keys_of(const Request& request);
  BlockKey seed_of(const Request& request) const;
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
  bool undetected_cold_ = false;
  std::map<std::pair<std::size_t, BlockKey>, std::vector<BlockKey>>
      keys_by_prompt_;                                // By prompt and seed.
  std::map<BlockKey, Request> key_owners_;            // The first request for each key.
  std::vector<standins::StreamEvent> unread_events_;  // Events that arrived while paused.
};

/** The text of a prompt; equal numbers give equal texts. */
std::string prompt_text(std::size_t prompt, std::uint32_t blocks);

}  // namespace bluebellstep::scenario

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_SCENARIO_SIDECAR_H_
