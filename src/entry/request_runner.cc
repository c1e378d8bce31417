// Sends, retries and resumes requests, and handles refusals and lost connections.

#include "entry/request_runner.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"
#include "base/overloaded.h"
#include "cache/block_key.h"
#include "entry/answer_sink.h"
#include "entry/caller_routes.h"
#include "rpc/wire_verdict.h"

namespace bluebellstep {
namespace {

// A connection delivers batches in order, so a small buffer for early events is sufficient.
constexpr std::size_t kMaxEarlyBytes = 256 << 10;

// Whether a retry may succeed later or on another upstream.
bool is_transient(Reason reason) {
  switch (reason) {
    case Reason::kOverloaded:
    case Reason::kColdUpstream:
    case Reason::kZoneOut:
    case Reason::kUpstreamLeaving:
    case Reason::kWeightVersionChanged:
    case Reason::kNoUpstream:
    case Reason::kUpstreamUnreachable:
    case Reason::kShuttingDown:
    case Reason::kOwnerFull:
    case Reason::kNotOwner:
    case Reason::kPlatformUnavailable:
    case Reason::kNoConfiguration:
    case Reason::kUpstreamFailed:
      return true;
    default:
      return false;
  }
}

bool is_order(const EntryRequest& request) {
  return request.spec.kind == wire::RequestKind::ORDER;
}

bool is_prompt(const EntryRequest& request) {
  return request.spec.kind == wire::RequestKind::PROMPT;
}

kj::ArrayPtr<const kj::byte> as_bytes(std::string_view text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

// Returns the upstream that the current attempt was sent to, if any.
std::optional<UpstreamId> upstream_of(const EntryRequest& request) {
  return std::visit(Overloaded{[](const WaitingToRetry&) { return std::optional<UpstreamId>(); },
                               [](const auto& at_upstream) {
                                 return std::optional<UpstreamId>(at_upstream.upstream);
                               }},
                    request.phase);
}

}  // namespace

RequestRunner::RequestRunner(RpcLoop& loop,
                             UpstreamLinks& links,
                             HttpServer& server,
                             Metrics& metrics,
                             std::uint64_t incarnation,
                             RequestRunnerOptions options)
    : loop_(loop),
      links_(links),
      server_(server),
      metrics_(metrics),
      incarnation_(incarnation),
      options_(options),
      random_(incarnation),
      self_(std::make_shared<RequestRunner*>(this)) {}

RequestRunner::~RequestRunner() {
  *self_ = nullptr;
}

void RequestRunner::start(RequestSpec spec) {
  const RequestId id{next_id_++};
  const ExchangeId exchange = spec.exchange;
  CompletionWriter writer("cmpl-" + std::to_string(incarnation_) + "-" + std::to_string(id.value),
                          spec.target_name, clock_.wall().ms / 1000);
  auto [position, added] =
      requests_.emplace(id, EntryRequest{.id = id,
                                         .spec = std::move(spec),
                                         .writer = std::move(writer),
                                         .assembler = StreamAssembler({id, 0}, kMaxEarlyBytes)});
  assert(added);
  by_exchange_.emplace(exchange, id);
  retry_budget_.record_first_attempt();
  send(position->second);
}

Route RequestRunner::choose_route(const EntryRequest& request) {
  RouteQuery query;
  query.target = request.spec.target;
  if (is_prompt(request)) {
    query.weight_version = request.spec.weight_version;
    query.root_key = request.spec.root_key;
  }
  if (is_order(request)) {
    query.owner = links_.find(request.spec.owner);
    if (!query.owner.has_value()) {
      return NoRoute{Verdict::not_run(
          Reason::kNoUpstream, "the upstream that owns the idempotency key is not available")};
    }
  }
  return links_.choose(query, request.excluded_upstreams, clock_.now());
}

void RequestRunner::send(EntryRequest& request) {
  const Route route = choose_route(request);
  if (const auto* no_route = std::get_if<NoRoute>(&route)) {
    // The last refusal by an upstream is more specific than the lack of further upstreams.
    retry_later_or_fail(request, request.last_refusal.value_or(no_route->verdict));
    return;
  }
  send_to(request, std::get<SelectedRoute>(route).upstream);
}

void RequestRunner::send_to(EntryRequest& request, UpstreamId upstream) {
  PeerLink* const link = links_.link(upstream);
  if (link == nullptr || !link->is_up()) {
    handle_refusal(
        request, upstream,
        Verdict::not_run(Reason::kUpstreamUnreachable, "no connection to the upstream's sidecar",
                         options_.min_retry_delay));
    return;
  }
  request.attempt = request.attempts.start();
  request.assembler.switch_to_attempt(request.attempt);
  request.phase = Submitting{upstream, clock_.now()};
  links_.request_opened(upstream);
  auto call = link->sidecar().submitRequest();
  fill_request(call.initRequest(), request);
  call.setSink(kj::heap<AnswerSink>(self_, request.id, request.attempt));
  loop_.add_background(call.send().then(
      [self = self_, id = request.id, attempt = request.attempt,
       upstream](capnp::Response<wire::Sidecar::SubmitResults>&& response) {
        if (*self != nullptr) {
          (*self)->handle_submit_result(id, attempt, upstream, response);
        }
      },
      [self = self_, id = request.id, attempt = request.attempt](kj::Exception&&) {
        if (*self != nullptr) {
          (*self)->handle_failed_call(id, attempt);
        }
      }));
}

void RequestRunner::fill_request(wire::Request::Builder out, const EntryRequest& request) const {
  const RequestSpec& spec = request.spec;
  out.setRequestId(request.id.value);
  out.setEntryIncarnation(incarnation_);
  out.setAttempt(request.attempt);
  out.setKind(spec.kind);
  out.setAccount(spec.account);
  out.setServiceClass(spec.service_class);
  out.setModel(spec.target_name);
  out.setWeightVersion(spec.weight_version);
  out.setBody(as_bytes(spec.body));
  out.setMaxTokens(spec.max_tokens);
  out.setPriority(spec.priority);
  out.setIdempotencyKey(spec.idempotency_key);
  out.setMethod(spec.method);
  out.setPath(spec.path);
  out.setContentType(spec.content_type);
  const Duration remaining = std::max(Duration{1}, spec.deadline - clock_.now());
  out.setDeadlineMs(static_cast<std::uint32_t>(remaining.ms));
  if (is_prompt(request)) {
    out.setResumeText(request.text);
    out.setFirstIndex(request.assembler.next_index());
  }
}

void RequestRunner::handle_submit_result(RequestId id,
                                         std::uint32_t attempt,
                                         UpstreamId upstream,
                                         wire::Sidecar::SubmitResults::Reader result) {
  if (result.hasHint()) {
    links_.apply_hint(upstream, result.getHint(), clock_.now());
  }
  EntryRequest* const request = find(id, attempt);
  if (request == nullptr || !std::holds_alternative<Submitting>(request->phase)) {
    return;
  }
  if (result.getAccepted()) {
    request->phase = Running{upstream};
    return;
  }
  release_upstream(*request);
  handle_attempt_verdict(*request, upstream, read_verdict(result.getVerdict()));
}

void RequestRunner::handle_attempt_verdict(EntryRequest& request,
                                           UpstreamId upstream,
                                           const Verdict& verdict) {
  if (verdict.run_state() == RunState::kNotRun) {
    request.attempts.mark_not_run(request.attempt);
  }
  handle_refusal(request, upstream, verdict);
}

void RequestRunner::handle_refusal(EntryRequest& request,
                                   UpstreamId upstream,
                                   const Verdict& verdict) {
  request.last_refusal = verdict;
  request.excluded_upstreams.push_back(upstream);
  metrics_.count("bluebellstep_refusals_by_upstreams_total",
                 std::string(to_string(verdict.reason())));
  if (verdict.run_state() != RunState::kNotRun || !is_transient(verdict.reason())) {
    fail(request, verdict);
    return;
  }
  if (is_order(request)) {
    retry_later_or_fail(request, verdict);
    return;
  }
  if (!retry_budget_.try_acquire_retry()) {
    fail(request, verdict);
    return;
  }
  send(request);
}

void RequestRunner::retry_later_or_fail(EntryRequest& request, const Verdict& verdict) {
  const Instant now = clock_.now();
  // The random delay prevents many entry instances from retrying at the same time.
  const Duration min_delay =
      std::max(options_.min_retry_delay, verdict.retry_after().value_or(Duration{0}));
  const Duration delay{min_delay.ms + static_cast<std::int64_t>(random_.below(
                                          static_cast<std::uint64_t>(min_delay.ms) + 1))};
  const bool before_deadline =
      now + delay <
      std::min(request.spec.arrived_at + options_.max_admission_wait, request.spec.deadline);
  const bool is_retryable =
      verdict.run_state() == RunState::kNotRun && is_transient(verdict.reason());
  if (!is_retryable || !before_deadline || !retry_budget_.try_acquire_retry()) {
    fail(request, verdict);
    return;
  }
  request.excluded_upstreams.clear();
  request.phase = WaitingToRetry{now + delay};
}

void RequestRunner::handle_failed_call(RequestId id, std::uint32_t attempt) {
  EntryRequest* const request = find(id, attempt);
  if (request == nullptr) {
    return;
  }
  const auto upstream = upstream_of(*request);
  if (upstream.has_value() && !std::holds_alternative<Detached>(request->phase)) {
    handle_lost_upstream(*request, *upstream);
  }
}

void RequestRunner::handle_lost_upstream(EntryRequest& request, UpstreamId upstream) {
  const bool was_running = std::holds_alternative<Running>(request.phase);
  if (is_order(request) || (is_prompt(request) && was_running)) {
    request.phase = Detached{upstream, clock_.now()};
    return;
  }
  retry_elsewhere(request, upstream);
}

void RequestRunner::retry_elsewhere(EntryRequest& request, UpstreamId failed_upstream) {
  release_upstream(request);
  request.excluded_upstreams.push_back(failed_upstream);
  metrics_.count("bluebellstep_requests_moved_total", is_prompt(request) ? "prompt" : "call");
  // A stream that was already started is continued even if the retry budget is exhausted.
  if (!retry_budget_.try_acquire_retry() && !request.response_stream_started) {
    fail(request, Verdict::may_have_run(Reason::kConnectionLost,
                                        "the connection to the upstream's sidecar was lost"));
    return;
  }
  send(request);
}

void RequestRunner::resume(EntryRequest& request, UpstreamId upstream) {
  PeerLink* const link = links_.link(upstream);
  assert(link != nullptr && link->is_up());
  request.phase = Running{upstream};
  auto call = link->sidecar().resumeRequest();
  call.setEntryIncarnation(incarnation_);
  call.setRequestId(request.id.value);
  call.setAttempt(request.attempt);
  call.setNextIndex(request.assembler.next_index());
  call.setSink(kj::heap<AnswerSink>(self_, request.id, request.attempt));
  metrics_.count("bluebellstep_requests_moved_total", "resumed");
  loop_.add_background(call.send().then(
      [self = self_, id = request.id,
       attempt = request.attempt](capnp::Response<wire::Sidecar::ResumeResults>&& response) {
        EntryRequest* const found = *self == nullptr ? nullptr : (*self)->find(id, attempt);
        if (found != nullptr && !response.getKnown()) {
          (*self)->release_upstream(*found);
          (*self)->send(*found);
        }
      },
      [self = self_, id = request.id, attempt = request.attempt](kj::Exception&&) {
        if (*self != nullptr) {
          (*self)->handle_failed_call(id, attempt);
        }
      }));
}

void RequestRunner::on_link_up(UpstreamId upstream) {
  for (const RequestId id : requests_at(upstream)) {
    EntryRequest& request = requests_.at(id);
    if (!std::holds_alternative<Detached>(request.phase)) {
      continue;
    }
    if (is_order(request)) {
      // The ledger of the owner detects the key, so the order does not run twice.
      release_upstream(request);
      send_to(request, upstream);
    } else {
      resume(request, upstream);
    }
  }
}

void RequestRunner::on_link_down(UpstreamId upstream) {
  for (const RequestId id : requests_at(upstream)) {
    const auto found = requests_.find(id);
    if (found != requests_.end() && !std::holds_alternative<Detached>(found->second.phase)) {
      handle_lost_upstream(found->second, upstream);
    }
  }
}

std::vector<RequestId> RequestRunner::requests_at(UpstreamId upstream) const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) {
    if (upstream_of(request) == upstream) {
      ids.push_back(id);
    }
  }
  return ids;
}

