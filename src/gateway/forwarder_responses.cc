// Responses that the gateway generates itself, and the log line at the end of each request.

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "base/log_event.h"
#include "gateway/forwarder.h"
#include "gateway/retry_after.h"
#include "platform/call_format.h"

namespace bluebellstep {
namespace {

// Minimum retry delay of requests that did not run.
constexpr Duration kNotRunRetryDelay{300};

// Retry delay of requests for whose body there is no room. Other gateways may have some.
constexpr Duration kNoBufferRetryDelay{500};

// Formats a segment id as callers write it in the request header.
std::string hex_text(std::uint64_t value) {
  std::array<char, 16> digits;
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
  return {digits.data(), end};
}

// Formats the ids of the first segments of a prompt.
std::string segment_ids_text(std::span<const PromptSegment> prompt) {
  constexpr std::size_t kMaxLogged = 8;
  std::string text;
  for (const PromptSegment& segment : prompt.first(std::min(prompt.size(), kMaxLogged))) {
    text.append(text.empty() ? "" : ",").append(hex_text(segment.id));
  }
  return text;
}

std::string_view kind_text(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "once";
    case RequestKind::kStream:
      return "stream";
  }
  return {};
}

}  // namespace

void Forwarder::fail_request(Request& request, bool may_have_run, std::string_view reason) {
  if (request.response_started) {
    request.response_writer.abort(!request.chunked);
    finish_request(request, "cut_off", 0);
    return;
  }
  if (!may_have_run) {
    refuse_request(request, reason, kNotRunRetryDelay);
    return;
  }
  send_local_response(request, reason == "deadline" || reason == "timeout" ? 504 : 502, reason,
                      std::nullopt);
}

void Forwarder::refuse_request(Request& request, std::string_view reason, Duration min_delay) {
  std::optional<Duration> time_left = request.caller.time_left;
  if (time_left) {
    *time_left = *time_left - (clock_.now() - request.arrived_at);
  } else if (request.service != nullptr) {
    time_left = request.deadline - clock_.now();
  }
  send_local_response(request, 503, reason,
                      jittered_retry_after(min_delay, time_left, request.caller.request_id));
}

void Forwarder::send_local_response(Request& request,
                                    int status,
                                    std::string_view reason,
                                    std::optional<Duration> retry_after) {
  const bool close = stop_times_ || request.caller.close;
  request.response_writer.write(
      platform::encode_gateway_response({.status = status,
                                         .request_id = request.caller.request_id,
                                         .retry_after = retry_after,
                                         .reason = reason,
                                         .close = close,
                                         .to_head_request = request.caller.method == "HEAD"}));
  request.response_writer.complete(close);
  request.last_failure_reason = reason;
  if (status == 503) {
    metrics_.count("bluebellstep_gateway_refusals_total", std::string(reason));
  }
  finish_request(request, status == 503 ? "refused" : "failed", status);
}

std::string Forwarder::error_response(CallerRequestError error) {
  platform::GatewayResponse response{.status = 400, .reason = "malformed request", .close = true};
  switch (error) {
    case CallerRequestError::kMalformed:
      break;
    case CallerRequestError::kHeadTooLarge:
      response.status = 431;
      response.reason = "request head too large";
      break;
    case CallerRequestError::kBodyTooLarge:
      response.status = 413;
      response.reason = "request body too large";
      break;
    case CallerRequestError::kTimeout:
      response.status = 408;
      response.reason = "request took too long to arrive";
      break;
    case CallerRequestError::kNoBuffer:
      response.status = 503;
      response.reason = "too many large requests";
      response.retry_after = kNoBufferRetryDelay;
      break;
  }
  return platform::encode_gateway_response(response);
}

void Forwarder::finish_request(Request& request, std::string_view outcome, int status) {
  const Instant now = clock_.now();
  log_request_end(request, outcome, status, now);
  metrics_.count("bluebellstep_gateway_requests_total", std::string(outcome));
  if (request.account != nullptr && outcome == "answered") {
    metrics_.request_done(request.account->name, request.route->name, now - request.arrived_at);
  }
  if (request.check_at) {
    scheduled_checks_.erase({*request.check_at, request.id});
  }
  requests_.erase(request.id);
}

