// Claims, dispatches and finishes calls of the plain service.

#include "sidecar/plain_runner.h"

#include <cassert>

#include "base/hash.h"
#include "base/log_event.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

constexpr Duration kRefusedRetryAfter = {100};

std::pair<std::uint32_t, std::uint32_t> waiters_key(ClaimId claim) {
  return {claim.slot, claim.generation};
}

std::uint64_t request_hash(const RunSpec& spec) {
  return combine_hashes(combine_hashes(hash64(spec.method), hash64(spec.path)), hash64(spec.body));
}

AnswerSummary summary_of(const AnswerView& answer, bool replayed) {
  AnswerSummary summary;
  summary.status = static_cast<std::uint16_t>(answer.status);
  summary.content_type = answer.content_type;
  summary.replayed = replayed;
  return summary;
}

std::string content_type_of(const HttpClient::Response& response) {
  const auto found = find_header(response.headers, "content-type");
  return std::string(found.value_or("application/octet-stream"));
}

HttpCall service_call(const RunSpec& spec, const PlainRunnerOptions& options) {
  HttpCall call;
  call.endpoint = options.service;
  call.method = spec.method;
  call.path = spec.path;
  if (!spec.content_type.empty()) {
    call.headers.push_back({"content-type", spec.content_type});
  }
  if (!spec.idempotency_key.empty()) {
    call.headers.push_back({"idempotency-key", spec.idempotency_key});
  }
  call.body = spec.body;
  call.idle_timeout = options.response_timeout;
  call.own_connection = !spec.idempotency_key.empty();
  return call;
}

}  // namespace

PlainRunner::PlainRunner(RpcLoop& loop,
                         HttpClient& client,
                         PlatformClient& platform,
                         PlainRunnerOptions options,
                         Instant wall_now,
                         Listener listener)
    : loop_(loop),
      client_(client),
      platform_(platform),
      options_(std::move(options)),
      listener_(std::move(listener)),
      ledger_(options_.ledger, wall_now),
      self_(std::make_shared<PlainRunner*>(this)) {}

PlainRunner::~PlainRunner() {
  *self_ = nullptr;
}

std::variant<PlainRunner::OrderClaimResult, Verdict> PlainRunner::claim_order(Run& run) {
  const auto key = OrderKey::parse(run.spec.target, run.spec.account, run.spec.idempotency_key);
  if (!key.has_value()) {
    return Verdict::not_run(Reason::kBadRequest,
                            "the idempotency key must be 1 to 255 printable ASCII characters");
  }
  run.order.key = key;
  const std::uint64_t body_hash = request_hash(run.spec);
  ClaimDecision decision = ledger_.claim(*key, body_hash, clock_.wall());
  if (auto* refused = std::get_if<RefuseOrder>(&decision)) {
    return std::move(refused->verdict);
  }
  if (const auto* answered = std::get_if<ReplayAnswer>(&decision)) {
    replay(run, answered->answer);
    return OrderClaimResult::kAnswered;
  }
  if (const auto* joined = std::get_if<JoinClaim>(&decision)) {
    run.order.claim = joined->claim;
    run.phase = RunPhase::kJoined;
    waiters_[waiters_key(joined->claim)].push_back(run.id);
    return OrderClaimResult::kPending;
  }
  run.order.claim = std::get<ClaimAcquired>(decision).claim;
  run.order.holds_claim = true;
  waiters_[waiters_key(*run.order.claim)] = {run.id};
  if (key->creation_time().has_value()) {
    return OrderClaimResult::kAdmit;
  }
  start_opaque_claim(run, body_hash);
  return OrderClaimResult::kPending;
}

void PlainRunner::start_opaque_claim(Run& run, std::uint64_t body_hash) {
  run.phase = RunPhase::kClaiming;
  run.order.opaque_claim = std::make_shared<OpaqueClaim>(
      *run.order.key, OpaqueClaimant{options_.incarnation, next_nonce_++}, body_hash,
      clock_.now() + options_.claim_timeout);
  continue_opaque_claim(run.id, run.order.opaque_claim);
}

