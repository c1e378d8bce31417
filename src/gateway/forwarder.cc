// Requests, their sends, and their ends.

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

// Zones of a region are a few ms apart, so a connection that takes longer leads nowhere.
constexpr Duration kConnectLimit{300};
// A repeatable request without an answer goes elsewhere after this multiple of its latency goal.
constexpr std::int64_t kPatienceInGoals = 3;
constexpr Duration kLeastPatience{250};
// Callers abandon a stream after a gap of two seconds.
constexpr Duration kStreamGapLimit{1500};
// A send with less time left cannot be answered in time.
constexpr Duration kLeastTimeLeft{10};
// The upstream stops at the deadline it is given; this is for the way back.
constexpr Duration kReturnTime{4};
// Attempts that reach no upstream cost a few ms each; a third of a pool may be down at once.
constexpr std::uint32_t kMaxNotReached = 8;
constexpr std::uint32_t kMaxRejected = 3;
constexpr std::size_t kMaxBufferedBody = 4u << 20;
// A caller that leaves this much of a stream unread is disconnected.
constexpr std::size_t kMaxUnsent = 1u << 20;
constexpr Duration kRetryNoConfig{500};

constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string chunk(std::string_view content) {
  std::array<char, 20> size;
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", content.size());
  std::string out(size.data(), static_cast<std::size_t>(length));
  out.append(content).append("\r\n");
  return out;
}

const WeightedService& choose_target(const RouteRule& route, std::string_view request_id) {
  std::uint64_t total = 0;
  for (const WeightedService& target : route.targets) {
    total += target.weight;
  }
  std::uint64_t at = total == 0 ? 0 : hash64(request_id) % total;
  for (const WeightedService& target : route.targets) {
    if (at < target.weight) {
      return target;
    }
    at -= target.weight;
  }
  return route.targets.front();
}

}  // namespace

Forwarder::Forwarder(HttpLoop& loop,
                     UpstreamPool& pool,
                     Metrics& metrics,
                     std::string zone,
                     RepeatLimits repeat_limits)
    : loop_(loop),
      pool_(pool),
      metrics_(metrics),
      zone_(std::move(zone)),
      repeat_limits_(repeat_limits),
      connections_(loop, [](const MessageHead& head) {
        return platform::decode_upstream_reply(head).request_id;
      }) {}

Forwarder::~Forwarder() = default;

Forwarder::Request* Forwarder::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

RequestId Forwarder::start(CallerMessage message, CallerSink sink) {
  const RequestId id{next_id_++};
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.id = id;
  request.sink = std::move(sink);
  request.head = std::move(message.head);
  request.body = std::move(message.body);
  request.caller = platform::decode_caller_head(*request.head);
  request.config = config_;
  request.arrived = clock_.now();
  request.last_progress = request.arrived;
  requests_.emplace(id, std::move(owned));
  if (request.config == nullptr) {
    refuse(request, "no_configuration", kRetryNoConfig);
    return id;
  }
  request.route = request.config->find_route(request.caller.host, request.caller.path);
  if (request.route == nullptr) {
    reply_own(request, 404, "no_route", std::nullopt);
    return id;
  }
  if (request.config->has_accounts() && !request.route->allows_anonymous) {
    request.account = request.config->find_account(request.caller.key);
    if (request.account == nullptr) {
      reply_own(request, 401, "unknown_key", std::nullopt);
      return id;
    }
  }
  const WeightedService& target = choose_target(*request.route, request.caller.request_id);
  request.service = request.config->find_service(target.service);
  if (request.service == nullptr) {
    refuse(request, "no_service", kRetryNoConfig);
    return id;
  }
  const Duration patience =
      std::min(request.route->timeout, request.caller.time_left.value_or(request.route->timeout));
  request.give_up_at = request.arrived + patience;
  allowance(request).request(repeat_limits_, request.arrived);
  dispatch(request);
  return id;
}

RepeatAllowance& Forwarder::allowance(const Request& request) {
  return allowances_[request.service->name];
}

Duration Forwarder::time_left(const Request& request, Instant now) const {
  return request.give_up_at - now - kReturnTime;
}

PickQuery Forwarder::query_for(const Request& request) const {
  return PickQuery{.service = request.service,
                   .zone = zone_,
                   .model = request.caller.model,
                   .account = request.account,
                   .prompt = request.caller.prompt,
                   .prompt_tokens = request.caller.prompt_tokens,
                   .body_bytes = request.body.size(),
                   .may_retry = request.route->may_retry(),
                   .spread = hash64(request.caller.request_id),
                   .excluded = request.tried};
}

