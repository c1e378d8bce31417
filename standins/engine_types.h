// Types in the interface of the engine model: options, faults, requests, results, stream events,
// load reports and counters.

#ifndef BLUEBELLSTEP_STANDINS_ENGINE_TYPES_H_
#define BLUEBELLSTEP_STANDINS_ENGINE_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "base/clock.h"
#include "base/id.h"
#include "cache/block_key.h"

namespace bluebellstep::standins {

/** Id of one stream of an answer. A run may have several streams. */
using StreamId = Id<struct StreamTag, std::uint64_t>;

/** Id of one accepted weight load. */
using WeightLoadId = Id<struct WeightLoadTag, std::uint64_t>;

/** Number of servers in a deployment that are loading weights; shared by their engine models. */
struct WeightLoadGroup {
  int loading_servers = 0;
};

/** Settings of an `EngineModel`. */
struct EngineOptions {
  std::string start_id = "engine";  // Prefix; the incarnation number is appended.
  std::map<std::string, std::string> models = {{"clerk", "1"}};  // Weight version by model.
  std::uint32_t max_running = 16;
  std::uint32_t max_waiting = 256;
  std::uint64_t max_kv_tokens = 400'000;      // Prompt and answer tokens of all running requests.
  double prefill_tokens_per_s = 20'000;       // Shared equally by the requests in prefill.
  std::int64_t decode_step_us = 8'000;        // Base duration of a decode step.
  std::int64_t decode_step_us_per_run = 400;  // Added for each run in the batch.
  std::size_t cache_blocks = 256;             // Capacity of the prefix cache.
  std::size_t block_bytes = 65'536;           // Size of an exported block.
  std::uint32_t cold_capacity = 2;            // Running requests that a cold engine sustains.
  double capacity_per_completion = 1;         // Added to the capacity per completed request.
  bool starts_warm = false;                   // Starts warm; a restart after a crash is cold.
  Duration events_lag = {50};                 // Delay until a cache event becomes visible.
  Duration load_lag = {100};                  // Age of load reports.
  Duration weight_load_time = {800};          // Duration of one weight load.
  double contended_load_factor = 2;     // Multiplies `weight_load_time` if over two servers load.
  bool checks_fencing_numbers = true;   // If false, stale commands are executed, but counted.
  Duration ended_retention = {30'000};  // How long an ended run can still be resumed.
  std::shared_ptr<WeightLoadGroup> weight_load_group;  // Null if there are no other servers.
};

/** Injected faults. An unset optional leaves the behaviour to the `EngineOptions`. */
struct EngineFaults {
  std::optional<Duration> events_lag;
  std::uint32_t drop_event_every = 0;  // Drops events whose number is a multiple; 0: none.
  std::optional<Duration> load_lag;
  std::optional<std::uint32_t> stall_after_tokens;  // Per stream; it stays open without events.
  std::optional<std::uint32_t> break_after_tokens;  // Per stream; the run continues.
  bool refuse = false;                              // Refuses all new requests as overloaded.
};

/** A request to generate the answer to a prompt. */
struct CompletionRequest {
  std::string request_id;
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 0;   // Of the complete answer, `resume_text` included.
  std::int32_t priority = 0;      // Higher values start first.
  BlockKey cache_salt;            // Seed of the block keys of the prompt.
  std::string resume_text;        // The first `first_index` tokens of the answer.
  std::uint32_t first_index = 0;  // Index of the first token to generate.
};

/** Why a request was refused. A refused request is not run. */
enum class SubmitError : std::uint8_t { kOverloaded, kUnknownModel, kBadRequest };

/** Result of submitting a request: the stream of its answer, or the reason for the refusal. */
using SubmitResult = std::variant<StreamId, SubmitError>;

/** First event of a stream, sent immediately before the first token. The usage counts refer to the
 * prompt. */
struct StreamStarted {
  std::string start_id;
  std::string weight_version;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_blocks = 0;
  std::uint64_t computed_blocks = 0;
};

/** One token of an answer. */
struct StreamToken {
  std::uint32_t index = 0;
  std::string text;
};

/** End of a complete answer. */
struct StreamFinished {
  bool ended_naturally = false;    // The answer ended before `max_tokens`.
  std::uint32_t total_tokens = 0;  // Of the complete answer, from index 0.
};

/** End of a stream before the answer is complete. */
struct StreamBroken {};

/** An event on a stream. */
struct StreamEvent {
  StreamId stream;
  Instant at;
  std::variant<StreamStarted, StreamToken, StreamFinished, StreamBroken> payload;
};

/** Snapshot of the load of an engine. */
struct LoadReport {
  std::string start_id;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t kv_tokens_used = 0;
  std::uint64_t kv_tokens_limit = 0;
  std::map<std::string, std::string> models;  // Weight version by model.
};

/** The command took effect. */
struct CommandDone {};

/** The command was refused because its fencing number is lower than the highest one received. */
struct StaleFencingNumber {
  std::uint64_t highest = 0;
};

/** Why a command with a valid fencing number was refused. */
enum class CommandError : std::uint8_t { kLoadInProgress, kUnknownModel };

/** Result of a command. A `WeightLoadId` means that a weight load was started;
 * `EngineModel::take_finished_weight_loads` returns its end. */
using CommandResult = std::variant<CommandDone, WeightLoadId, StaleFencingNumber, CommandError>;

/** End of a weight load. */
struct FinishedWeightLoad {
  WeightLoadId load;
  bool loaded = false;  // False if the engine crashed during the load.
};

/** Totals since the model was created. Restarts of the engine do not reset them. */
struct EngineCounters {
  std::uint64_t submitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t broken_runs = 0;  // Waiting and running requests lost in crashes.
  std::uint64_t crashes = 0;
  std::uint64_t peak_running = 0;
  std::uint64_t tokens = 0;
  std::uint64_t prompt_tokens = 0;     // Of started requests.
  std::uint64_t prefilled_tokens = 0;  // Part of `prompt_tokens` that was computed.
  std::uint64_t cached_blocks = 0;     // Prompt blocks read from the cache.
  std::uint64_t computed_blocks = 0;   // Prompt blocks computed.
  std::uint64_t evicted_blocks = 0;
  std::uint64_t exports = 0;
  std::uint64_t imports = 0;
  std::uint64_t corrupt_imports = 0;      // Imports of bytes that do not belong to the key.
  std::uint64_t corrupt_reads = 0;        // Requests that read such a block.
  std::uint64_t wrong_version_reads = 0;  // Requests that read a block of another weight version.
  std::uint64_t wrong_resume_texts = 0;   // Requests whose `resume_text` does not match the answer.
  std::uint64_t resumed_streams = 0;
  std::uint64_t weight_loads = 0;
  std::uint64_t stale_commands = 0;  // Commands with stale fencing numbers, executed or not.
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_ENGINE_TYPES_H_