void PlainRunner::continue_opaque_claim(RequestId id, std::shared_ptr<OpaqueClaim> claim) {
  const OpaqueClaimStep& step = claim->next();
  if (std::holds_alternative<PlatformWrite>(step) || std::holds_alternative<PlatformRead>(step)) {
    make_platform_call(*claim, [this, id, claim] { continue_opaque_claim(id, claim); });
    return;
  }
  Run* const run = listener_.find_run(id);
  assert(run != nullptr && run->order.claim.has_value());
  const ClaimId held_claim = *run->order.claim;
  if (const auto* refused = std::get_if<RefuseOrder>(&step)) {
    fail_waiters(held_claim, refused->verdict, Outcome::kCancelled);
  } else if (const auto* replayed = std::get_if<OpaqueClaimReplay>(&step)) {
    deliver_answer(held_claim, replayed->answer, /*replayed_to_holder=*/true, Outcome::kCancelled);
  } else {
    listener_.on_claimed(*run);
  }
}

void PlainRunner::make_platform_call(OpaqueClaim& claim, std::function<void()> on_done) {
  const auto post_result = [this, self = self_, on_done = std::move(on_done)](auto take_result) {
    return [this, self, take_result, on_done](auto result) {
      loop_.post([self, take_result, on_done, result = std::move(result)] {
        if (*self != nullptr) {
          take_result(result);
          on_done();
        }
      });
    };
  };
  // `claim` remains valid because `on_done` shares its ownership.
  if (const auto* write = std::get_if<PlatformWrite>(&claim.next())) {
    platform_.write(write->key, write->expected, write->value,
                    post_result([this, &claim](const PlatformClient::WriteResult& result) {
                      claim.on_write(result, clock_.now());
                    }));
    return;
  }
  platform_.read(std::get<PlatformRead>(claim.next()).key,
                 post_result([this, &claim](const PlatformClient::ReadResult& result) {
                   claim.on_read(result, clock_.now());
                 }));
}

void PlainRunner::write_outcome_to_platform(std::shared_ptr<OpaqueClaim> claim) {
  const OpaqueClaimStep& step = claim->next();
  if (std::holds_alternative<PlatformWrite>(step) || std::holds_alternative<PlatformRead>(step)) {
    make_platform_call(*claim, [this, claim] { write_outcome_to_platform(claim); });
  }
}

void PlainRunner::start(Run& run) {
  if (run.order.holds_claim && !ledger_.mark_dispatched(*run.order.claim)) {
    refuse(run, Verdict::not_run(Reason::kInternal,
                                 "the claim on the idempotency key is no longer held"));
    return;
  }
  run.phase = RunPhase::kDispatched;
  run.call = client_.send(service_call(run.spec, options_),
                          [this, self = self_, id = run.id](HttpClient::Response response) {
                            loop_.post([self, id, response = std::move(response)]() mutable {
                              if (*self != nullptr) {
                                (*self)->handle_response(id, std::move(response));
                              }
                            });
                          });
}

void PlainRunner::handle_response(RequestId id, HttpClient::Response response) {
  Run* const run = listener_.find_run(id);
  if (run == nullptr || run->phase != RunPhase::kDispatched) {
    return;
  }
  run->call.reset();
  if (run->order.holds_claim) {
    handle_order_response(*run, std::move(response));
    return;
  }
  if (const auto* failed = std::get_if<HttpClient::Failed>(&response.outcome)) {
    listener_.on_finished(
        *run,
        failed->may_have_been_sent
            ? Verdict::may_have_run(Reason::kUpstreamFailed, failed->detail)
            : Verdict::not_run(Reason::kUpstreamUnreachable, failed->detail, kRefusedRetryAfter),
        Outcome::kConnectionFailed);
    return;
  }
  const std::string content_type = content_type_of(response);
  run->outbox.add(std::move(response.body));
  listener_.on_finished(*run, summary_of({response.status, content_type, {}}, false),
                        Outcome::kCompleted);
}