void Forwarder::dispatch(Request& request) {
  const Instant now = clock_.now();
  if (time_left(request, now) < kLeastTimeLeft) {
    fail(request, request.runs > 0, "deadline");
    return;
  }
  while (true) {
    const PickResult result = pool_.pick(query_for(request), now);
    if (const auto* none = std::get_if<NonePicked>(&result)) {
      if (request.head_sent || request.runs > 0) {
        fail(request, request.runs > 0, none->reason);
      } else {
        refuse(request, none->reason, none->retry_after);
      }
      return;
    }
    const Picked& picked = std::get<Picked>(result);
    if (open_connection(request, picked)) {
      break;
    }
    request.tried.push_back(picked.upstream_id);
    request.last_problem = "connections_in_use";
  }
  transmit(request);
}

bool Forwarder::open_connection(Request& request, const Picked& picked) {
  const Instant now = clock_.now();
  ConnectionPool::Taken taken = connections_.take(picked.upstream_id, picked.endpoint,
                                                  pool_.connection_share(*request.service), now);
  if (taken.connection == nullptr) {
    return false;
  }
  if (!taken.reused) {
    metrics_.count("bluebellstep_gateway_connections_total", "opened");
  }
  request.send.emplace(Send{.picked = picked,
                            .connection = std::move(taken.connection),
                            .began = now,
                            .reused = taken.reused});
  return true;
}

void Forwarder::transmit(Request& request) {
  Send& send = *request.send;
  const Instant now = clock_.now();
  const std::int64_t priority = request.account != nullptr && request.account->priority
                                    ? *request.account->priority
                                    : request.route->priority;
  constexpr std::int64_t kLeastUrgent = 9;
  const UpstreamFields fields{
      .upstream_id = send.picked.upstream_id,
      .account = request.account != nullptr ? std::string_view(request.account->name) : "",
      .time_left = time_left(request, now),
      .cache_scope = send.picked.cache_scope,
      .weight_version = request.service->engine ? send.picked.weight_version : std::nullopt,
      .priority =
          request.service->engine
              ? std::optional(static_cast<int>(std::clamp<std::int64_t>(priority, 0, kLeastUrgent)))
              : std::nullopt,
      .resume_after = request.head_sent ? request.events.last_id() : std::nullopt,
      .cache_fetch = send.picked.cache.fetch,
      .cache_save = send.picked.cache.save,
      .cache_fetch_until_ms = send.picked.cache.fetch_until_ms};
  const std::string head =
      platform::encode_upstream_head(*request.head, fields, request.body.size());
  ++request.runs;
  ++request.sends;
  request.upstream = send.picked.upstream_id;
  request.cache_use = {.uncached_tokens = send.picked.uncached_tokens,
                       .held_tokens = send.picked.held_tokens,
                       .fetched_tokens = send.picked.cache.fetched_tokens,
                       .saves = send.picked.cache.saves()};
  request.last_progress = now;
  pool_.sent(send.picked, query_for(request), now);
  const RequestId id = request.id;
  send.connection->call(
      head, request.body, request.caller.method, request.caller.request_id,
      {.on_head = [this, id](const MessageHead& reply) { on_head(id, reply); },
       .on_content = [this, id](std::string_view content) { on_content(id, content); },
       .on_end = [this, id](CallEnd end, std::string_view why) { on_end(id, end, why); }});
  reschedule(request);
}

void Forwarder::on_head(RequestId id, const MessageHead& head) {
  Request* request = find(id);
  if (request == nullptr || !request->send) {
    return;
  }
  Send& send = *request->send;
  const Instant now = clock_.now();
  send.head = std::make_unique<MessageHead>();
  std::size_t used = 0;
  parse_response_head(head.text, *send.head, used);
  send.reply = platform::decode_upstream_reply(*send.head);
  send.began_answer = true;
  request->last_progress = now;
  if (send.reply.load) {
    pool_.reported_load(send.picked.upstream_id, *send.reply.load, now);
  }
  if (send.reply.weight_version) {
    pool_.reported_version(send.picked.upstream_id, request->caller.model,
                           *send.reply.weight_version);
  }
  if (send.reply.close) {
    send.connection->set_unusable();
  }
  connections_.set_keep_alive(send.picked.upstream_id,
                              send.reply.keep_alive.value_or(ConnectionPool::kDefaultKeepAlive));
  const bool success = send.reply.status >= 200 && send.reply.status < 300;
  if ((success && !send.reply.sealed) || send.reply.encoded) {
    send_failed(*request, SendEnd::kFailed, true, "not_the_upstreams_answer");
    return;
  }
  send.streaming = success && request->route->kind == RequestKind::kStream;
}

void Forwarder::on_content(RequestId id, std::string_view content) {
  Request* request = find(id);
  if (request == nullptr || !request->send) {
    return;
  }
  request->last_progress = clock_.now();
  if (request->send->streaming) {
    forward_events(*request, content);
    return;
  }
  request->send->body += content;
  if (request->send->body.size() > kMaxBufferedBody) {
    send_failed(*request, SendEnd::kFailed, true, "answer_too_large");
  }
}

