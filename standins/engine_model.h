// Model of an inference engine with continuous batching, under a virtual clock.
//
// It has no thread, socket or clock: the caller moves time with `advance`, and fetches what
// happened with `take_events`. Time runs in microseconds inside, since a decode step can end
// between two milliseconds.

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
 * The engine. Requests wait by priority, then arrival, until a place in the batch and KV memory are
 * free. A run first computes its prompt, then gives one token in each decode step. A cold engine
 * bears few running requests; when more than 1.5 times of these run, it falls over: all runs are
 * lost, and it starts cold under a new start id. Every method that takes `now` first advances to
 * it.
 */
class EngineModel {
 public:
  EngineModel(EngineOptions options, Instant now);
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;
  ~EngineModel();

  /** Runs the engine up to `now`. Time never goes backwards; an earlier `now` does nothing. */
  void advance(Instant now);

  /** Returns when to call `advance` next; nothing if the engine is idle. */
  std::optional<Instant> next_event() const;

  /** Takes a new request. */
  SubmitResult submit(CompletionRequest request, Instant now);

  /** Opens a further stream of a run, from the token at `from_index`. Nothing if the run is unknown
   * or ended too long ago, or if it did not generate that index. */
  std::optional<StreamId> resume(std::string_view request_id,
                                 std::uint32_t from_index,
                                 Instant now);

  /** Ends a waiting or running request; its streams break. False if there is none. */
  bool cancel(std::string_view request_id, Instant now);

  /** Forgets a stream whose reader went away. The run continues. */
  void close_stream(StreamId stream);

  /** Returns the stream events since the last call, in order. */
  std::vector<StreamEvent> take_events() { return std::exchange(events_, {}); }

  /** Returns the weight loads that ended since the last call. */
  std::vector<FinishedWeightLoad> take_finished_weight_loads() {
    return std::exchange(finished_weight_loads_, {});
  }

  /** Returns the load report as of the configured lag ago. */
  const LoadReport& load_report(Instant now);

  /** Returns the visible cache events after `after`. */
  CacheEventPage cache_events(std::uint64_t after, Instant now);

  /** Returns the keys of all blocks. The events after `last_cache_event_number` follow from this
   * list. */
  std::vector<BlockKey> cached_keys(Instant now);

  /** Number of the newest cache event, whether visible or not. */
  std::uint64_t last_cache_event_number() const { return cache_log_.last_sequence_number(); }

  /** Returns the bytes of a block; nothing if it is not cached. */
  std::optional<std::string> export_block(BlockKey key, Instant now);

  /** Adds a block. Bytes that do not belong to `key` are accepted and counted. False if runs hold
   * all of the memory. */
  bool import_block(BlockKey key, std::string bytes, Instant now);

  /** Starts to load `version` of `model`, or a model that is new. */
  CommandResult load_weights(std::string_view model,
                             std::string_view version,
                             std::uint64_t fencing_number,
                             Instant now);

  /** Makes `adapter` available as model "`model`:`adapter`". */
  CommandResult load_adapter(std::string_view model,
                             std::string_view adapter,
                             std::uint64_t fencing_number,
                             Instant now);

  /** Sets the role. */
  CommandResult set_role(std::string_view role, std::uint64_t fencing_number);

  /** Empties the cache and restarts the warm-up without any report. Runs continue, if the cold
   * engine bears them. */
  void go_cold(Instant now);

  /** Breaks all runs and starts again cold under a new start id. */
  void crash(Instant now);

  /** Replaces the set of injected faults. */
  void set_faults(EngineFaults faults) { faults_ = faults; }

  /** Number of running requests that the engine bears now. */
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
    std::string weight_version;  // Set when the run starts; stays the same across a swap.
    RunPhase phase = RunPhase::kWaiting;
    std::int32_t priority = 0;
    ExpectedAnswer answer{""};
    std::vector<BlockKey> keys;  // Of the prompt's whole blocks.
    std::vector<BlockRef> blocks;
    std::uint32_t first_index = 0;
    std::uint32_t next_index = 0;
    std::uint32_t total_tokens = 0;
    bool ends_naturally = false;
    bool resume_text_matches = true;
    std::uint64_t prompt_tokens = 0;  // With the text to resume from.
    double prefill_tokens_left = 0;   // Tokens.
    StreamStarted usage;
    std::vector<StreamId> streams;

    std::uint64_t kv_tokens() const { return prompt_tokens + (total_tokens - first_index); }
  };

  struct Stream {
    RunId run;
    std::uint32_t from_index = 0;
    std::uint32_t sent_tokens = 0;  // Tokens.
    bool stalled = false;
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
  double warmed_capacity_ = 0;  // Running requests borne beyond `cold_capacity`.

  // Every run that can be resumed or cancelled; `by_request_` has one entry for each.
  std::unordered_map<RunId, Run> runs_;
  std::unordered_map<std::string, RunId, StringHash, std::equal_to<>> by_request_;
  std::set<std::pair<std::int64_t, RunId>> waiting_;  // By negated priority, then arrival.
  std::vector<RunId> running_;                        // Phases kPrefill and kDecode.
  std::vector<RunId> decode_batch_;  // Runs that get a token at the end of the step.
  std::optional<std::int64_t> decode_end_us_;
  std::uint64_t kv_tokens_used_ = 0;  // Sum over `running_`.
  std::deque<std::pair<Instant, RunId>> ended_;
  std::unordered_map<StreamId, Stream> streams_;
  std::uint64_t last_id_ = 0;

  PrefixCache cache_;
  CacheEventLog cache_log_;
  std::map<std::string, std::string> models_;
  std::optional<WeightLoad> weight_load_;
  std::uint64_t highest_fencing_number_ = 0;
  LoadHistory load_history_;
  bool load_changed_ = true;  // Since the last entry in `load_history_`.
  std::vector<StreamEvent> events_;
  std::vector<FinishedWeightLoad> finished_weight_loads_;
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_ENGINE_MODEL_H_
