// RPC object through which a sidecar delivers the answer of one attempt.

#ifndef BLUEBELLSTEP_ENTRY_ANSWER_SINK_H_
#define BLUEBELLSTEP_ENTRY_ANSWER_SINK_H_

#include <memory>

#include "entry/request_runner.h"
#include "rpc/peer.capnp.h"

namespace bluebellstep {

/** Forwards events and the completion to the `RequestRunner`. Calls fail once the runner is
 * destroyed; the runner rejects events of an attempt that is not current and ignores its
 * completion. */
class AnswerSink final : public wire::AnswerSink::Server {
 public:
  AnswerSink(std::shared_ptr<RequestRunner*> runner, RequestId request, std::uint32_t attempt)
      : runner_(std::move(runner)), request_(request), attempt_(attempt) {}

  kj::Promise<void> push(PushContext context) override {
    KJ_REQUIRE(*runner_ != nullptr, "the entry instance is stopping");
    const auto params = context.getParams();
    context.getResults().setNextIndex(
        (*runner_)->handle_events(request_, attempt_, params.getFirstIndex(), params.getEvents()));
    return kj::READY_NOW;
  }

  kj::Promise<void> finish(FinishContext context) override {
    KJ_REQUIRE(*runner_ != nullptr, "the entry instance is stopping");
    (*runner_)->handle_completion(request_, attempt_, context.getParams().getCompletion());
    return kj::READY_NOW;
  }

 private:
  std::shared_ptr<RequestRunner*> runner_;  // Points to null once the runner is destroyed.
  RequestId request_;
  std::uint32_t attempt_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_ANSWER_SINK_H_
