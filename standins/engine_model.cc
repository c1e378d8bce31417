// Requests, batching and virtual time of the engine model.

#include "standins/engine_model.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bluebellstep::standins {
namespace {

constexpr double kUsPerSecond = 1e6;
constexpr std::uint64_t kTokensPerBlock = kBlockTextBytes / kTextBytesPerToken;

// The engine crashes when more than this multiple of its run capacity is running.
constexpr double kCrashLoadFactor = 1.5;

// Tolerance in tokens for rounding errors when fractions of tokens are summed.
constexpr double kPrefillEpsilon = 1e-6;

}  // namespace

EngineModel::EngineModel(EngineOptions options, Instant now)
    : options_(std::move(options)),
      time_us_(now.ms * 1000),
      cache_(options_.cache_blocks),
      models_(options_.models) {
  assert(options_.max_running > 0 && options_.prefill_tokens_per_s > 0);
  restart_cold();
  if (options_.starts_warm) {
    warmed_capacity_ = options_.max_running;
  }
  record_load();
}

EngineModel::~EngineModel() {
  if (weight_load_ && options_.weight_load_group) {
    --options_.weight_load_group->loading_servers;
  }
}

void EngineModel::advance(Instant now) {
  const std::int64_t target_us = now.ms * 1000;
  for (auto step = next_step_us(); step && *step <= target_us; step = next_step_us()) {
    step_to(*step);
  }
  if (target_us > time_us_) {
    advance_prefill(target_us);
    time_us_ = target_us;
  }
  expire_ended_runs();
}

std::optional<Instant> EngineModel::next_event() const {
  const auto step = next_step_us();
  return step ? std::optional(Instant{(*step + 999) / 1000}) : std::nullopt;
}

SubmitResult EngineModel::submit(CompletionRequest request, Instant now) {
  advance(now);
  ++counters_.submitted;
  if (const auto error = refusal_reason(request)) {
    ++counters_.refused;
    return *error;
  }
  if (const auto previous_run = by_request_.find(request.request_id);
      previous_run != by_request_.end()) {
    erase_run(previous_run->second);
  }
  const RunId id{++last_id_};
  by_request_[request.request_id] = id;
  Run& run = runs_.emplace(id, make_run(std::move(request))).first->second;
  counters_.wrong_resume_texts += run.resume_text_matches ? 0 : 1;
  waiting_.emplace(-std::int64_t{run.priority}, id);
  load_changed_ = true;
  const StreamId stream = open_stream(id, run.first_index);
  start_waiting_runs();
  record_load();
  return stream;
}

std::optional<SubmitError> EngineModel::refusal_reason(const CompletionRequest& request) const {
  if (faults_.refuse) {
    return SubmitError::kOverloaded;
  }
  const auto existing_run = by_request_.find(request.request_id);
  const bool in_use =
      existing_run != by_request_.end() && runs_.at(existing_run->second).phase != RunPhase::kEnded;
  if (request.request_id.empty() || request.max_tokens == 0 || in_use) {
    return SubmitError::kBadRequest;
  }
  if (!models_.contains(request.model)) {
    return SubmitError::kUnknownModel;
  }
  const std::uint32_t total_tokens = ExpectedAnswer(request.prompt).length(request.max_tokens);
  if (request.first_index > total_tokens || count_tokens(request.prompt) +
                                                    count_tokens(request.resume_text) +
                                                    total_tokens - request.first_index >
                                                options_.max_kv_tokens) {
    return SubmitError::kBadRequest;
  }
  return waiting_.size() < options_.max_waiting ? std::nullopt
                                                : std::optional(SubmitError::kOverloaded);
}

EngineModel::Run EngineModel::make_run(CompletionRequest request) const {
  Run run;
  run.answer = ExpectedAnswer(request.prompt);
  run.keys = block_keys(request.cache_salt, request.prompt);
  run.prompt_tokens = count_tokens(request.prompt) + count_tokens(request.resume_text);
  run.resume_text_matches = request.resume_text == run.answer.text(0, request.first_index);
  run.request_id = std::move(request.request_id);
  run.model = std::move(request.model);
  run.priority = request.priority;
  run.first_index = request.first_index;
  run.next_index = request.first_index;
  run.total_tokens = run.answer.length(request.max_tokens);
  run.ends_naturally = run.total_tokens < request.max_tokens;
  return run;
}