void PlainRunner::handle_order_response(Run& run, HttpClient::Response response) {
  const ClaimId claim = *run.order.claim;
  if (const auto* failed = std::get_if<HttpClient::Failed>(&response.outcome)) {
    if (!failed->may_have_been_sent && ledger_.abandon_unsent(claim)) {
      if (run.order.opaque_claim != nullptr) {
        run.order.opaque_claim->release(clock_.now() + options_.claim_timeout);
        write_outcome_to_platform(run.order.opaque_claim);
      }
      fail_waiters(
          claim, Verdict::not_run(Reason::kUpstreamUnreachable, failed->detail, kRefusedRetryAfter),
          Outcome::kConnectionFailed);
      return;
    }
    ledger_.mark_outcome_unknown(claim);
    fail_waiters(claim, Verdict::may_have_run(Reason::kUpstreamFailed, failed->detail),
                 Outcome::kConnectionFailed);
    return;
  }
  OrderAnswer answer{response.status, content_type_of(response), std::move(response.body)};
  if (run.order.opaque_claim != nullptr) {
    run.order.opaque_claim->record(answer, clock_.now() + options_.claim_timeout);
    write_outcome_to_platform(run.order.opaque_claim);
  }
  deliver_answer(claim, answer, /*replayed_to_holder=*/false, Outcome::kCompleted);
}

void PlainRunner::deliver_answer(ClaimId claim,
                                 const OrderAnswer& answer,
                                 bool replayed_to_holder,
                                 Outcome outcome) {
  ledger_.complete(claim, answer);
  finish_waiters(
      claim,
      [&](Run& run) -> RunResult {
        run.outbox.add(answer.body);
        const bool replayed = replayed_to_holder || !run.order.holds_claim;
        return summary_of({answer.status, answer.content_type, {}}, replayed);
      },
      outcome);
}

void PlainRunner::replay(Run& run, const AnswerView& answer) {
  run.outbox.add(std::string(answer.body));
  listener_.on_finished(run, summary_of(answer, /*replayed=*/true), Outcome::kCancelled);
}

void PlainRunner::finish_waiters(ClaimId claim, const ResultOf& result_of, Outcome outcome) {
  const auto found = waiters_.find(waiters_key(claim));
  if (found == waiters_.end()) {
    return;
  }
  const std::vector<RequestId> runs = std::move(found->second);
  waiters_.erase(found);
  for (const RequestId id : runs) {
    if (Run* const run = listener_.find_run(id)) {
      listener_.on_finished(*run, result_of(*run), outcome);
    }
  }
}

void PlainRunner::fail_waiters(ClaimId claim, const Verdict& verdict, Outcome outcome) {
  if (verdict.run_state() == RunState::kNotRun) {
    // Has no effect if `abandon_unsent` has already released the claim.
    ledger_.abandon_before_dispatch(claim);
  } else {
    ledger_.mark_outcome_unknown(claim);
  }
  finish_waiters(
      claim, [&verdict](Run&) -> RunResult { return verdict; }, outcome);
}

void PlainRunner::refuse(Run& run, const Verdict& verdict) {
  assert(verdict.run_state() == RunState::kNotRun);
  if (!run.order.holds_claim) {
    listener_.on_finished(run, verdict, Outcome::kCancelled);
    return;
  }
  if (run.order.opaque_claim != nullptr) {
    run.order.opaque_claim->release(clock_.now() + options_.claim_timeout);
    write_outcome_to_platform(run.order.opaque_claim);
  }
  fail_waiters(*run.order.claim, verdict, Outcome::kCancelled);
}

void PlainRunner::release_claim(Run& run) {
  waiters_.erase(waiters_key(*run.order.claim));
  ledger_.abandon_before_dispatch(*run.order.claim);
}

void PlainRunner::cancel(Run& run) {
  assert(!run.order.holds_claim);
  if (run.call.has_value()) {
    client_.cancel(*run.call);
    run.call.reset();
  }
}

}  // namespace bluebellstep
