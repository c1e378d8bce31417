// Values that the model engine stand-in takes and gives: options, faults, requests, results, stream
// events, load reports and counters.

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

/** Id of one stream of an answer; a run may have several. */
using StreamId = Id<struct StreamTag, std::uint64_t>;

/** Id of one accepted weight load. */
using WeightLoadId = Id<struct WeightLoadTag, std::uint64_t>;

/** Number of servers of a deployment that load weights now; shared by their engine models. */
struct WeightLoadGroup {
  int loading_servers = 0;
};

/** Settings of an `EngineModel`. */
struct EngineOptions {
  std::string start_id = "engine";  // The incarnation number is appended.
  std::map<std::string, std::string> models = {{"clerk", "1"}};  // Weight version by model.
  std::uint32_t max_running = 16;
  std::uint32_t max_waiting = 256;
  std::uint64_t max_kv_tokens = 400'000;  // Prompt and answer tokens of all running requests.
  double prefill_tokens_per_s = 20'000;   // Shared equally by the requests in prefill.
  std::int64_t decode_step_us = 8'000;
  std::int64_t decode_step_us_per_run = 400;
  std::size_t cache_blocks = 256;
  std::size_t block_bytes = 65'536;     // Size of an exported block.
  std::uint32_t cold_capacity = 2;      // Running requests that a cold engine bears.
  double capacity_per_completion = 1;   // Further ones for each completed request.
  bool starts_warm = false;             // Skips the warm-up of the first start.
  Duration events_lag = {50};           // Until a cache event becomes visible.
  Duration load_lag = {100};            // Age of load reports.
  Duration weight_load_time = {800};    // Time for one weight load.
  double contended_load_factor = 2;     // On `weight_load_time` when more than two servers load.
  bool checks_fencing_numbers = true;   // Otherwise they are ignored, but counted.
  Duration ended_retention = {30'000};  // How long an ended run can be resumed.
  std::shared_ptr<WeightLoadGroup> weight_load_group;  // Null if no other server loads.
};

/** Injected faults; each unset one leaves the option's value in force. */
struct EngineFaults {
  std::optional<Duration> events_lag;
  std::uint32_t drop_event_every = 0;  // Loses each event whose number is a multiple; 0 for none.
  std::optional<Duration> load_lag;
  std::optional<std::uint32_t> stall_after_tokens;  // On each stream, which then stays silent.
  std::optional<std::uint32_t> break_after_tokens;  // On each stream; the run continues.
  bool refuse = false;                              // Refuses all new requests.
};

/** A request for an answer. */
struct CompletionRequest {
  std::string request_id;
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 0;  // Of the whole answer, `resume_text` included.
  std::int32_t priority = 0;     // Larger ones start first.
  BlockKey cache_salt;
  std::string resume_text;        // The first `first_index` tokens of the answer.
  std::uint32_t first_index = 0;  // Index of the first token to generate.
};

/** Why a request was refused. It was not run. */
enum class SubmitError : std::uint8_t { kOverloaded, kUnknownModel, kBadRequest };

/** Result of a new request: the stream of its answer, or the refusal. */
using SubmitResult = std::variant<StreamId, SubmitError>;

/** First event of a stream, sent with the first token. */
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

/** End of a whole answer. */
struct StreamFinished {
  bool ended_naturally = false;    // Ended by itself, not by `max_tokens`.
  std::uint32_t total_tokens = 0;  // Tokens of the whole answer, from index 0.
};

/** End of a stream without the whole answer. */
struct StreamBroken {};

/** Something that happened on a stream. */
struct StreamEvent {
  StreamId stream;
  Instant at;
  std::variant<StreamStarted, StreamToken, StreamFinished, StreamBroken> payload;
};

/** A load report. */
struct LoadReport {
  std::string start_id;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t kv_tokens_used = 0;
  std::uint64_t kv_tokens_limit = 0;
  std::map<std::string, std::string> models;
};

/** The command took effect. */
struct CommandDone {};

/** The command has a lower fencing number than one seen before. */
struct StaleFencingNumber {
  std::uint64_t highest = 0;
};

/** Why a command with a valid fencing number was refused. */
enum class CommandError : std::uint8_t { kLoadInProgress, kUnknownModel };

/** Result of a command. A weight load takes effect later, see
 * `EngineModel::take_finished_weight_loads`.
 */
using CommandResult = std::variant<CommandDone, WeightLoadId, StaleFencingNumber, CommandError>;

/** End of a weight load. */
struct FinishedWeightLoad {
  WeightLoadId load;
  bool loaded = false;  // False if the engine fell over meanwhile.
};

/** Totals since the model was created; they survive cold starts. */
struct EngineCounters {
  std::uint64_t submitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t broken_runs = 0;  // Lost when the engine fell over.
  std::uint64_t crashes = 0;
  std::uint64_t peak_running = 0;
  std::uint64_t tokens = 0;
  std::uint64_t prompt_tokens = 0;     // Of started requests.
  std::uint64_t prefilled_tokens = 0;  // Of these, computed.
  std::uint64_t cached_blocks = 0;     // Prompt blocks read from the cache.
  std::uint64_t computed_blocks = 0;   // Prompt blocks computed.
  std::uint64_t evicted_blocks = 0;
  std::uint64_t exports = 0;
  std::uint64_t imports = 0;
  std::uint64_t corrupt_imports = 0;      // Bytes did not belong to the key.
  std::uint64_t corrupt_reads = 0;        // Requests that used such a block.
  std::uint64_t wrong_version_reads = 0;  // Requests that used a block of other weights.
  std::uint64_t wrong_resume_texts = 0;   // Requests whose `resume_text` was not the answer.
  std::uint64_t resumed_streams = 0;
  std::uint64_t weight_loads = 0;
  std::uint64_t stale_commands = 0;  // Refused, or executed if numbers are ignored.
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_ENGINE_TYPES_H_
