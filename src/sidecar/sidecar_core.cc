// Admits, starts, finishes and removes runs.

#include "sidecar/sidecar_core.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

// Estimated size of a token. The engine reports the exact numbers of tokens later.
constexpr std::uint64_t kBytesPerToken = 4;

constexpr Duration kConfigurationRetryAfter = {500};

// The share corrector averages over 5 s, so one update per second is frequent enough.
constexpr Duration kShareCorrectionInterval = {1000};

std::string text_of(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

std::string bytes_of(capnp::Data::Reader data) {
  const auto chars = data.asChars();
  return {chars.begin(), chars.size()};
}

Priority queue_priority(std::int32_t priority) {
  if (priority == 0) {
    return Priority::kNormal;
  }
  return priority > 0 ? Priority::kHigh : Priority::kLow;
}

AdmissionLimits admission_limits(const SidecarSettings& settings) {
  AdmissionLimits limits;
  limits.max_running = settings.limits.max_concurrency;
  limits.kv_tokens = settings.limits.kv_tokens;
  limits.slow_start.initial = settings.limits.initial_concurrency;
  return limits;
}

PromptRunnerOptions prompt_options(const SidecarSettings& settings) {
  PromptRunnerOptions options;
  options.engine = settings.upstream;
  options.prefill_tokens_per_s = settings.limits.prefill_tokens_per_s;
  return options;
}

PlainRunnerOptions plain_options(const SidecarSettings& settings, std::uint64_t incarnation) {
  PlainRunnerOptions options;
  options.service = settings.upstream;
  options.incarnation = incarnation;
  options.ledger.retention = settings.limits.order_retention;
  // The ledger allocates memory for `max_claims` at construction; engines own no orders.
  options.ledger.max_claims =
      settings.kind == UpstreamKind::kService ? settings.limits.max_claims : 1;
  return options;
}

EngineCacheOptions cache_options(const SidecarSettings& settings) {
  EngineCacheOptions options;
  options.engine = settings.upstream;
  options.enabled = settings.kind == UpstreamKind::kEngine;
  options.prefill_tokens_per_s = settings.limits.prefill_tokens_per_s;
  return options;
}

bool is_prompt(const Run& run) {
  return run.spec.kind == wire::RequestKind::PROMPT;
}

bool is_order(const Run& run) {
  return run.spec.kind == wire::RequestKind::ORDER;
}

}  // namespace

SidecarCore::SidecarCore(RpcLoop& loop,
                         HttpClient& client,
                         PlatformClient& platform,
                         const SidecarSettings& settings,
                         std::uint64_t incarnation,
                         Metrics& metrics)
    : loop_(loop),
      settings_(settings),
      metrics_(metrics),
      admission_(admission_limits(settings), clock_.now()),
      queue_(FairQueue::kPromptBurst),
      cache_(loop, client, cache_options(settings), metrics),
      prompt_runner_(
          loop,
          client,
          cache_,
          prompt_options(settings),
          {.find_run = [this](RequestId id) { return find(id); },
           .on_first_token =
               [this](Run& run, const EngineStarted& started) { handle_first_token(run, started); },
           .on_finished =
               [this](Run& run, RunResult result, Outcome outcome) {
                 finish_run(run, std::move(result), outcome);
               }}),
      plain_runner_(loop,
                    client,
                    platform,
                    plain_options(settings, incarnation),
                    clock_.wall(),
                    {.find_run = [this](RequestId id) { return find(id); },
                     .on_claimed =
                         [this](Run& run) {
                           if (const auto refused = admit(run)) {
                             plain_runner_.refuse(run, *refused);
                           }
                         },
                     .on_finished =
                         [this](Run& run, RunResult result, Outcome outcome) {
                           finish_run(run, std::move(result), outcome);
                         }}) {
  admission_.report_alive(clock_.now());
}

SidecarCore::~SidecarCore() = default;