void Forwarder::forward_events(Request& request, std::string_view content) {
  const std::string events = request.events.feed(content);
  if (events.empty()) {
    return;
  }
  std::string out;
  note_prompt_read(*request.send);
  if (!request.first_event_at) {
    request.first_event_at = clock_.now();
    const Send& send = *request.send;
    pool_.answer_began(send.picked, *request.first_event_at - send.began, *request.first_event_at);
    if (request.account != nullptr) {
      metrics_.first_token(request.account->name, request.route->name,
                           *request.first_event_at - request.arrived);
    }
  }
  if (!request.head_sent) {
    request.head_sent = true;
    request.chunked = request.head->minor_version > 0;
    out = platform::encode_caller_reply(
        *request.send->head, {.length = std::nullopt,
                              .has_body = request.chunked,
                              .close = !request.chunked || stopping_ || request.caller.close,
                              .keep_alive = request.config->limits.idle_timeout});
  }
  out += request.chunked ? chunk(events) : events;
  request.sink.send(out);
  if (request.sink.unsent() > kMaxUnsent) {
    end_send(request, SendEnd::kDropped, false);
    request.sink.abort();
    finish(request, "caller_too_slow", 0);
    return;
  }
  reschedule(request);
}

void Forwarder::on_end(RequestId id, CallEnd end, std::string_view why) {
  Request* request = find(id);
  if (request == nullptr || !request->send) {
    return;
  }
  switch (end) {
    case CallEnd::kComplete:
      on_complete(*request);
      return;
    case CallEnd::kBroken:
      send_failed(*request, SendEnd::kFailed, true, why);
      return;
    case CallEnd::kNotReached:
      send_failed(*request, SendEnd::kNotReached, false, why);
      return;
  }
}

void Forwarder::on_complete(Request& request) {
  Send& send = *request.send;
  if (send.streaming) {
    on_stream_complete(request);
    return;
  }
  const int status = send.reply.status;
  if (send.reply.not_run) {
    if (status == 421) {
      const bool replaced =
          !send.reply.upstream_id.empty() && send.reply.upstream_id != send.picked.upstream_id;
      pool_.misdirected(send.picked.upstream_id, replaced, clock_.now());
    }
    send_failed(request, SendEnd::kRejected, false,
                status == 421 ? "misdirected" : "upstream_refused");
    return;
  }
  const bool server_error = status >= 500;
  if (request.head_sent ||
      (server_error && request.route->may_retry() && request.runs < request.route->max_attempts)) {
    send_failed(request, SendEnd::kError, true, "upstream_error");
    return;
  }
  const bool claims_not_run = status == 429 || status == 503 || status == 408;
  if (claims_not_run) {
    // To callers these say that the request did not run, which the upstream did not say.
    send_failed(request, SendEnd::kFailed, true, "upstream_refused_unclearly");
    return;
  }
  const bool close = stopping_ || request.caller.close;
  std::string out = platform::encode_caller_reply(
      *send.head, {.length = send.body.size(),
                   .has_body = request.caller.method != "HEAD" && status != 204 && status != 304,
                   .close = close,
                   .keep_alive = request.config->limits.idle_timeout});
  out += send.body;
  end_send(request, server_error ? SendEnd::kError : SendEnd::kAnswered, true);
  request.sink.send(out);
  request.sink.done(close);
  finish(request, server_error ? "upstream_error" : "answered", status);
}

void Forwarder::on_stream_complete(Request& request) {
  const bool whole = !request.events.has_partial() && request.head_sent;
  if (!whole) {
    send_failed(request, SendEnd::kFailed, true, "stream_cut");
    return;
  }
  end_send(request, SendEnd::kAnswered, true);
  const bool close = !request.chunked || stopping_ || request.caller.close;
  if (request.chunked) {
    request.sink.send(kLastChunk);
  }
  request.sink.done(close);
  finish(request, "answered", 200);
}

// Ends the current send and sends again where that is allowed.
void Forwarder::send_failed(Request& request,
                            SendEnd end,
                            bool may_have_run,
                            std::string_view why) {
  const std::string upstream = request.send->picked.upstream_id;
  const bool reached = end != SendEnd::kNotReached;
  LogEvent("send_failed")
      .field("request", request.caller.request_id)
      .field("upstream", upstream)
      .field("why", why)
      .field("reused_connection", request.send->reused)
      .field("may_have_run", may_have_run)
      .field("after_ms", (clock_.now() - request.send->began).ms);
  const bool whole_answer =
      end == SendEnd::kRejected || end == SendEnd::kAnswered || end == SendEnd::kError;
  end_send(request, end, whole_answer);
  request.tried.push_back(upstream);
  request.last_problem = why;
  request.events.drop_partial();
  if (!may_have_run) {
    --request.runs;
  }
  if (!reached) {
    --request.sends;
    ++request.not_reached;
  }
  if (may_send_again(request, may_have_run)) {
    metrics_.count("bluebellstep_gateway_repeats_total", std::string(why));
    dispatch(request);
    return;
  }
  fail(request, request.runs > 0, why);
}