void RequestRunner::tick() {
  const Instant now = clock_.now();
  std::vector<RequestId> due;
  for (const auto& [id, request] : requests_) {
    if (is_due(request, now)) {
      due.push_back(id);
    }
  }
  for (const RequestId id : due) {
    // Handling a request does not remove others; the lookup is a cheap safeguard.
    if (const auto found = requests_.find(id); found != requests_.end()) {
      handle_due(found->second, now);
    }
  }
}

bool RequestRunner::is_due(const EntryRequest& request, Instant now) const {
  if (now >= request.spec.deadline) {
    return true;
  }
  return std::visit(Overloaded{[&](const WaitingToRetry& waiting) { return now >= waiting.at; },
                               [&](const Submitting& submitting) {
                                 return now - submitting.since > options_.submit_timeout;
                               },
                               [](const Running&) { return false; },
                               [&](const Detached& detached) {
                                 return now - detached.since > options_.reconnect_timeout;
                               }},
                    request.phase);
}

void RequestRunner::handle_due(EntryRequest& request, Instant now) {
  if (now >= request.spec.deadline) {
    const bool never_sent = request.attempt == 0 || !upstream_of(request).has_value();
    fail(request, never_sent
                      ? Verdict::not_run(Reason::kDeadlineExceeded,
                                         "no upstream accepted the request before its deadline")
                      : Verdict::may_have_run(Reason::kDeadlineExceeded,
                                              "the answer was not complete before the deadline"));
    return;
  }
  const auto upstream = upstream_of(request);
  if (!upstream.has_value()) {
    send(request);
  } else if (std::holds_alternative<Submitting>(request.phase)) {
    handle_lost_upstream(request, *upstream);
  } else if (is_order(request)) {
    // An order may only run at the owner of its key, so it is sent there again.
    release_upstream(request);
    send_to(request, *upstream);
  } else {
    retry_elsewhere(request, *upstream);
  }
}