RunSpec SidecarCore::read_spec(wire::Request::Reader request) const {
  const Instant now = clock_.now();
  return {.key = {request.getEntryIncarnation(), request.getRequestId(), request.getAttempt()},
          .kind = request.getKind(),
          .account = text_of(request.getAccount()),
          .service_class = text_of(request.getServiceClass()),
          .target = text_of(request.getModel()),
          .weight_version = text_of(request.getWeightVersion()),
          .body = bytes_of(request.getBody()),
          .max_tokens = request.getMaxTokens(),
          .priority = request.getPriority(),
          .idempotency_key = text_of(request.getIdempotencyKey()),
          .method = text_of(request.getMethod()),
          .path = text_of(request.getPath()),
          .content_type = text_of(request.getContentType()),
          .resume_text = text_of(request.getResumeText()),
          .first_index = request.getFirstIndex(),
          .arrived_at = now,
          .deadline = now + Duration{request.getDeadlineMs()}};
}

std::optional<Verdict> SidecarCore::check_request(const RunSpec& spec) const {
  if (bundle_ == nullptr) {
    return Verdict::not_run(Reason::kNoConfiguration, "the sidecar has no configuration yet",
                            kConfigurationRetryAfter);
  }
  const bool needs_engine = spec.kind == wire::RequestKind::PROMPT;
  const bool is_engine = settings_.kind == UpstreamKind::kEngine;
  if (needs_engine != is_engine) {
    return Verdict::not_run(Reason::kBadRequest, "the upstream does not run requests of this kind");
  }
  if (find_by_name(bundle_->accounts, spec.account) == nullptr) {
    return Verdict::not_run(Reason::kUnauthorized,
                            "the client account is not in the configuration");
  }
  if (needs_engine && settings_.limits.kv_tokens > 0 &&
      kv_tokens(spec) > settings_.limits.kv_tokens) {
    return Verdict::not_run(Reason::kBadRequest,
                            "prompt and answer exceed the upstream's KV memory");
  }
  return std::nullopt;
}

std::optional<Verdict> SidecarCore::submit(wire::Request::Reader request,
                                           wire::AnswerSink::Client sink) {
  RunSpec spec = read_spec(request);
  if (auto refused = check_request(spec)) {
    return refused;
  }
  if (by_attempt_.contains(spec.key)) {
    return Verdict::may_have_run(Reason::kInternal, "the attempt was already submitted");
  }
  const RequestId id{next_id_++};
  const std::uint64_t first_index = spec.first_index;
  const AttemptKey key = spec.key;
  const auto position = runs_
                            .emplace(id, Run{.id = id,
                                             .spec = std::move(spec),
                                             .outbox = AnswerOutbox(loop_, first_index)})
                            .first;
  by_attempt_.emplace(key, id);
  Run& run = position->second;
  auto refused = is_order(run) ? accept_order(run) : admit(run);
  if (refused.has_value()) {
    remove_run(id);
    return refused;
  }
  run.outbox.attach(kj::mv(sink), first_index);
  return std::nullopt;
}

std::optional<Verdict> SidecarCore::accept_order(Run& run) {
  const auto key = OrderKey::parse(run.spec.target, run.spec.account, run.spec.idempotency_key);
  if (key.has_value() && order_tables_.owner(run.spec.target, *key) != settings_.name) {
    return Verdict::not_run(Reason::kNotOwner, "the idempotency key is owned by another upstream",
                            kConfigurationRetryAfter);
  }
  auto claimed = plain_runner_.claim_order(run);
  if (auto* refused = std::get_if<Verdict>(&claimed)) {
    return std::move(*refused);
  }
  if (std::get<PlainRunner::OrderClaimResult>(claimed) != PlainRunner::OrderClaimResult::kAdmit) {
    return std::nullopt;
  }
  auto refused = admit(run);
  if (refused.has_value()) {
    // No other run has joined the claim yet, so the verdict only needs to be returned to the caller
    // of this function.
    plain_runner_.release_claim(run);
  }
  return refused;
}

std::uint64_t SidecarCore::kv_tokens(const RunSpec& spec) const {
  return spec.body.size() / kBytesPerToken + spec.max_tokens;
}

AdmissionRequest SidecarCore::admission_request(const Run& run, bool from_queue) const {
  AdmissionRequest request;
  if (is_prompt(run)) {
    request.model = models_.find(run.spec.target);
    request.weight_version = run.spec.weight_version;
    request.kv_tokens = kv_tokens(run.spec);
  }
  const auto account = accounts_.find(run.spec.account);
  request.waiting = queue_.size();
  request.account_waiting = account.has_value() ? queue_.size(*account) : 0;
  request.waiting_accounts = queue_.waiting_accounts();
  request.within_share = run.within_share;
  request.from_queue = from_queue;
  return request;
}

