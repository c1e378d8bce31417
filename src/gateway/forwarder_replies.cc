// What callers are told when their request got no answer, and the log line of each request.

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

#include "base/log_event.h"
#include "gateway/forwarder.h"
#include "gateway/retry_time.h"
#include "platform/call_format.h"

namespace bluebellstep {
namespace {

constexpr Duration kRetryRejected{300};

// As callers write the ids of prompt parts.
std::string hex_text(std::uint64_t value) {
  std::array<char, 16> digits;
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
  return {digits.data(), end};
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

void Forwarder::fail(Request& request, bool may_have_run, std::string_view why) {
  if (request.head_sent) {
    request.sink.abort();
    finish(request, "cut_off", 0);
    return;
  }
  if (!may_have_run) {
    refuse(request, why, kRetryRejected);
    return;
  }
  reply_own(request, why == "deadline" || why == "timeout" ? 504 : 502, why, std::nullopt);
}

void Forwarder::refuse(Request& request, std::string_view why, Duration least) {
  std::optional<Duration> time_left = request.caller.time_left;
  if (time_left) {
    *time_left = *time_left - (clock_.now() - request.arrived);
  }
  reply_own(request, 503, why, retry_after(least, time_left, request.caller.request_id));
}

void Forwarder::reply_own(Request& request,
                          int status,
                          std::string_view why,
                          std::optional<Duration> retry_after) {
  const bool close = stopping_ || request.caller.close;
  request.sink.send(platform::encode_own_reply({.status = status,
                                                .request_id = request.caller.request_id,
                                                .retry_after = retry_after,
                                                .reason = why,
                                                .close = close}));
  request.sink.done(close);
  request.last_problem = why;
  finish(request, status == 503 ? "refused" : "failed", status);
}

std::string Forwarder::fault_reply(CallerFault fault) {
  platform::OwnReply reply{.status = 400, .reason = "malformed request", .close = true};
  switch (fault) {
    case CallerFault::kMalformed:
      break;
    case CallerFault::kHeadTooLarge:
      reply.status = 431;
      reply.reason = "request head too large";
      break;
    case CallerFault::kBodyTooLarge:
      reply.status = 413;
      reply.reason = "request body too large";
      break;
    case CallerFault::kTooSlow:
      reply.status = 408;
      reply.reason = "request took too long to arrive";
      break;
  }
  return platform::encode_own_reply(reply);
}

void Forwarder::finish(Request& request, std::string_view outcome, int status) {
  const Instant now = clock_.now();
  log_end(request, outcome, status, now);
  metrics_.count("bluebellstep_gateway_requests_total", std::string(outcome));
  if (request.account != nullptr && outcome == "answered") {
    metrics_.request_done(request.account->name, request.route->name, now - request.arrived);
  }
  if (request.due) {
    due_.erase({*request.due, request.id});
  }
  requests_.erase(request.id);
}

void Forwarder::log_end(const Request& request,
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
      .field("sends", request.sends)
      .field("runs", request.runs)
      .field("ms", (now - request.arrived).ms);
  if (request.first_event_at) {
    event.field("first_event_ms", (*request.first_event_at - request.arrived).ms);
    event.field("events", static_cast<std::uint64_t>(request.events.events()));
  }
  if (!request.caller.prompt.empty()) {
    event.field("prompt_tokens", request.caller.prompt_tokens)
        .field("first_part", hex_text(request.caller.prompt.front().id))
        .field("uncached_tokens", request.cache_use.uncached_tokens)
        .field("held_tokens", request.cache_use.held_tokens)
        .field("fetched_tokens", request.cache_use.fetched_tokens)
        .field("saves", request.cache_use.saves);
  }
  if (!request.upstream.empty()) {
    event.field("upstream", request.upstream);
  }
  if (!request.last_problem.empty()) {
    event.field("why", request.last_problem);
  }
}

}  // namespace bluebellstep
