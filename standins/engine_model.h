// Model of an inference engine with continuous batching, under a virtual clock.
// The model has no threads, sockets or clock: its user advances the time with `advance` and
// collects the resulting events with `take_events`. Internally, time is in microseconds, because a
// decode step can end between two milliseconds.

#ifndef BLUEBELLSTEP_STANDINS_ENGINE_MODEL_H_
#define BLUEBELLSTEP_STANDINS_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "standins/cache_event_log.h"
#include "standins/engine_types.h"
#include "standins/expected_answer.h"
#include "standins/load_history.h"
#include "standins/prefix_cache.h"

namespace bluebellstep::standins {

/**
 * Model of an inference engine. Waiting requests start in order of priority, then of arrival, once
 * the batch has a free place and enough KV memory is free. A run first computes its prompt
 * (prefill), then generates one token in each decode step.
 *
 * A cold engine sustains few running requests, and more with each request that completes. If more
 * than 1.5 times this number run, the engine crashes: all runs are lost, and it restarts cold under
 * a new start id.
 *
 * Every method that takes `now` first advances the model to that time.
 */
class EngineModel {
 public:
  /** Creates an engine that starts at `now`. The limit of running requests and the prefill rate in
   * `options` must be above 0. */
  EngineModel(EngineOptions options, Instant now);
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;
  ~EngineModel();

  /** Runs the engine up to `now`. Has no effect if `now` is earlier than the current time of the
   * model. */
  void advance(Instant now);

  /** Returns the time at which to call `advance` next; nothing if the engine is idle. */
  std::optional<Instant> next_event() const;

  /** Queues a request and opens the stream of its answer, or returns why the request is refused. A
   * refused request is not run. The id of an ended request may be reused; its run can then no
   * longer be resumed. */
  SubmitResult submit(CompletionRequest request, Instant now);

  /** Opens another stream of a run, which starts with the token at `from_index`. Returns nothing if
   * the request is unknown, if its run ended longer than `EngineOptions::ended_retention` ago, or
   * if `from_index` is outside the tokens that the run generates. */
  std::optional<StreamId> resume(std::string_view request_id,
                                 std::uint32_t from_index,
                                 Instant now);

  /** Cancels a waiting or running request and breaks its streams. Returns false if no such request
   * is waiting or running. */
  bool cancel(std::string_view request_id, Instant now);

  /** Removes a stream whose reader disconnected. The run continues. */
  void close_stream(StreamId stream);

  /** Returns the stream events since the last call, in order. */
  std::vector<StreamEvent> take_events() { return std::exchange(events_, {}); }

  /** Returns the weight loads that ended since the last call. */
  std::vector<FinishedWeightLoad> take_finished_weight_loads() {
    return std::exchange(finished_weight_loads_, {});
  }

  /** Returns the load report for the state one load lag ago. */
  const LoadReport& load_report(Instant now);

  /** Returns the visible cache events with sequence numbers above `after`. */
  CacheEventPage cache_events(std::uint64_t after, Instant now);

  /** Returns the keys of all cached blocks, which reflect the cache events up to
   * `last_cache_event_number`. */
  std::vector<BlockKey> cached_keys(Instant now);

  /** Sequence number of the newest cache event, visible or not. */
  std::uint64_t last_cache_event_number() const { return cache_log_.last_sequence_number(); }

  /** Returns the contents of a block; nothing if it is not cached. */
  std::optional<std::string> export_block(BlockKey key, Instant now);

  /** Adds a block, or replaces the cached block with the same key. Bytes that do not belong to
   * `key` are accepted and counted as a corrupt import. Returns false if the cache is full and runs
   * hold all of its blocks. */
  bool import_block(BlockKey key, std::string bytes, Instant now);

  /** Starts to load the weights of `version` for `model`, which may be a new model. Only one load
   * can be in progress. */
  CommandResult load_weights(std::string_view model,
                             std::string_view version,
                             std::uint64_t fencing_number,
                             Instant now);

  /** Makes `adapter` available as the model "`model`:`adapter`", with the weights of `model`. */
  CommandResult load_adapter(std::string_view model,
                             std::string_view adapter,
                             std::uint64_t fencing_number,
                             Instant now);

  /** Sets the role of the engine. The model only stores it. */
  CommandResult set_role(std::string_view role, std::uint64_t fencing_number);

  /** Empties the cache and restarts the warm-up, without cache events and under the same start id.
   * Runs continue, unless there are too many for a cold engine, which then crashes. */
  void go_cold(Instant now);

  /** Crashes the engine: breaks all runs and restarts cold under a new start id. */
  void crash(Instant now);

  /** Replaces the set of injected faults. */
  void set_faults(EngineFaults faults) { faults_ = faults; }

  /** Number of running requests that the engine currently sustains. */
  std::uint32_t run_capacity() const;