std::optional<Verdict> SidecarCore::admit(Run& run) {
  const AccountId account = accounts_.intern(run.spec.account);
  const std::uint64_t prompt_tokens = run.spec.body.size() / kBytesPerToken;
  run.estimated_cost =
      cost_of({.prompt_tokens = prompt_tokens, .decode_tokens = std::max(1u, run.spec.max_tokens)});
  run.within_share = queue_.is_within_share(account);
  Admission admission =
      admission_.try_admit(admission_request(run, /*from_queue=*/false), clock_.now());
  if (auto* refused = std::get_if<Refused>(&admission)) {
    return std::move(refused->verdict);
  }
  if (const auto* admitted = std::get_if<Admitted>(&admission)) {
    queue_.charge(account, run.estimated_cost);
    start(run, admitted->slot);
    return std::nullopt;
  }
  run.phase = RunPhase::kQueued;
  queue_.push(account, run.id, run.estimated_cost, queue_priority(run.spec.priority));
  return std::nullopt;
}

void SidecarCore::start_queued() {
  while (const auto next = queue_.front()) {
    Run& run = runs_.at(*next);
    Admission admission =
        admission_.try_admit(admission_request(run, /*from_queue=*/true), clock_.now());
    if (std::holds_alternative<Queued>(admission)) {
      return;
    }
    queue_.pop();
    if (const auto* admitted = std::get_if<Admitted>(&admission)) {
      start(run, admitted->slot);
    } else {
      refuse_queued(run, std::get<Refused>(admission).verdict);
    }
  }
}

void SidecarCore::start(Run& run, SlotId slot) {
  run.slot = slot;
  if (is_prompt(run)) {
    prompt_runner_.start(run);
  } else {
    plain_runner_.start(run);
  }
}

void SidecarCore::refuse_queued(Run& run, const Verdict& verdict) {
  if (is_prompt(run)) {
    finish_run(run, verdict, Outcome::kCancelled);
  } else {
    plain_runner_.refuse(run, verdict);
  }
}

void SidecarCore::handle_first_token(Run& run, const EngineStarted& started) {
  const Instant now = clock_.now();
  const Duration elapsed = now - run.prompt.dispatched_at;
  metrics_.first_token(run.spec.account, run.spec.service_class, now - run.spec.arrived_at);
  cache_.record_started(run);
  handle_cold_signal(admission_.first_token(*run.slot, now,
                                            {.start_id = started.start_id,
                                             .known_blocks = run.prompt.known_blocks,
                                             .reused_blocks = started.cached_blocks,
                                             .elapsed = elapsed,
                                             .predicted = run.prompt.predicted_first_token}));
  start_queued();
}

void SidecarCore::handle_cold_signal(std::optional<ColdSignal> signal) {
  if (!signal.has_value()) {
    return;
  }
  LogEvent("upstream_cold", LogEvent::Severity::kWarning)
      .field("upstream", settings_.name)
      .field("sign", to_string(*signal))
      .field("limit", admission_.limit(clock_.now()));
  metrics_.count("bluebellstep_cold_restarts_total", std::string(to_string(*signal)));
  cache_.reset_engine_blocks();
}

void SidecarCore::finish_run(Run& run, RunResult result, Outcome outcome) {
  assert(run.phase != RunPhase::kFinished);
  run.phase = RunPhase::kFinished;
  run.finished_at = clock_.now();
  if (run.slot.has_value()) {
    const SlotId slot = *std::exchange(run.slot, std::nullopt);
    charge(run);
    handle_cold_signal(admission_.finish(slot, run.finished_at, outcome));
  }
  cache_.remove_waiting_prefill(run);
  if (is_prompt(run) && std::holds_alternative<AnswerSummary>(result)) {
    cache_.record_finished(run);
  }
  metrics_.request_done(run.spec.account, run.spec.service_class,
                        run.finished_at - run.spec.arrived_at);
  run.outbox.finish(std::move(result));
  // Deferred, because a caller of this function may still use the run.
  loop_.post([this, alive = std::weak_ptr<int>(alive_)] {
    if (!alive.expired()) {
      start_queued();
    }
  });
}

