// Relays streams, and keeps each at the software version that began it.

#include <array>
#include <cstddef>
#include <cstdio>
#include <string>
#include <utility>

#include "base/overloaded.h"
#include "gateway/forwarder.h"
#include "platform/call_format.h"

namespace bluebellstep {
namespace {

// A caller with more unread bytes of a stream is disconnected.
constexpr std::size_t kMaxUnsentBytes = 1u << 20;
// A caller may come back this long after its deadline: its clock and the gateway's start at
// different moments.
constexpr Duration kExpirySlack{5000};
// Minimum retry delay of a caller whose stream cannot continue at present.
constexpr Duration kUnknownVersionRetryDelay{300};

constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Encodes a chunk of a response with chunked transfer encoding.
std::string encode_chunk(std::string_view content) {
  std::array<char, 20> size;
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", content.size());
  std::string out(size.data(), static_cast<std::size_t>(length));
  out.append(content).append("\r\n");
  return out;
}

// Returns the label for the ratio of an actual to a predicted time.
std::string prediction_kind(double ratio) {
  constexpr double kCloseFactor = 2;
  return ratio > kCloseFactor ? "too_short" : ratio * kCloseFactor < 1 ? "too_long" : "close";
}

}  // namespace

Instant Forwarder::stream_expiry(const Request& request) {
  return request.arrived_at + request.caller.time_left.value_or(request.route->timeout) +
         kExpirySlack;
}

void Forwarder::find_stream_version(Request& request) {
  request.versions_matter =
      stream_versions_ != nullptr && request.route->kind == RequestKind::kStream &&
      request.route->resumable && stream_versions_->covers(request.service->name);
  if (!request.versions_matter) {
    dispatch(request);
    return;
  }
  const CallerRequestHead& caller = request.caller;
  const std::string_view account =
      request.account != nullptr ? std::string_view(request.account->name) : "";
  const bool named = !caller.resumes.empty();
  request.stream = stream_key(account, named ? caller.resumes : caller.request_id);
  if (!named && !caller.last_event_id) {
    dispatch(request);
    return;
  }
  request.waits_for_version = true;
  schedule_check(request);
  stream_versions_->find_version(
      request.service->name, named ? std::optional(request.stream) : std::nullopt,
      [this, id = request.id](const StreamBelief& belief) { on_stream_version(id, belief); });
}

void Forwarder::on_stream_version(RequestId id, const StreamBelief& belief) {
  Request* request = find(id);
  if (request == nullptr || !std::exchange(request->waits_for_version, false)) {
    return;
  }
  std::visit(Overloaded{[&](const KnownVersion& known) {
                          request->stream_version = known.version;
                          dispatch(*request);
                        },
                        [&](const AskStore&) {
                          refuse_request(*request, "version_unknown", kUnknownVersionRetryDelay);
                        },
                        [&](const UnknownVersion& unknown) {
                          refuse_request(*request, unknown.reason, kUnknownVersionRetryDelay);
                        }},
             belief);
}

void Forwarder::update_usable_versions(Request& request) {
  if (!request.versions_matter) {
    return;
  }
  request.usable_versions = request.stream_version
                                ? std::vector{*request.stream_version}
                                : stream_versions_->usable_versions(request.service->name);
}

void Forwarder::record_stream_version(Request& request) {
  if (!request.versions_matter || request.stream_version) {
    return;
  }
  Attempt& attempt = *request.attempt;
  const std::string& version = attempt.picked.software_version;
  if (!stream_versions_->must_record(request.service->name, version, request.stream)) {
    return;
  }
  attempt.held.emplace();
  stream_versions_->record_version(request.stream, version, stream_expiry(request),
                                   [this, id = request.id, number = attempt.number](bool recorded) {
                                     on_version_recorded(id, number, recorded);
                                   });
}

void Forwarder::on_version_recorded(RequestId id, std::uint32_t attempt_number, bool recorded) {
  Request* request = find(id);
  if (request == nullptr || !request->attempt || request->attempt->number != attempt_number ||
      !request->attempt->held) {
    return;
  }
  if (!recorded) {
    // The store may contain the version all the same, so no other one can be tried.
    give_up_attempt(*request, AttemptOutcome::kCallerDisconnected);
    fail_request(*request, request->possible_runs > 0, "version_not_recorded");
    return;
  }
  Attempt& attempt = *request->attempt;
  const HeldContent held = *std::exchange(attempt.held, std::nullopt);
  attempt.held_event_at = held.received_at;
  schedule_check(*request);
  const std::string content = std::exchange(attempt.body, {});
  buffered_body_bytes_ -= content.size();
  if (!content.empty()) {
    on_content(id, content);
  }
  request = find(id);
  // The content may have ended the attempt.
  const bool same_attempt =
      request != nullptr && request->attempt && request->attempt->number == attempt_number;
  if (held.end && same_attempt) {
    on_end(id, held.end->outcome, held.end->reason);
  }
}

bool Forwarder::has_changed_version(const Request& request) const {
  const PickedUpstream& picked = request.attempt->picked;
  const UpstreamRegistration* registration = pool_.find_registration(picked.upstream_id);
  return request.versions_matter && registration != nullptr &&
         registration->software_version != picked.software_version;
}

bool Forwarder::hold_content(Request& request, std::string_view content) {
  std::optional<HeldContent>& held = request.attempt->held;
  if (!held) {
    return false;
  }
  held->received_at = held->received_at.value_or(clock_.now());
  buffer_content(request, content);
  return true;
}

bool Forwarder::hold_end(Request& request, ExchangeOutcome outcome, std::string_view reason) {
  std::optional<HeldContent>& held = request.attempt->held;
  if (!held || !held->received_at) {
    return false;
  }
  held->end = {.outcome = outcome, .reason = std::string(reason)};
  return true;
}

void Forwarder::on_stream_begun(Request& request) {
  if (!request.versions_matter || request.stream_version) {
    return;
  }
  request.stream_version = request.attempt->picked.software_version;
  stream_versions_->note_begun(request.stream, *request.stream_version, stream_expiry(request));
}

void Forwarder::forward_events(Request& request, std::string_view content) {
  if (!request.attempt->prefill_reported && has_changed_version(request)) {
    on_attempt_failed(request, AttemptOutcome::kFailed, true, "version_changed");
    return;
  }
  const std::size_t events_before = request.event_buffer.event_count();
  const std::string complete_events = request.event_buffer.feed(content);
  if (request.event_buffer.overflowed()) {
    on_attempt_failed(request, AttemptOutcome::kFailed, true, "event_too_large");
    return;
  }
  if (complete_events.empty()) {
    return;
  }
  const bool has_event = request.event_buffer.event_count() > events_before;
  if (has_event) {
    request.last_progress_at = clock_.now();
    if (!request.attempt->prefill_reported) {
      request.attempt->first_byte_at =
          request.attempt->held_event_at.value_or(request.last_progress_at);
      quarantine_.record_answer(request.caller.prompt, request.last_progress_at);
    }
    report_prefill_finished(*request.attempt);
  }
  std::string out;
  if (has_event && !request.first_event_at) {
    request.first_event_at = clock_.now();
    const Attempt& attempt = *request.attempt;
    const Instant arrived_at = attempt.held_event_at.value_or(*request.first_event_at);
    const double ratio = pool_.record_first_event(attempt.picked, arrived_at - attempt.started_at,
                                                  *request.first_event_at);
    metrics_.count("bluebellstep_gateway_predictions_total", prediction_kind(ratio));
    if (request.account != nullptr) {
      metrics_.first_token(request.account->name, request.route->name,
                           *request.first_event_at - request.arrived_at);
    }
  }
  if (!request.response_started) {
    request.response_started = true;
    on_stream_begun(request);
    request.chunked = request.head->minor_version > 0;
    request.closes = !request.chunked || stop_times_ || request.caller.close;
    out = platform::encode_caller_response_head(
        *request.attempt->head, {.length = std::nullopt,
                                 .has_body = request.chunked,
                                 .close = request.closes,
                                 .keep_alive = request.config->limits.idle_timeout});
  }
  out += request.chunked ? encode_chunk(complete_events) : complete_events;
  request.response_writer.write(out);
  if (request.response_writer.unsent() > kMaxUnsentBytes) {
    end_attempt(request, AttemptOutcome::kCallerDisconnected, false);
    request.response_writer.abort(!request.chunked);
    finish_request(request, "caller_too_slow", 0);
    return;
  }
  schedule_check(request);
}

void Forwarder::on_stream_complete(Request& request) {
  const bool is_complete = !request.event_buffer.has_partial() && request.response_started;
  if (!is_complete) {
    // An answer that ends with its connection ends in the same way if the upstream crashes.
    on_upstream_lost(request, "stream_cut");
    return;
  }
  end_attempt(request, AttemptOutcome::kAnswered, true);
  if (request.chunked) {
    request.response_writer.write(kLastChunk);
  }
  // A close that was not announced would reset the caller's next request.
  request.response_writer.complete(request.closes);
  finish_request(request, "answered", 200);
}

}  // namespace bluebellstep