bool EngineModel::cancel(std::string_view request_id, Instant now) {
  advance(now);
  const auto found = by_request_.find(request_id);
  if (found == by_request_.end() || runs_.at(found->second).phase == RunPhase::kEnded) {
    return false;
  }
  const RunId id = found->second;
  const Run& run = runs_.at(id);
  if (run.phase == RunPhase::kWaiting) {
    waiting_.erase({-std::int64_t{run.priority}, id});
  } else {
    remove_from_batch(id);
  }
  for (const StreamId stream : std::vector(run.streams)) {
    break_stream(stream);
  }
  erase_run(id);
  ++counters_.cancelled;
  load_changed_ = true;
  start_waiting_runs();
  record_load();
  return true;
}

void EngineModel::go_cold(Instant now) {
  advance(now);
  cache_.clear();
  warmed_capacity_ = 0;
  crash_if_over_capacity();
  record_load();
}

void EngineModel::crash(Instant now) {
  advance(now);
  ++counters_.crashes;
  restart_cold();
  record_load();
}

std::uint32_t EngineModel::run_capacity() const {
  const double capacity = options_.cold_capacity + std::floor(warmed_capacity_);
  return static_cast<std::uint32_t>(std::min<double>(options_.max_running, capacity));
}

std::optional<std::int64_t> EngineModel::next_step_us() const {
  std::optional<std::int64_t> next = decode_end_us_;
  const auto consider = [&next](std::int64_t at) { next = next ? std::min(*next, at) : at; };
  if (weight_load_) {
    consider(weight_load_->end_us);
  }
  double min_tokens_left = -1;
  for (const RunId id : running_) {
    const Run& run = runs_.at(id);
    if (run.phase == RunPhase::kPrefill &&
        (min_tokens_left < 0 || run.prefill_tokens_left < min_tokens_left)) {
      min_tokens_left = run.prefill_tokens_left;
    }
  }
  if (min_tokens_left >= 0) {
    const double us = min_tokens_left * static_cast<double>(prefilling_count()) * kUsPerSecond /
                      options_.prefill_tokens_per_s;
    consider(time_us_ + std::max<std::int64_t>(1, std::llround(std::ceil(us))));
  }
  return next;
}

void EngineModel::step_to(std::int64_t at_us) {
  advance_prefill(at_us);
  time_us_ = at_us;
  if (weight_load_ && weight_load_->end_us <= at_us) {
    finish_weight_load();
  }
  for (const RunId id : std::vector(running_)) {
    const Run& run = runs_.at(id);
    if (run.phase == RunPhase::kPrefill && run.prefill_tokens_left <= kPrefillEpsilon) {
      finish_prefill(id);
    }
  }
  if (decode_end_us_ && *decode_end_us_ <= at_us) {
    finish_decode_step();
  }
  start_waiting_runs();
  start_decode_step();
  record_load();
}

void EngineModel::start_waiting_runs() {
  while (!waiting_.empty() && running_.size() < options_.max_running) {
    const RunId id = waiting_.begin()->second;
    if (kv_tokens_used_ + runs_.at(id).kv_tokens() > options_.max_kv_tokens) {
      return;
    }
    waiting_.erase(waiting_.begin());
    start_run(id);
    crash_if_over_capacity();
  }
}

void EngineModel::start_run(RunId id) {
  Run& run = runs_.at(id);
  run.phase = RunPhase::kPrefill;
  run.weight_version = models_.at(run.model);
  run.blocks = cache_.find_prefix(run.keys);
  const std::uint64_t cached_block_count = run.blocks.size();
  // The last token of the prompt is always computed, because the first token of the answer is
  // derived from it.
  const std::uint64_t computed_tokens =
      std::max<std::uint64_t>(1, run.prompt_tokens - cached_block_count * kTokensPerBlock);
  run.prefill_tokens_left = static_cast<double>(computed_tokens);
  run.usage = {start_id_, run.weight_version, run.prompt_tokens, cached_block_count,
               run.keys.size() - cached_block_count};
  running_.push_back(id);
  kv_tokens_used_ += run.kv_tokens();
  load_changed_ = true;

  ++counters_.started;
  counters_.peak_running = std::max<std::uint64_t>(counters_.peak_running, running_.size());
  counters_.prompt_tokens += run.prompt_tokens;
  counters_.prefilled_tokens += computed_tokens;
  counters_.cached_blocks += cached_block_count;
  counters_.computed_blocks += run.usage.computed_blocks;
  count_block_reads(run);
  for (const BlockRef& block : run.blocks) {
    if (block->model.empty()) {  // Imported and not read before.
      block->model = run.model;
      block->weight_version = run.weight_version;
    }
  }
}

void EngineModel::crash_if_over_capacity() {
  if (static_cast<double>(running_.size()) > kCrashLoadFactor * run_capacity()) {
    ++counters_.crashes;
    restart_cold();
  }
}