void SidecarCore::charge(const Run& run) {
  const std::uint64_t prompt_tokens = run.spec.body.size() / kBytesPerToken;
  const std::uint64_t cached =
      std::min(prompt_tokens, run.prompt.reused_blocks * (kBlockTextBytes / kBytesPerToken));
  const std::uint64_t decoded = std::max<std::uint64_t>(1, run.outbox.event_count());
  const Cost actual =
      cost_of({.prompt_tokens = prompt_tokens, .cached_tokens = cached, .decode_tokens = decoded});
  queue_.correct_charge(accounts_.intern(run.spec.account), actual - run.estimated_cost);
  served_cost_[run.spec.account] +=
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, actual.tokens));
}

bool SidecarCore::resume(const AttemptKey& key,
                         std::uint64_t next_index,
                         wire::AnswerSink::Client sink) {
  const auto found = by_attempt_.find(key);
  return found != by_attempt_.end() &&
         runs_.at(found->second).outbox.attach(kj::mv(sink), next_index);
}

void SidecarCore::cancel(std::uint64_t entry_incarnation, std::uint64_t request_id) {
  std::vector<RequestId> ids;
  for (auto it = by_attempt_.lower_bound({entry_incarnation, request_id, 0});
       it != by_attempt_.end() && it->first.entry_incarnation == entry_incarnation &&
       it->first.request_id == request_id;
       ++it) {
    ids.push_back(it->second);
  }
  for (const RequestId id : ids) {
    if (Run& run = runs_.at(id); !is_order(run)) {
      cancel_run(run);
      remove_run(id);
    }
  }
  start_queued();
}

void SidecarCore::cancel_run(Run& run) {
  if (run.phase == RunPhase::kFinished) {
    return;
  }
  queue_.cancel(run.id);
  cache_.remove_waiting_prefill(run);
  if (is_prompt(run)) {
    prompt_runner_.cancel(run);
  } else {
    plain_runner_.cancel(run);
  }
  if (run.slot.has_value()) {
    charge(run);
    handle_cold_signal(admission_.finish(*std::exchange(run.slot, std::nullopt), clock_.now(),
                                         Outcome::kCancelled));
  }
  run.phase = RunPhase::kFinished;
}

void SidecarCore::remove_run(RequestId id) {
  const auto found = runs_.find(id);
  assert(found != runs_.end());
  by_attempt_.erase(found->second.spec.key);
  runs_.erase(found);
}

void SidecarCore::apply_bundle(const Bundle& bundle) {
  bundle_ = std::make_shared<const Bundle>(bundle);
  for (const BundleAccount& account : bundle.accounts) {
    share_corrector_.set_weight(accounts_.intern(account.name), account.share);
  }
  apply_weights();
  for (const BundleModel& model : bundle.models) {
    admission_.set_weight_version(models_.intern(model.name), model.weight_version);
  }
  order_tables_ = OrderTables(bundle);
  cache_.apply_bundle(bundle);
  start_queued();
}

void SidecarCore::set_zone_in_service(bool in_service) {
  if (zone_in_service_ == in_service) {
    return;
  }
  zone_in_service_ = in_service;
  admission_.set_zone_out_of_service(!in_service);
  LogEvent("zone_state").field("zone", settings_.zone).field("in_service", in_service);
  start_queued();
}

void SidecarCore::set_leaving() {
  leaving_ = true;
  admission_.set_leaving(true);
  start_queued();
}

void SidecarCore::fill_hint(wire::UpstreamHint::Builder hint) const {
  const Instant now = clock_.now();
  hint.setLoad(admission_.running() + static_cast<std::uint32_t>(queue_.size()));
  hint.setLimit(admission_.limit(now));
  hint.setLeaving(leaving_);
  hint.setCold(admission_.is_cold(now));
  const std::uint64_t limit = settings_.limits.kv_tokens;
  hint.setKvTokensFree(limit - std::min(limit, admission_.kv_tokens_used()));
  if (bundle_ == nullptr || settings_.kind != UpstreamKind::kEngine) {
    return;
  }
  auto versions = hint.initWeightVersions(static_cast<unsigned>(bundle_->models.size()));
  for (unsigned i = 0; i < versions.size(); ++i) {
    versions.set(i, bundle_->models[i].name + "=" + bundle_->models[i].weight_version);
  }
}