std::uint64_t RequestRunner::handle_events(RequestId id,
                                           std::uint32_t attempt,
                                           std::uint64_t first_index,
                                           capnp::List<wire::Event>::Reader events) {
  EntryRequest* const request = find(id, attempt);
  KJ_REQUIRE(request != nullptr, "the request has ended");
  for (unsigned i = 0; i < events.size(); ++i) {
    const auto chars = events[i].getText().asChars();
    const PushResult result = request->assembler.push(
        {id, attempt}, first_index + i, {std::string(chars.begin(), chars.size()), 1});
    KJ_REQUIRE(result != PushResult::kBufferFull && result != PushResult::kBeyondEnd,
               "the event is beyond the end of the answer, or too many events arrived early");
  }
  std::string out;
  for (const StreamEvent& event : request->assembler.take_ready()) {
    request->text += event.text;
    if (request->spec.stream) {
      request->writer.append_event(out, event.text);
    }
  }
  record_first_token(*request);
  if (!out.empty()) {
    start_response_stream(*request);
    server_.write(request->spec.exchange, std::move(out));
  }
  return request->assembler.next_index();
}

void RequestRunner::record_first_token(EntryRequest& request) {
  if (request.first_token_at.has_value() || request.assembler.next_index() == 0) {
    return;
  }
  request.first_token_at = clock_.now();
  metrics_.first_token(request.spec.account, request.spec.service_class,
                       *request.first_token_at - request.spec.arrived_at);
}

