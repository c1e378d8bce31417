// Defines the command line options. Their defaults are the initial values in the option structures.

#include "standins/engine_store_options.h"

#include <cstddef>
#include <string>
#include <vector>

namespace bluebellstep::standins {
namespace {

void add_models(CLI::App& command, EngineOptions& options) {
  const auto read = [&options](const std::vector<std::string>& models) {
    options.models.clear();
    for (const std::string& model : models) {
      const std::size_t equals = model.find('=');
      if (equals == std::string::npos) {
        throw CLI::ValidationError("--model", "found '" + model + "', expected NAME=VERSION");
      }
      options.models[model.substr(0, equals)] = model.substr(equals + 1);
    }
  };
  command.add_option_function<std::vector<std::string>>(
      "--model", read, "Model and weight version as NAME=VERSION; may be repeated");
}

}  // namespace

void add_engine_options(CLI::App& command, EngineOptions& options) {
  add_models(command, options);
  command.add_option("--start-id", options.start_id, "Prefix of the start id");
  command.add_option("--max-running", options.max_running, "Maximum number of running requests")
      ->check(CLI::PositiveNumber);
  command.add_option("--max-waiting", options.max_waiting, "Maximum number of waiting requests");
  command.add_option("--max-kv-tokens", options.max_kv_tokens, "KV memory in tokens");
  command
      .add_option("--prefill-tokens-per-s", options.prefill_tokens_per_s,
                  "Prefill rate in tokens/s, shared by all requests in prefill")
      ->check(CLI::PositiveNumber);
  command
      .add_option("--decode-step-us", options.decode_step_us,
                  "Base duration of a decode step in us")
      ->check(CLI::NonNegativeNumber);
  command
      .add_option("--decode-step-us-per-run", options.decode_step_us_per_run,
                  "Additional duration of a decode step per run in us")
      ->check(CLI::NonNegativeNumber);
  command.add_option("--cache-blocks", options.cache_blocks,
                     "Maximum number of blocks in the prefix cache");
  command.add_option("--block-bytes", options.block_bytes, "Size of an exported block in bytes");
  command.add_option("--warm-initial", options.cold_capacity,
                     "Running requests that a cold engine sustains");
  command.add_option("--warm-per-completion", options.capacity_per_completion,
                     "Additional running requests sustained per completed request");
  command.add_flag("--starts-warm", options.starts_warm,
                   "Start warm; restarts after a crash are cold");
  command.add_option("--events-lag-ms", options.events_lag.ms,
                     "Delay until a cache event becomes visible, in ms");
  command.add_option("--load-lag-ms", options.load_lag.ms, "Age of load reports in ms");
  command.add_option("--load-time-ms", options.weight_load_time.ms,
                     "Duration of one weight load in ms");
  command.add_flag("!--ignore-fencing-numbers", options.checks_fencing_numbers,
                   "Execute commands with stale fencing numbers");
}

void add_store_options(CLI::App& command, StoreOptions& options) {
  command.add_option("--memory-bytes", options.memory.limit_bytes,
                     "Size of the memory tier in bytes");
  command
      .add_option("--memory-link-bytes-per-s", options.memory.link_bytes_per_s,
                  "Link rate of the memory tier in bytes/s")
      ->check(CLI::PositiveNumber);
  command.add_option("--disk-bytes", options.disk.limit_bytes, "Size of the disk tier in bytes");
  command
      .add_option("--disk-link-bytes-per-s", options.disk.link_bytes_per_s,
                  "Link rate of the disk tier in bytes/s")
      ->check(CLI::PositiveNumber);
}

}  // namespace bluebellstep::standins