SidecarCore::RunAction SidecarCore::action_for(const Run& run, Instant now) const {
  if (run.phase == RunPhase::kFinished) {
    const bool is_removable =
        run.outbox.is_delivered() || now - run.finished_at > kFinishedRetention;
    return is_removable ? RunAction::kRemove : RunAction::kNone;
  }
  const bool is_past_deadline = now >= run.spec.deadline;
  if (is_order(run)) {
    return is_past_deadline && run.phase == RunPhase::kQueued ? RunAction::kExpire
                                                              : RunAction::kNone;
  }
  const auto detached = run.outbox.detached_since();
  const bool is_abandoned = detached.has_value() && now - *detached > kDetachTimeout;
  if (is_past_deadline || is_abandoned) {
    return RunAction::kExpire;
  }
  return is_prompt(run) ? RunAction::kCheckTimeout : RunAction::kNone;
}

void SidecarCore::tick() {
  const Instant now = clock_.now();
  admission_.report_alive(now);
  std::map<RunAction, std::vector<RequestId>> due;
  for (const auto& [id, run] : runs_) {
    due[action_for(run, now)].push_back(id);
  }
  cache_.tick();
  correct_shares(now);
  for (const RequestId id : due[RunAction::kCheckTimeout]) {
    prompt_runner_.check_timeout(runs_.at(id));
  }
  for (const RequestId id : due[RunAction::kExpire]) {
    expire(id);
  }
  for (const RequestId id : due[RunAction::kRemove]) {
    remove_run(id);
  }
  start_queued();
}

void SidecarCore::expire(RequestId id) {
  Run& run = runs_.at(id);
  if (is_order(run)) {
    queue_.cancel(id);
    plain_runner_.refuse(run, Verdict::not_run(Reason::kDeadlineExceeded,
                                               "the order was still queued at its deadline"));
    return;
  }
  cancel_run(run);
  remove_run(id);
}

void SidecarCore::abort_all() {
  for (auto& [id, run] : runs_) {
    if (run.phase != RunPhase::kFinished) {
      finish_run(run,
                 Verdict::may_have_run(Reason::kShuttingDown,
                                       "the sidecar stopped before the answer was complete"),
                 Outcome::kCancelled);
    }
  }
}

void SidecarCore::correct_shares(Instant now) {
  if (now < next_share_correction_at_ || bundle_ == nullptr) {
    return;
  }
  next_share_correction_at_ = now + kShareCorrectionInterval;
  std::vector<AccountService> services;
  for (const AccountServiceReport& change : pool_service_.take_changes()) {
    services.push_back({accounts_.intern(change.account),
                        Cost{static_cast<std::int64_t>(change.cost)}, change.backlogged});
  }
  share_corrector_.observe(services, now);
  apply_weights();
}

void SidecarCore::apply_weights() {
  for (const BundleAccount& account : bundle_->accounts) {
    const AccountId id = accounts_.intern(account.name);
    queue_.set_weight(id, account.share * share_corrector_.factor(id));
  }
}

std::vector<AccountServiceReport> SidecarCore::served_accounts() const {
  std::vector<AccountServiceReport> accounts;
  for (const auto& [name, cost] : served_cost_) {
    const auto id = accounts_.find(name);
    accounts.push_back({name, cost, id.has_value() && queue_.size(*id) > 0});
  }
  return accounts;
}

std::size_t SidecarCore::open_runs() const {
  return static_cast<std::size_t>(std::count_if(runs_.begin(), runs_.end(), [](const auto& entry) {
    return !entry.second.outbox.is_delivered();
  }));
}

Run* SidecarCore::find(RequestId id) {
  const auto found = runs_.find(id);
  return found == runs_.end() ? nullptr : &found->second;
}

std::string SidecarCore::status_document() const {
  const Instant now = clock_.now();
  const nlohmann::json document = {{"running", admission_.running()},
                                   {"queued", queue_.size()},
                                   {"limit", admission_.limit(now)},
                                   {"cold", admission_.is_cold(now)},
                                   {"leaving", leaving_},
                                   {"zone_in_service", zone_in_service_},
                                   {"open_runs", open_runs()},
                                   {"held_claims", plain_runner_.held_claims()}};
  return document.dump(2) + "\n";
}

}  // namespace bluebellstep