void RequestRunner::start_response_stream(EntryRequest& request) {
  if (!request.response_stream_started) {
    request.response_stream_started = true;
    server_.start_stream(request.spec.exchange, 200,
                         {{"content-type", "text/event-stream"}, {"cache-control", "no-cache"}});
  }
}

void RequestRunner::handle_completion(RequestId id,
                                      std::uint32_t attempt,
                                      wire::Completion::Reader completion) {
  EntryRequest* const request = find(id, attempt);
  if (request == nullptr) {
    return;
  }
  if (completion.isVerdict()) {
    handle_failed_run(*request, read_verdict(completion.getVerdict()));
    return;
  }
  const auto answer = completion.getAnswer();
  const bool is_consistent = request->assembler.finish({id, attempt}, answer.getTotalEvents());
  if (!is_consistent || !request->assembler.complete()) {
    fail(*request, Verdict::run(Reason::kInternal,
                                "the answer is incomplete or its number of events is wrong"));
    return;
  }
  metrics_.request_done(request->spec.account, request->spec.service_class,
                        clock_.now() - request->spec.arrived_at);
  if (is_prompt(*request)) {
    finish_prompt(*request, answer);
  } else {
    finish_plain(*request, answer);
  }
  erase(*request);
}

void RequestRunner::handle_failed_run(EntryRequest& request, const Verdict& verdict) {
  const auto upstream = upstream_of(request);
  const bool is_interrupted_run =
      verdict.run_state() == RunState::kMayHaveRun &&
      (verdict.reason() == Reason::kUpstreamFailed || verdict.reason() == Reason::kConnectionLost);
  if (!is_order(request) && is_interrupted_run && upstream.has_value()) {
    // Prompts and idempotent calls may run more than once. A prompt continues after the last token
    // received.
    retry_elsewhere(request, *upstream);
    return;
  }
  release_upstream(request);
  if (upstream.has_value()) {
    handle_attempt_verdict(request, *upstream, verdict);
  } else {
    fail(request, verdict);
  }
}