bool Forwarder::may_send_again(Request& request, bool may_have_run) {
  if (may_have_run && !request.route->may_retry()) {
    return false;
  }
  // A stream without event ids cannot be continued.
  if (request.head_sent && (!request.route->resumable || !request.events.last_id())) {
    return false;
  }
  if (request.runs >= std::max<std::uint32_t>(1, request.route->max_attempts) ||
      request.not_reached > kMaxNotReached || request.sends >= kMaxRejected + request.runs) {
    return false;
  }
  if (time_left(request, clock_.now()) < kLeastTimeLeft) {
    return false;
  }
  // A send that never reached an upstream is no repeat.
  return request.sends == 0 ||
         allowance(request).take(repeat_limits_, pool_.gateways(), clock_.now());
}

// Once for each send: a stream that is continued by another upstream is read there again.
void Forwarder::note_prompt_read(Send& send) {
  if (!send.prompt_read) {
    send.prompt_read = true;
    pool_.prompt_read(send.picked);
  }
}

void Forwarder::end_send(Request& request, SendEnd end, bool keep) {
  Send send = std::move(*request.send);
  request.send.reset();
  const Instant now = clock_.now();
  note_prompt_read(send);
  pool_.finished(send.picked.upstream_id, request.caller.prompt_tokens, end, now);
  connections_.give_back(send.picked.upstream_id, std::move(send.connection), keep, now);
}

void Forwarder::caller_left(RequestId id) {
  Request* request = find(id);
  if (request == nullptr) {
    return;
  }
  if (request->send) {
    end_send(*request, SendEnd::kDropped, false);
  }
  finish(*request, "caller_left", 0);
}

Instant Forwarder::next_due(const Request& request) const {
  Instant due = request.give_up_at;
  if (!request.send) {
    return due;
  }
  const Send& send = *request.send;
  if (!send.connection->established()) {
    due = std::min(due, send.began + kConnectLimit);
  } else if (request.route->may_retry()) {
    const Duration patience =
        request.route->kind == RequestKind::kStream
            ? kStreamGapLimit
            : std::max(kLeastPatience, request.route->latency_goal * kPatienceInGoals);
    due = std::min(due, std::max(send.began, request.last_progress) + patience);
  }
  return due;
}

// Acts on a request whose time has come.
void Forwarder::check(Request& request) {
  const Instant now = clock_.now();
  if (now >= request.give_up_at) {
    if (!request.send) {
      fail(request, request.runs > 0, "timeout");
      return;
    }
    const bool established = request.send->connection->established();
    if (!established) {
      --request.runs;
    }
    end_send(request, established ? SendEnd::kFailed : SendEnd::kNotReached, false);
    fail(request, request.runs > 0, "timeout");
    return;
  }
  if (!request.send || now < next_due(request)) {
    reschedule(request);
    return;
  }
  if (!request.send->connection->established()) {
    send_failed(request, SendEnd::kNotReached, false, "connect_timeout");
    return;
  }
  if (request.runs < request.route->max_attempts &&
      allowance(request).available(repeat_limits_, pool_.gateways(), now)) {
    send_failed(request, SendEnd::kFailed, true, "upstream_silent");
    return;
  }
  // Nowhere else to go: the answer may still come.
  request.last_progress = now;
  reschedule(request);
}

void Forwarder::reschedule(Request& request) {
  const Instant due = next_due(request);
  // An entry that is too early only leads to one more check.
  if (request.due && *request.due <= due) {
    return;
  }
  if (request.due) {
    due_.erase({*request.due, request.id});
  }
  request.due = due;
  due_.emplace(due, request.id);
  arm();
}

void Forwarder::arm() {
  if (due_.empty() || (armed_for_ && *armed_for_ <= due_.begin()->first)) {
    return;
  }
  armed_for_ = due_.begin()->first;
  const Duration delay = std::max(Duration{0}, *armed_for_ - clock_.now());
  loop_.post_after(delay, [this, alive = std::weak_ptr<bool>(alive_), at = *armed_for_] {
    if (alive.expired() || armed_for_ != at) {
      return;
    }
    armed_for_.reset();
    run_due();
    arm();
  });
}

void Forwarder::run_due() {
  const Instant now = clock_.now();
  while (!due_.empty() && due_.begin()->first <= now) {
    const RequestId id = due_.begin()->second;
    due_.erase(due_.begin());
    if (Request* request = find(id); request != nullptr) {
      request->due.reset();
      check(*request);
    }
  }
}

}  // namespace bluebellstep
