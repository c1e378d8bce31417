// Admission, dispatch, engine events and drain of a simulated sidecar.

#include "tests/support/scenario_sidecar.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/overloaded.h"

namespace bluebellstep::scenario {
namespace {

constexpr ModelId kModel{1};
constexpr const char* kModelName = "clerk";
constexpr std::size_t kTokensPerBlock = 1024;

standins::EngineOptions engine_options() {
  standins::EngineOptions options;
  options.models = {{kModelName, "1"}};
  return options;
}

AdmissionLimits admission_limits(Mechanism omitted) {
  const standins::EngineOptions engine = engine_options();
  AdmissionLimits limits;
  limits.max_running = engine.max_running;
  limits.kv_tokens = engine.max_kv_tokens;
  if (omitted == Mechanism::kSlowStart) {
    limits.slow_start.initial = limits.max_running;
  }
  return limits;
}

}  // namespace

std::string prompt_text(std::size_t prompt, std::uint32_t blocks) {
  return std::string(blocks * kBlockTextBytes, static_cast<char>('a' + prompt % 26));
}

SimulatedSidecar::SimulatedSidecar(SidecarSpec spec,
                                   Mechanism omitted,
                                   OperatorKeys operators,
                                   Instant now)
    : spec_(std::move(spec)),
      omitted_(omitted),
      operators_(std::move(operators)),
      engine_(engine_options(), now) {}

void SimulatedSidecar::start(const Bundle& bundle, Instant now) {
  if (process_ != nullptr) {
    return;
  }
  ++incarnation_;
  process_.reset(new Process{AdmissionController(admission_limits(omitted_), now),
                             ZoneRegistry(operators_),
                             DrainController(DrainRole::kSidecar, {}),
                             BlockIndex(256),
                             engine_version_,
                             {},
                             {}});
  if (omitted_ != Mechanism::kPauseCheck) {
    process_->admission.report_alive(now);
  }
  process_->zones.apply_bundle(bundle, now);
  process_->admission.set_weight_version(kModel, engine_version_);
  update_zone_state();
}

void SimulatedSidecar::kill() {
  if (process_ == nullptr) {
    return;
  }
  for (const auto& [stream, run] : process_->runs) {
    engine_.close_stream(stream);
    listener_.on_end(run.request, RequestOutcome::kBroken);
  }
  for (const Request& request : process_->waiting) {
    listener_.on_end(request, RequestOutcome::kBroken);
  }
  unread_events_.clear();
  process_.reset();
}

void SimulatedSidecar::update_zone_state() {
  if (omitted_ != Mechanism::kZoneCheck) {
    process_->admission.set_zone_out_of_service(!process_->zones.in_service(spec_.zone));
  }
}

AdmissionRequest SimulatedSidecar::admission_request(const Request& request,
                                                     bool from_queue) const {
  AdmissionRequest query;
  query.model = kModel;
  query.weight_version = omitted_ == Mechanism::kVersionCheck ? process_->version : request.version;
  query.kv_tokens = load_.prompt_blocks * kTokensPerBlock + load_.max_tokens;
  query.waiting = process_->waiting.size() - (from_queue ? 1 : 0);
  query.from_queue = from_queue;
  return query;
}

void SimulatedSidecar::submit(const Request& request, Instant now) {
  const bool refuses = omitted_ != Mechanism::kLeavingCheck &&
                       process_->drain.refusal_for(DrainWork::kNewRequest).has_value();
  if (refuses) {
    return listener_.on_end(request, RequestOutcome::kRefused);
  }
  if (!try_start(request, /*from_queue=*/false, now)) {
    process_->waiting.push_back(request);
  }
}

bool SimulatedSidecar::try_start(const Request& request, bool from_queue, Instant now) {
  const Admission admission =
      process_->admission.try_admit(admission_request(request, from_queue), now);
  if (const auto* refused = std::get_if<Refused>(&admission)) {
    if (refused->verdict.run_state() != RunState::kNotRun) {
      listener_.on_violation("a refusal does not have the run state not_run");
    }
    listener_.on_end(request, RequestOutcome::kRefused);
    return true;
  }
  if (const auto* admitted = std::get_if<Admitted>(&admission)) {
    dispatch(request, admitted->slot, now);
    return true;
  }
  return false;
}

BlockKey SimulatedSidecar::seed_of(const Request& request) const {
  return cache_seed(omitted_ == Mechanism::kAccountSeed ? "" : request.account, kModelName,
                    omitted_ == Mechanism::kVersionedSeed ? "" : request.version);
}

std::vector<BlockKey> SimulatedSidecar::keys_of(const Request& request) {
  const BlockKey seed = seed_of(request);
  auto& keys = keys_by_prompt_[{request.prompt, seed}];
  if (keys.empty()) {
    keys = block_keys(seed, prompt_text(request.prompt, load_.prompt_blocks));
  }
  return keys;
}

void SimulatedSidecar::check_key_owners(const std::vector<BlockKey>& keys, const Request& request) {
  for (const BlockKey& key : keys) {
    const Request& owner = key_owners_.try_emplace(key, request).first->second;
    if (owner.version != request.version) {
      listener_.on_mixed_versions("a block key of " + spec_.name +
                                  " is used for two weight versions");
    }
    if (owner.account != request.account) {
      listener_.on_mixed_accounts("a block key of " + spec_.name +
                                  " is used for two client accounts");
    }
  }
}

void SimulatedSidecar::dispatch(const Request& request, SlotId slot, Instant now) {
  listener_.on_admitted();
  if (request.version != process_->version) {
    listener_.on_mixed_versions(spec_.name + " admitted a request keyed by version " +
                                request.version + " while " + process_->version + " is in force");
  }
  Run run{request, slot, keys_of(request), 0, now, {}};
  check_key_owners(run.keys, request);
  const std::size_t known = process_->index.engine_prefix_length(run.keys);
  run.known_blocks = static_cast<std::uint32_t>(known);
  const double tokens = static_cast<double>((run.keys.size() - known) * kTokensPerBlock + 1);
  run.predicted = {static_cast<std::int64_t>(tokens * 1000 * process_->admission.running() /
                                             engine_.options().prefill_tokens_per_s) +
                   1};
  standins::CompletionRequest query;
  query.request_id = spec_.name + "-" + std::to_string(request.id);
  query.model = kModelName;
  query.prompt = prompt_text(request.prompt, load_.prompt_blocks);
  query.max_tokens = load_.max_tokens;
  query.cache_salt = seed_of(request);
  const auto result = engine_.submit(std::move(query), now);
  const auto* stream = std::get_if<standins::StreamId>(&result);
  assert(stream != nullptr);
  process_->runs.emplace(*stream, std::move(run));
  count_crashes();
}

void SimulatedSidecar::count_crashes() {
  const std::uint64_t crashes = engine_.counters().crashes;
  for (; counted_crashes_ < crashes; ++counted_crashes_) {
    unexplained_crashes_ += std::exchange(undetected_cold_, false) ? 0 : 1;
  }
}

void SimulatedSidecar::apply_cold_signal(std::optional<ColdSignal> signal) {
  if (signal) {
    process_->index.clear_engine();
    undetected_cold_ = false;
  }
}

void SimulatedSidecar::go_cold(Instant now) {
  undetected_cold_ = true;
  engine_.go_cold(now);
  count_crashes();
}

void SimulatedSidecar::swap_weights(const std::string& version, Instant now) {
  engine_.load_weights(kModelName, version, 0, now);
  engine_version_ = version;
}

void SimulatedSidecar::drain(Instant now) {
  process_->drain.handle_sigterm(now);
  if (omitted_ != Mechanism::kLeavingCheck) {
    process_->admission.set_leaving(true);
  }
  if (omitted_ == Mechanism::kGracefulStop) {
    exit_process(DrainController::kExitGraceful);
  }
}

void SimulatedSidecar::tick(bool paused, Instant now) {
  engine_.advance(now);
  count_crashes();
  for (standins::StreamEvent& event : engine_.take_events()) {
    unread_events_.push_back(std::move(event));
  }
  if (process_ == nullptr) {
    unread_events_.clear();
  }
  if (process_ == nullptr || paused) {
    return;
  }
  if (omitted_ != Mechanism::kPauseCheck) {
    process_->admission.report_alive(now);
  }
  for (const standins::StreamEvent& event : std::exchange(unread_events_, {})) {
    handle_event(event, now);
  }
  for (const standins::FinishedWeightLoad& load : engine_.take_finished_weight_loads()) {
    if (load.loaded) {
      process_->version = engine_version_;
      process_->admission.set_weight_version(kModel, engine_version_);
    }
  }
  start_waiting(now);
  step_drain(now);
}

void SimulatedSidecar::handle_event(const standins::StreamEvent& event, Instant now) {
  const auto found = process_->runs.find(event.stream);
  if (found == process_->runs.end()) {
    return;
  }
  Run& run = found->second;
  std::visit(
      Overloaded{[&](const standins::StreamStarted& started) {
                   const bool wrong_version = started.weight_version != run.request.version;
                   if (wrong_version && omitted_ != Mechanism::kVersionCheck) {
                     engine_.cancel(spec_.name + "-" + std::to_string(run.request.id), now);
                     return end_run(event.stream, Outcome::kFailed, RequestOutcome::kBroken, now);
                   }
                   handle_started(run, started, now);
                 },
                 [](const standins::StreamToken&) {},
                 [&](const standins::StreamFinished&) {
                   end_run(event.stream, Outcome::kCompleted, RequestOutcome::kAnswered, now);
                 },
                 [&](const standins::StreamBroken&) {
                   const bool is_reported = omitted_ != Mechanism::kColdDetection;
                   end_run(event.stream,
                           is_reported ? Outcome::kConnectionFailed : Outcome::kFailed,
                           RequestOutcome::kBroken, now);
                 }},
      event.payload);
}

void SimulatedSidecar::handle_started(Run& run,
                                      const standins::StreamStarted& started,
                                      Instant now) {
  if (omitted_ == Mechanism::kColdDetection) {
    process_->admission.first_token(run.slot, now, {});
    return;
  }
  apply_cold_signal(process_->admission.first_token(
      run.slot, now,
      {.start_id = started.start_id,
       .known_blocks = run.known_blocks,
       .reused_blocks = static_cast<std::uint32_t>(started.cached_blocks),
       .elapsed = now - run.dispatched_at,
       .predicted = run.predicted}));
  for (const BlockKey& key : run.keys) {
    process_->index.add_to_engine(key);
  }
}

void SimulatedSidecar::end_run(standins::StreamId stream,
                               Outcome outcome,
                               RequestOutcome request_outcome,
                               Instant now) {
  const auto node = process_->runs.extract(stream);
  const Run& run = node.mapped();
  apply_cold_signal(process_->admission.finish(run.slot, now, outcome));
  listener_.on_end(run.request, request_outcome);
}

void SimulatedSidecar::start_waiting(Instant now) {
  while (!process_->waiting.empty() &&
         try_start(process_->waiting.front(), /*from_queue=*/true, now)) {
    process_->waiting.pop_front();
  }
}

void SimulatedSidecar::step_drain(Instant now) {
  if (!process_->drain.leaving()) {
    return;
  }
  const DrainStep step =
      process_->drain.step(process_->runs.size() + process_->waiting.size(), now);
  if (std::holds_alternative<AbortStreams>(step)) {
    abort_all(now);
  } else if (const auto* exit = std::get_if<ExitProcess>(&step)) {
    exit_process(exit->code);
  }
}

void SimulatedSidecar::abort_all(Instant now) {
  while (!process_->runs.empty()) {
    end_run(process_->runs.begin()->first, Outcome::kCancelled, RequestOutcome::kAborted, now);
  }
  for (const Request& request : std::exchange(process_->waiting, {})) {
    listener_.on_end(request, RequestOutcome::kAborted);
  }
}

void SimulatedSidecar::exit_process(int code) {
  listener_.on_exit(code);
  kill();
}

}  // namespace bluebellstep::scenario