  const std::string& start_id() const { return start_id_; }
  const std::string& role() const { return role_; }
  const EngineOptions& options() const { return options_; }
  const EngineCounters& counters() const { return counters_; }

 private:
  using RunId = Id<struct RunTag, std::uint64_t>;
  enum class RunPhase : std::uint8_t { kWaiting, kPrefill, kDecode, kEnded };

  struct Run {
    std::string request_id;
    std::string model;
    std::string weight_version;  // Set when the run starts; a later weight load does not change it.
    RunPhase phase = RunPhase::kWaiting;
    std::int32_t priority = 0;
    ExpectedAnswer answer{""};
    std::vector<BlockKey> keys;    // Of the prompt's complete blocks.
    std::vector<BlockRef> blocks;  // Cached blocks that the run holds, in prompt order.
    std::uint32_t first_index = 0;
    std::uint32_t next_index = 0;
    std::uint32_t total_tokens = 0;  // Of the complete answer, from index 0.
    bool ends_naturally = false;     // The answer is shorter than the requested maximum.
    bool resume_text_matches = true;
    std::uint64_t prompt_tokens = 0;  // Includes the resume text.
    double prefill_tokens_left = 0;
    StreamStarted usage;
    std::vector<StreamId> streams;

    std::uint64_t kv_tokens() const { return prompt_tokens + (total_tokens - first_index); }
  };

  struct Stream {
    RunId run;
    std::uint32_t from_index = 0;
    std::uint32_t sent_tokens = 0;
    bool stalled = false;  // An injected fault suppresses all further events.
  };

  struct WeightLoad {
    WeightLoadId id;
    std::string model;
    std::string version;
    std::int64_t end_us = 0;
  };

  Instant time() const { return {time_us_ / 1000}; }
  std::optional<SubmitError> refusal_reason(const CompletionRequest& request) const;
  Run make_run(CompletionRequest request) const;

  // Batching.
  std::optional<std::int64_t> next_step_us() const;
  void step_to(std::int64_t at_us);
  void start_waiting_runs();
  void start_run(RunId id);
  void advance_prefill(std::int64_t to_us);
  void finish_prefill(RunId id);
  void start_decode_step();
  void finish_decode_step();
  void generate_token(RunId id);
  void finish_run(RunId id);
  void remove_from_batch(RunId id);
  void erase_run(RunId id);
  void expire_ended_runs();
  std::size_t prefilling_count() const;
  void restart_cold();
  void crash_if_over_capacity();

  // Streams.
  StreamId open_stream(RunId run, std::uint32_t from_index);
  void replay(StreamId stream, const Run& run);
  void send(StreamId stream, decltype(StreamEvent::payload) payload);
  void send_to_run(RunId run, const decltype(StreamEvent::payload)& payload);
  void break_stream(StreamId stream);
  bool apply_stream_faults(StreamId id, Stream& stream);

  // Cache, loads and commands.
  void count_block_reads(const Run& run);
  void store_blocks(Run& run);
  void log_evictions();
  void log_cache_event(CacheEventType type, std::vector<BlockKey> keys);
  void finish_weight_load();
  bool accept_fencing_number(std::uint64_t number);
  void record_load();
  Duration load_lag() const { return faults_.load_lag.value_or(options_.load_lag); }

  EngineOptions options_;
  EngineFaults faults_;
  EngineCounters counters_;
  std::string start_id_;
  std::uint64_t incarnation_ = 0;
  std::string role_;
  std::int64_t time_us_;
  double warmed_capacity_ = 0;  // Running requests sustained beyond `cold_capacity`.

  // Waiting, running and retained ended runs. `by_request_` has exactly one entry for each.
  std::unordered_map<RunId, Run> runs_;
  std::unordered_map<std::string, RunId, StringHash, std::equal_to<>> by_request_;
  std::set<std::pair<std::int64_t, RunId>> waiting_;  // By negated priority, then arrival.
  std::vector<RunId> running_;                        // In phase kPrefill or kDecode.
  std::vector<RunId> decode_batch_;                   // Runs in the current decode step.
  std::optional<std::int64_t> decode_end_us_;
  std::uint64_t kv_tokens_used_ = 0;             // Sum of `Run::kv_tokens` over `running_`.
  std::deque<std::pair<Instant, RunId>> ended_;  // Retained ended runs by end time.
  std::unordered_map<StreamId, Stream> streams_;
  std::uint64_t last_id_ = 0;  // Shared by runs, streams and weight loads.

  PrefixCache cache_;
  CacheEventLog cache_log_;
  std::map<std::string, std::string> models_;  // Weight version by model or "model:adapter".
  std::optional<WeightLoad> weight_load_;      // The load in progress.
  std::uint64_t highest_fencing_number_ = 0;
  LoadHistory load_history_;
  bool load_changed_ = true;  // Since the last record in `load_history_`.
  std::vector<StreamEvent> events_;
  std::vector<FinishedWeightLoad> finished_weight_loads_;
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_ENGINE_MODEL_H_
