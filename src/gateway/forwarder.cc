// Sends requests to upstreams, relays the responses, and retries failed attempts.

#include "gateway/forwarder.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"
#include "http/http_loop_impl.h"
#include "platform/call_format.h"

namespace bluebellstep {
namespace {

// A request that may have waited longer than this to be read is refused: the gateway is late, and
// taking on more work would make it later still.
constexpr Duration kMaxUnreadTime{500};
constexpr Duration kLateRetryDelay{500};
// The deadline that the upstream is given is this much earlier than that of the request, so that
// the response can still reach the caller.
constexpr Duration kResponseReturnTime{4};
// A response that is not streamed is buffered completely; one with a larger body fails.
constexpr std::size_t kMaxBufferedBodyBytes = 4u << 20;
// Limit on the sum of these buffers; some gateways have 110 MB of memory.
constexpr std::size_t kMaxTotalBufferedBytes = 12u << 20;
// Minimum retry delay in a shutdown. The load balancer sends new connections to other gateways.
constexpr Duration kStoppingRetryDelay{50};
// Minimum retry delay while the configuration, or a service that it refers to, is missing.
constexpr Duration kNoConfigRetryDelay{500};

// Chooses a service in proportion to the weights, always the same one for a request id, which for a
// stream that goes on is the one that began it.
const WeightedService& choose_target(const RouteRule& route, const CallerRequestHead& caller) {
  const std::string_view request_id = caller.resumes.empty() ? caller.request_id : caller.resumes;
  std::uint64_t total = 0;
  for (const WeightedService& target : route.targets) {
    total += target.weight;
  }
  std::uint64_t position = total == 0 ? 0 : hash64(request_id) % total;
  for (const WeightedService& target : route.targets) {
    if (position < target.weight) {
      return target;
    }
    position -= target.weight;
  }
  return route.targets.front();
}

}  // namespace

Forwarder::Forwarder(HttpLoop& loop,
                     UpstreamPool& pool,
                     Metrics& metrics,
                     std::string zone,
                     RetryLimits retry_limits)
    : loop_(loop),
      pool_(pool),
      metrics_(metrics),
      zone_(std::move(zone)),
      retry_limits_(retry_limits),
      connections_(loop,
                   [](const MessageHead& head) {
                     return platform::decode_upstream_response_head(head).request_id;
                   }),
      crash_check_(loop) {}

Forwarder::~Forwarder() = default;

Forwarder::Request* Forwarder::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

void Forwarder::set_config(std::shared_ptr<const ServingConfig> config) {
  config_ = std::move(config);
  pool_.set_isolated_accounts(config_->isolated_accounts());
  for (auto& [id, request] : requests_) {
    if (request->route != nullptr && !request->response_started) {
      limit_wait(*request);
    }
  }
}

RequestId Forwarder::start(CallerRequest caller_request, CallerResponseWriter response_writer) {
  const RequestId id{next_id_++};
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.id = id;
  request.response_writer = std::move(response_writer);
  request.head = std::move(caller_request.head);
  request.body = std::make_shared<const std::string>(std::move(caller_request.body));
  request.charge = std::move(caller_request.charge);
  request.caller = platform::decode_caller_request_head(*request.head);
  request.config = config_;
  request.arrived_at = caller_request.arrived_at;
  request.last_progress_at = clock_.now();
  requests_.emplace(id, std::move(owned));
  if (request.config == nullptr) {
    refuse_request(request, "no_configuration", kNoConfigRetryDelay);
    return id;
  }
  request.route = request.config->find_route(request.caller.host, request.caller.path);
  if (request.route == nullptr) {
    send_local_response(request, 404, "no_route", std::nullopt);
    return id;
  }
  if (request.config->requires_api_key(*request.route)) {
    request.account = request.config->find_account(request.caller.api_key);
    if (request.account == nullptr) {
      send_local_response(request, 401, "unknown_key", std::nullopt);
      return id;
    }
  }
  const WeightedService& target = choose_target(*request.route, request.caller);
  request.service = request.config->find_service(target.service);
  if (request.service == nullptr) {
    refuse_request(request, "no_service", kNoConfigRetryDelay);
    return id;
  }
  const Duration time_limit =
      std::min(request.route->timeout, request.caller.time_left.value_or(request.route->timeout));
  request.deadline = request.arrived_at + time_limit;
  retry_budget(request).count_request(retry_limits_, clock_.now());
  if (clock_.now() - request.arrived_at > kMaxUnreadTime) {
    refuse_request(request, "gateway_late", kLateRetryDelay);
    return id;
  }
  find_stream_version(request);
  return id;
}

ServiceRetryBudget& Forwarder::retry_budget(const Request& request) {
  return retry_budgets_[request.service->name];
}

Duration Forwarder::time_left(const Request& request, Instant now) const {
  return request.deadline - now - kResponseReturnTime;
}

PickQuery Forwarder::make_pick_query(const Request& request) const {
  PickQuery query{
      .service = request.service,
      .zone = zone_,
      .route = request.route->name,
      .model = request.caller.model,
      .account = request.account,
      .prompt = request.caller.prompt,
      .prompt_tokens = request.caller.prompt_tokens,
      .body_bytes = request.body->size(),
      .may_retry = request.route->may_retry(),
      .priority = request_priority(*request.route, request.account),
      // A request that may have run is not refused any more.
      .latency_goal = request.possible_runs > 0 ? Duration{0} : request.route->latency_goal,
      .time_left = time_left(request, clock_.now()),
      .resumes = request.route->resumable && request.caller.last_event_id.has_value(),
      .tie_breaker = hash64(request.caller.request_id),
      .excluded_ids = request.tried_upstreams};
  if (request.versions_matter) {
    query.software_versions = request.usable_versions;
  }
  return query;
}

void Forwarder::dispatch(Request& request) {
  if (request.response_writer.caller_left()) {
    finish_request(request, "caller_left", 0);
    return;
  }
  const Instant now = clock_.now();
  if (time_left(request, now) < kMinTimeLeft) {
    fail_request(request, request.possible_runs > 0, "deadline");
    return;
  }
  if (request.possible_runs == 0 && !request.response_started &&
      may_outlast_shutdown(request, now)) {
    refuse_request(request, "gateway_stopping", kStoppingRetryDelay);
    return;
  }
  if (quarantine_.contains(request.caller.prompt, now)) {
    fail_request(request, request.possible_runs > 0, "prompt_quarantined");
    return;
  }
  update_usable_versions(request);
  while (true) {
    const PickResult result = pool_.pick(make_pick_query(request), now);
    if (const auto* none = std::get_if<NoUpstreamAvailable>(&result)) {
      if (none->admission) {
        report_admission(request, *none->admission, none->retry_after);
      }
      if (request.response_started || request.possible_runs > 0) {
        fail_request(request, request.possible_runs > 0, none->reason);
      } else {
        refuse_request(request, none->reason, none->retry_after);
      }
      return;
    }
    const PickedUpstream& picked = std::get<PickedUpstream>(result);
    if (acquire_connection(request, picked)) {
      if (picked.admission) {
        report_admission(request, *picked.admission, std::nullopt);
      }
      break;
    }
    request.tried_upstreams.push_back(picked.upstream_id);
    request.last_failure_reason = "connections_in_use";
  }
  transmit(request);
}

bool Forwarder::acquire_connection(Request& request, const PickedUpstream& picked) {
  const Instant now = clock_.now();
  ConnectionPool::Acquired acquired = connections_.acquire(
      picked.upstream_id, picked.endpoint, pool_.connection_limit(*request.service), now);
  if (acquired.connection == nullptr) {
    return false;
  }
  if (!acquired.reused) {
    metrics_.count("bluebellstep_gateway_connections_total", "opened");
  }
  request.attempt.emplace(Attempt{.number = ++request.attempt_count,
                                  .picked = picked,
                                  .connection = std::move(acquired.connection),
                                  .started_at = now,
                                  .reused = acquired.reused});
  return true;
}

void Forwarder::transmit(Request& request) {
  Attempt& attempt = *request.attempt;
  const Instant now = clock_.now();
  const std::int64_t priority = request_priority(*request.route, request.account);
  constexpr std::int64_t kLowestPriority = 9;
  const UpstreamRequestFields fields{
      .upstream_id = attempt.picked.upstream_id,
      .account = request.account != nullptr ? std::string_view(request.account->name) : "",
      .time_left = time_left(request, now),
      .cache_namespace = attempt.picked.cache_namespace,
      .weight_version = request.service->engine ? attempt.picked.weight_version : std::nullopt,
      .priority = request.service->engine ? std::optional(static_cast<int>(std::clamp<std::int64_t>(
                                                priority, 0, kLowestPriority)))
                                          : std::nullopt,
      .resume_after =
          request.response_started ? request.event_buffer.last_event_id() : std::nullopt,
      .cache_fetch_endpoints = attempt.picked.cache_plan.fetch_endpoints,
      .cache_save_endpoints = attempt.picked.cache_plan.save_endpoints,
      .cache_fetch_deadline_ms = attempt.picked.cache_plan.fetch_deadline_ms};
  std::string head =
      platform::encode_upstream_request_head(*request.head, fields, request.body->size());
  ++request.possible_runs;
  ++request.attempts_sent;
  request.last_upstream_id = attempt.picked.upstream_id;
  request.cache_usage = {.uncached_tokens = attempt.picked.uncached_tokens,
                         .held_tokens = attempt.picked.held_tokens,
                         .fetched_tokens = attempt.picked.cache_plan.fetched_tokens,
                         .saves = attempt.picked.cache_plan.saves()};
  request.last_progress_at = now;
  pool_.record_sent(attempt.picked, make_pick_query(request), now);
  if (service_rollouts_ != nullptr) {
    attempt.rollout_phase =
        service_rollouts_->record_sent(request.service->name, attempt.picked.software_version);
  }
  const RequestId id = request.id;
  attempt.connection->send_request(
      std::move(head), request.body, request.caller.method, request.caller.request_id,
      {.on_connected = [this, id] { on_connected(id); },
       .on_head = [this, id](const MessageHead& response) { on_head(id, response); },
       .on_content = [this, id](std::string_view content) { on_content(id, content); },
       .on_end = [this, id](ExchangeOutcome outcome,
                            std::string_view reason) { on_end(id, outcome, reason); }});
  schedule_check(request);
  record_stream_version(request);
}

void Forwarder::on_connected(RequestId id) {
  Request* request = find(id);
  if (request != nullptr && request->response_writer.caller_left()) {
    on_caller_disconnected(id);
  }
}

void Forwarder::on_head(RequestId id, const MessageHead& head) {
  Request* request = find(id);
  if (request == nullptr || !request->attempt) {
    return;
  }
  Attempt& attempt = *request->attempt;
  const Instant now = clock_.now();
  attempt.head = std::make_unique<MessageHead>();
  std::size_t consumed = 0;
  parse_response_head(head.text, *attempt.head, consumed);
  attempt.response = platform::decode_upstream_response_head(*attempt.head);
  attempt.head_received = true;
  attempt.first_byte_at = now;
  request->last_progress_at = now;
  // Status 421 is the answer of another upstream at the address.
  const bool is_from_picked = attempt.response.status != 421;
  if (is_from_picked && attempt.response.leaving) {
    pool_.record_leaving(attempt.picked.upstream_id, attempt.started_at);
  }
  if (is_from_picked && attempt.response.hold_off) {
    pool_.record_hold_off(attempt.picked.upstream_id, attempt.started_at,
                          now + *attempt.response.hold_off);
  }
  if (attempt.response.load) {
    pool_.record_load(attempt.picked.upstream_id, *attempt.response.load, now);
  }
  if (attempt.response.weight_version) {
    pool_.record_weight_version(attempt.picked.upstream_id, request->caller.model,
                                *attempt.response.weight_version, attempt.started_at, now);
  }
  if (attempt.response.close) {
    attempt.connection->disable_reuse();
  }
  connections_.set_keep_alive(attempt.picked.upstream_id, attempt.response.keep_alive.value_or(
                                                              ConnectionPool::kDefaultKeepAlive));
  const bool success = attempt.response.status >= 200 && attempt.response.status < 300;
  if ((success && !attempt.response.has_seal) || attempt.response.has_content_encoding) {
    on_attempt_failed(*request, AttemptOutcome::kFailed, true, "not_the_upstreams_answer");
    return;
  }
  if (success && !request->service->engine) {
    pool_.record_answer_time(attempt.picked, request->route->name, now - attempt.started_at, now);
  }
  attempt.streaming = success && request->route->kind == RequestKind::kStream;
  if (attempt.streaming || !attempt.response.body_length || request->caller.method == "HEAD") {
    return;
  }
  if (*attempt.response.body_length > kMaxBufferedBodyBytes) {
    on_attempt_failed(*request, AttemptOutcome::kFailed, true, "answer_too_large");
    return;
  }
  attempt.body.reserve(*attempt.response.body_length);
}

void Forwarder::on_content(RequestId id, std::string_view content) {
  Request* request = find(id);
  if (request == nullptr || !request->attempt) {
    return;
  }
  if (request->attempt->streaming) {
    if (!hold_content(*request, content)) {
      forward_events(*request, content);
    }
    return;
  }
  buffer_content(*request, content);
}

void Forwarder::buffer_content(Request& request, std::string_view content) {
  request.last_progress_at = clock_.now();
  request.attempt->body += content;
  buffered_body_bytes_ += content.size();
  if (request.attempt->body.size() > kMaxBufferedBodyBytes) {
    on_attempt_failed(request, AttemptOutcome::kFailed, true, "answer_too_large");
  } else if (buffered_body_bytes_ > kMaxTotalBufferedBytes) {
    // The largest one, so that a faulty upstream does not end the requests to others.
    on_attempt_failed(largest_buffered(), AttemptOutcome::kFailed, true, "answer_too_large");
  }
}

Forwarder::Request& Forwarder::largest_buffered() {
  const auto size = [](const auto& entry) {
    return entry.second->attempt ? entry.second->attempt->body.size() : 0;
  };
  return *std::max_element(requests_.begin(), requests_.end(), [&](const auto& a, const auto& b) {
            return size(a) < size(b);
          })->second;
}

void Forwarder::on_end(RequestId id, ExchangeOutcome outcome, std::string_view reason) {
  Request* request = find(id);
  if (request == nullptr || !request->attempt || hold_end(*request, outcome, reason)) {
    return;
  }
  switch (outcome) {
    case ExchangeOutcome::kComplete:
      on_complete(*request);
      return;
    case ExchangeOutcome::kLost:
      on_upstream_lost(*request, reason);
      return;
    case ExchangeOutcome::kBroken:
      on_attempt_failed(*request, AttemptOutcome::kFailed, true, reason);
      return;
    case ExchangeOutcome::kNotReached:
      on_attempt_failed(*request, AttemptOutcome::kNotReached, false, reason);
      return;
  }
}

void Forwarder::on_upstream_lost(Request& request, std::string_view reason) {
  const bool before_first_event = !request.attempt->prefill_reported;
  if (before_first_event && !request.caller.prompt.empty()) {
    check_prompt_crash(request);
  }
  on_attempt_failed(request, AttemptOutcome::kFailed, true, reason);
}

void Forwarder::check_prompt_crash(Request& request) {
  request.waits_for_crash_check = true;
  const PickedUpstream& picked = request.attempt->picked;
  crash_check_.start(
      picked.upstream_id, picked.endpoint,
      [this, id = request.id, prompt = request.caller.prompt,
       upstream_hash = hash64(picked.upstream_id), sent_at = request.attempt->started_at,
       lost_at = clock_.now()](bool crashed) {
        metrics_.count("bluebellstep_gateway_crash_checks_total", crashed ? "crashed" : "running");
        if (crashed) {
          quarantine_.record_crash(prompt, upstream_hash, sent_at, lost_at, clock_.now());
          if (on_prompt_crash_) {
            on_prompt_crash_();
          }
        }
        Request* waiting = find(id);
        if (waiting != nullptr && std::exchange(waiting->waits_for_crash_check, false)) {
          dispatch(*waiting);
        }
      });
}

void Forwarder::on_complete(Request& request) {
  Attempt& attempt = *request.attempt;
  if (attempt.streaming) {
    on_stream_complete(request);
    return;
  }
  const int status = attempt.response.status;
  if (attempt.response.not_run) {
    if (status == 421) {
      const bool replaced = !attempt.response.upstream_id.empty() &&
                            attempt.response.upstream_id != attempt.picked.upstream_id;
      pool_.record_misdirected(attempt.picked.upstream_id, replaced, clock_.now());
    }
    on_attempt_failed(request, AttemptOutcome::kRejected, false,
                      status == 421 ? "misdirected" : "upstream_refused");
    return;
  }
  const bool server_error = status >= 500;
  if (request.response_started || (server_error && request.route->may_retry() &&
                                   request.possible_runs < request.route->max_attempts)) {
    on_attempt_failed(request, AttemptOutcome::kError, true, "upstream_error");
    return;
  }
  const bool means_not_run = status == 429 || status == 503 || status == 408;
  if (means_not_run) {
    // These statuses tell callers that the request did not run. The upstream did not state that, so
    // the response is not forwarded.
    on_attempt_failed(request, AttemptOutcome::kFailed, true, "upstream_refused_unclearly");
    return;
  }
  const bool close = stop_times_ || request.caller.close;
  std::string out = platform::encode_caller_response_head(
      *attempt.head, {.length = attempt.body.size(),
                      .has_body = request.caller.method != "HEAD" && status != 204 && status != 304,
                      .close = close,
                      .keep_alive = request.config->limits.idle_timeout});
  buffered_body_bytes_ -= attempt.body.size();
  const auto body = std::make_shared<const std::string>(std::exchange(attempt.body, {}));
  end_attempt(request, server_error ? AttemptOutcome::kError : AttemptOutcome::kAnswered, true);
  request.response_writer.write_body(std::move(out), body);
  request.response_writer.complete(close);
  finish_request(request, server_error ? "upstream_error" : "answered", status);
}

bool Forwarder::may_outlast_shutdown(const Request& request, Instant now) const {
  return stop_times_ && now > stop_times_->last_arrival && request.deadline > stop_times_->end;
}

void Forwarder::end_requests() {
  std::vector<RequestId> open;
  for (const auto& [id, request] : requests_) {
    open.push_back(id);
  }
  for (const RequestId id : open) {
    if (Request* request = find(id); request != nullptr) {
      give_up_attempt(*request, AttemptOutcome::kCallerDisconnected);
      fail_request(*request, request->possible_runs > 0, "gateway_stopping");
    }
  }
}

void Forwarder::on_caller_disconnected(RequestId id) {
  Request* request = find(id);
  if (request == nullptr) {
    return;
  }
  if (request->attempt) {
    end_attempt(*request, AttemptOutcome::kCallerDisconnected, false);
  }
  finish_request(*request, "caller_left", 0);
}

}  // namespace bluebellstep