void Forwarder::report_admission(const Request& request,
                                 const AdmissionDecision& decision,
                                 std::optional<Duration> retry_after) const {
  const auto& [inputs, state] = decision;
  const PickQuery query = make_pick_query(request);
  const std::string account = query.account == nullptr ? "none" : query.account->name;
  const FirstEventPredictor* predictor = pool_.predictor(request.service->name);
  const auto percent = [](double share) { return std::lround(100 * share); };
  LogEvent event(retry_after ? "admission_refused" : "admission_sent");
  event.field("request", request.caller.request_id)
      .field("service", request.service->name)
      .field("account", account)
      .field("priority", query.priority)
      .field("prompt_tokens", static_cast<std::int64_t>(query.prompt_tokens))
      .field("queue_ms", static_cast<std::int64_t>(inputs.queue_ms))
      .field("own_ms", static_cast<std::int64_t>(inputs.own_ms))
      .field("max_queue_ms", static_cast<std::int64_t>(OverloadPolicy::max_queue_ms(inputs, state)))
      .field("goal_ms", inputs.latency_goal.ms)
      .field("time_left_ms", inputs.time_left.ms)
      .field("refused_percent", percent(state.standing.refused_share))
      .field("overloaded_ms", state.standing.overloaded_for.ms)
      .field("account_share_percent", percent(state.standing.share_used))
      .field("size_sent_percent", percent(state.size_sent_share))
      .field("returned", state.returned)
      .field("tokens_per_s",
             static_cast<std::int64_t>(1000 * (predictor == nullptr
                                                   ? FirstEventPredictor::kInitialTokensPerMs
                                                   : predictor->tokens_per_ms())));
  if (retry_after) {
    const std::string_view reason = OverloadPolicy::refusal_reason(inputs, state);
    event.field("why", reason).field("retry_after_ms", retry_after->ms);
    metrics_.count("bluebellstep_gateway_admission_refusals_total",
                   account + "/" + std::to_string(query.priority) + "/" + std::string(reason));
  }
}

void Forwarder::log_failed_attempt(const Request& request,
                                   bool may_have_run,
                                   std::string_view reason) const {
  const Attempt& attempt = *request.attempt;
  LogEvent event("send_failed");
  event.field("request", request.caller.request_id)
      .field("upstream", attempt.picked.upstream_id)
      .field("why", reason)
      .field("reused_connection", attempt.reused)
      .field("may_have_run", may_have_run)
      .field("after_ms", (clock_.now() - attempt.started_at).ms);
  if (!request.caller.prompt.empty()) {
    event.field("parts", segment_ids_text(request.caller.prompt))
        .field("answer_begun", attempt.prefill_reported);
  }
}

void Forwarder::log_request_end(const Request& request,
                                std::string_view outcome,
                                int status,
                                Instant now) const {
  LogEvent event("request_end");
  event.field("request", request.caller.request_id)
      .field("outcome", outcome)
      .field("status", status)
      .field("route", request.route != nullptr ? request.route->name : "")
      .field("kind", request.route != nullptr ? kind_text(request.route->kind) : "")
      .field("config", request.config != nullptr ? request.config->version : 0)
      .field("sends", request.attempts_sent)
      .field("runs", request.possible_runs)
      .field("ms", (now - request.arrived_at).ms);
  if (request.service != nullptr) {
    event.field("limit_ms", (request.deadline - request.arrived_at).ms);
  }
  if (request.first_event_at) {
    event.field("first_event_ms", (*request.first_event_at - request.arrived_at).ms);
    event.field("events", static_cast<std::uint64_t>(request.event_buffer.event_count()));
  }
  if (!request.caller.prompt.empty()) {
    event.field("prompt_tokens", request.caller.prompt_tokens)
        .field("first_part", hex_text(request.caller.prompt.front().id))
        .field("uncached_tokens", request.cache_usage.uncached_tokens)
        .field("held_tokens", request.cache_usage.held_tokens)
        .field("fetched_tokens", request.cache_usage.fetched_tokens)
        .field("saves", request.cache_usage.saves);
  }
  if (!request.last_upstream_id.empty()) {
    event.field("upstream", request.last_upstream_id);
  }
  if (request.stream_version) {
    event.field("software_version", *request.stream_version);
  }
  if (!request.caller.resumes.empty()) {
    event.field("resumes", request.caller.resumes);
  }
  if (!request.last_failure_reason.empty()) {
    event.field("why", request.last_failure_reason);
  }
}

}  // namespace bluebellstep