void RequestRunner::finish_prompt(EntryRequest& request, wire::Completion::Answer::Reader answer) {
  const CompletionUsage usage{answer.getPromptTokens(), request.assembler.next_index(),
                              answer.getReusedBlocks(), answer.getFetchedBlocks(),
                              answer.getRecomputedBlocks()};
  metrics_.count("bluebellstep_blocks_total", "reused", usage.reused_blocks);
  metrics_.count("bluebellstep_blocks_total", "fetched", usage.fetched_blocks);
  metrics_.count("bluebellstep_blocks_total", "recomputed", usage.recomputed_blocks);
  const std::string_view finish_reason(answer.getFinishReason().cStr());
  if (!request.spec.stream) {
    server_.respond(request.spec.exchange, 200, {{"content-type", "application/json"}},
                    request.writer.document(request.text, finish_reason, usage));
    return;
  }
  start_response_stream(request);
  std::string out;
  request.writer.append_end(out, finish_reason, usage);
  server_.write(request.spec.exchange, std::move(out));
  server_.end(request.spec.exchange);
}

void RequestRunner::finish_plain(EntryRequest& request, wire::Completion::Answer::Reader answer) {
  std::vector<HttpHeader> headers = {{"content-type", answer.getContentType().cStr()},
                                     {"x-run-state", "run"}};
  if (is_order(request)) {
    headers.push_back({"x-replayed", answer.getReplayed() ? "true" : "false"});
  }
  server_.respond(request.spec.exchange, answer.getStatus(), std::move(headers),
                  std::move(request.text));
}

void RequestRunner::fail(EntryRequest& request, const Verdict& verdict) {
  const Verdict final_verdict = request.attempts.verdict_for_caller(verdict);
  metrics_.request_refused(request.spec.account, request.spec.service_class, final_verdict);
  LogEvent("request_failed", LogEvent::Severity::kWarning)
      .field("request", request.id.value)
      .field("account", request.spec.account)
      .field("run_state", to_string(final_verdict.run_state()))
      .field("reason", to_string(final_verdict.reason()))
      .field("attempts", request.attempt)
      .field("detail", final_verdict.detail());
  if (request.response_stream_started) {
    server_.write(request.spec.exchange, verdict_event(final_verdict));
    server_.end(request.spec.exchange);
  } else {
    respond_verdict(server_, request.spec.exchange, final_verdict);
  }
  cancel_at_upstream(request);
  erase(request);
}

void RequestRunner::on_caller_disconnected(ExchangeId exchange) {
  const auto found = by_exchange_.find(exchange);
  if (found == by_exchange_.end()) {
    return;
  }
  EntryRequest& request = requests_.at(found->second);
  metrics_.count("bluebellstep_callers_left_total", is_order(request) ? "order" : "other");
  cancel_at_upstream(request);
  erase(request);
}

void RequestRunner::cancel_at_upstream(EntryRequest& request) {
  const auto upstream = upstream_of(request);
  PeerLink* const link = upstream.has_value() ? links_.link(*upstream) : nullptr;
  if (is_order(request) || link == nullptr || !link->is_up()) {
    return;
  }
  auto call = link->sidecar().cancelRequest();
  call.setEntryIncarnation(incarnation_);
  call.setRequestId(request.id.value);
  loop_.add_background(call.send().ignoreResult());
}

void RequestRunner::release_upstream(EntryRequest& request) {
  if (const auto upstream = upstream_of(request)) {
    links_.request_closed(*upstream);
    request.phase = WaitingToRetry{clock_.now()};
  }
}

void RequestRunner::erase(EntryRequest& request) {
  release_upstream(request);
  by_exchange_.erase(request.spec.exchange);
  requests_.erase(request.id);
}

void RequestRunner::abort_all(const Verdict& verdict) {
  while (!requests_.empty()) {
    fail(requests_.begin()->second, verdict);
  }
}

EntryRequest* RequestRunner::find(RequestId id, std::uint32_t attempt) {
  const auto found = requests_.find(id);
  return found == requests_.end() || found->second.attempt != attempt ? nullptr : &found->second;
}

}  // namespace bluebellstep
