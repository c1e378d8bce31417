// The capability through which a sidecar delivers the answer of one attempt.

#ifndef BLUEBELLSTEP_ENTRY_ANSWER_SINK_H_
#define BLUEBELLSTEP_ENTRY_ANSWER_SINK_H_

#include <memory>

#include "entry/request_runner.h"
#include "rpc/peer.capnp.h"

namespace bluebellstep {

/** Passes events and completion to the `RequestRunner`, unless that is gone or the attempt is over.
 */
class AnswerSink final : public wire::AnswerSink::Server {
 public:
  AnswerSink(std::shared_ptr<RequestRunner*> runner, RequestId request, std::uint32_t attempt)
      : runner_(std::move(runner)), request_(request), attempt_(attempt) {}

  kj::Promise<void> push(PushContext context) override {
    KJ_REQUIRE(*runner_ != nullptr, "the entry instance stops");
    const auto params = context.getParams();
    context.getResults().setNextIndex(
        (*runner_)->handle_events(request_, attempt_, params.getFirstIndex(), params.getEvents()));
    return kj::READY_NOW;
  }

  kj::Promise<void> finish(FinishContext context) override {
    KJ_REQUIRE(*runner_ != nullptr, "the entry instance stops");
    (*runner_)->handle_completion(request_, attempt_, context.getParams().getCompletion());
    return kj::READY_NOW;
  }

 private:
  std::shared_ptr<RequestRunner*> runner_;
  RequestId request_;
  std::uint32_t attempt_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_ANSWER_SINK_H_