void EngineModel::restart_cold() {
  std::vector<StreamId> open_streams;
  for (const auto& [id, stream] : streams_) {
    open_streams.push_back(id);
  }
  std::sort(open_streams.begin(), open_streams.end());
  for (const StreamId stream : open_streams) {
    break_stream(stream);
  }
  counters_.broken_runs += running_.size() + waiting_.size();
  by_request_.clear();
  waiting_.clear();
  running_.clear();
  decode_batch_.clear();
  decode_end_us_.reset();
  ended_.clear();
  runs_.clear();
  kv_tokens_used_ = 0;
  warmed_capacity_ = 0;
  if (weight_load_) {
    finished_weight_loads_.push_back({weight_load_->id, false});
    weight_load_.reset();
    if (options_.weight_load_group) {
      --options_.weight_load_group->loading_servers;
    }
  }
  start_id_ = options_.start_id + "-" + std::to_string(++incarnation_);
  cache_.clear();
  cache_log_.restart();
  log_cache_event(CacheEventType::kCleared, {});
  load_changed_ = true;
}

std::size_t EngineModel::prefilling_count() const {
  return static_cast<std::size_t>(std::count_if(running_.begin(), running_.end(), [this](RunId id) {
    return runs_.at(id).phase == RunPhase::kPrefill;
  }));
}

void EngineModel::advance_prefill(std::int64_t to_us) {
  const std::size_t prefilling_runs = prefilling_count();
  if (prefilling_runs == 0) {
    return;
  }
  const double tokens = static_cast<double>(to_us - time_us_) * options_.prefill_tokens_per_s /
                        kUsPerSecond / static_cast<double>(prefilling_runs);
  for (const RunId id : running_) {
    Run& run = runs_.at(id);
    if (run.phase == RunPhase::kPrefill) {
      run.prefill_tokens_left = std::max(0.0, run.prefill_tokens_left - tokens);
    }
  }
}

void EngineModel::finish_prefill(RunId id) {
  Run& run = runs_.at(id);
  run.phase = RunPhase::kDecode;
  store_blocks(run);
  send_to_run(id, run.usage);
  if (run.next_index < run.total_tokens) {
    generate_token(id);
  } else {
    finish_run(id);
  }
}

void EngineModel::start_decode_step() {
  if (decode_end_us_) {
    return;
  }
  for (const RunId id : running_) {
    if (runs_.at(id).phase == RunPhase::kDecode) {
      decode_batch_.push_back(id);
    }
  }
  if (!decode_batch_.empty()) {
    const auto batch_size = static_cast<std::int64_t>(decode_batch_.size());
    decode_end_us_ =
        time_us_ + std::max<std::int64_t>(
                       1, options_.decode_step_us + options_.decode_step_us_per_run * batch_size);
  }
}

void EngineModel::finish_decode_step() {
  decode_end_us_.reset();
  for (const RunId id : std::exchange(decode_batch_, {})) {
    generate_token(id);
  }
}

void EngineModel::generate_token(RunId id) {
  Run& run = runs_.at(id);
  ++counters_.tokens;
  const std::uint32_t index = run.next_index++;
  send_to_run(id, StreamToken{index, run.answer.token(index)});
  if (run.next_index == run.total_tokens) {
    finish_run(id);
  }
}

void EngineModel::finish_run(RunId id) {
  Run& run = runs_.at(id);
  remove_from_batch(id);
  run.phase = RunPhase::kEnded;
  run.keys = {};
  ++counters_.completed;
  warmed_capacity_ =
      std::min<double>(options_.max_running, warmed_capacity_ + options_.capacity_per_completion);
  ended_.emplace_back(time(), id);
  send_to_run(id, StreamFinished{run.ends_naturally, run.total_tokens});
}

void EngineModel::remove_from_batch(RunId id) {
  Run& run = runs_.at(id);
  std::erase(running_, id);
  std::erase(decode_batch_, id);
  kv_tokens_used_ -= run.kv_tokens();
  cache_.release(run.blocks);
  log_evictions();
  load_changed_ = true;
}

void EngineModel::erase_run(RunId id) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    return;
  }
  for (const StreamId stream : found->second.streams) {
    streams_.erase(stream);
  }
  by_request_.erase(found->second.request_id);
  runs_.erase(found);
}

void EngineModel::expire_ended_runs() {
  while (!ended_.empty() && ended_.front().first + options_.ended_retention < time()) {
    erase_run(ended_.front().second);
    ended_.pop_front();
  }
}

}  // namespace bluebellstep::standins
