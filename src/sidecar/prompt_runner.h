// Runs prompts on this sidecar's model engine.

#ifndef BLUEBELLSTEP_SIDECAR_PROMPT_RUNNER_H_
#define BLUEBELLSTEP_SIDECAR_PROMPT_RUNNER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "rpc/rpc_loop.h"
#include "sidecar/engine_cache.h"
#include "sidecar/engine_protocol.h"
#include "sidecar/run.h"

namespace bluebellstep {

/** Settings of a `PromptRunner`. */
struct PromptRunnerOptions {
  Endpoint engine;
  std::uint64_t prefill_tokens_per_s = 0;  // 0 if unknown.

  /** Maximum time between events of a stream after the first token. Far above the target of 57 ms
   * between tokens. */
  Duration token_timeout = {1500};

  /** Maximum time from the dispatch to the first token, in addition to the predicted time. */
  Duration first_token_timeout = {10'000};

  /** Maximum number of times that a stream is reopened before the run fails. */
  std::uint32_t max_resumes = 3;
};

/**
 * Dispatches admitted prompts and reads the engine's streams. A stream that breaks or times out is
 * reopened at the next token. Lives on the control thread; streams are parsed on the HTTP thread.
 */
class PromptRunner {
 public:
  /** Callbacks on the control thread. */
  struct Listener {
    /** Returns a run, or null if it no longer exists. */
    std::function<Run*(RequestId)> find_run;

    /** The engine has started to answer a run. */
    std::function<void(Run&, const EngineStarted&)> on_first_token;

    /** A run has finished. The listener may erase it. */
    std::function<void(Run&, RunResult, Outcome)> on_finished;
  };

  /** All references must outlive this. */
  PromptRunner(RpcLoop& loop,
               HttpClient& client,
               EngineCache& cache,
               PromptRunnerOptions options,
               Listener listener);
  ~PromptRunner();

  /** Starts an admitted run: fetches its blocks and dispatches it to the engine. */
  void start(Run& run);

  /** Cancels a run at the engine. The listener is not called. */
  void cancel(Run& run);

  /** Reopens the stream of a dispatched run if it received no event within the timeout. */
  void check_timeout(Run& run);

 private:
  struct Stream;

  void dispatch(Run& run);
  void open_stream(Run& run, HttpCall call);
  void handle_head(RequestId id, std::uint32_t stream_number, int status);
  void handle_events(RequestId id, std::uint32_t stream_number, std::vector<EngineEvent> events);
  void handle_end(RequestId id,
                  std::uint32_t stream_number,
                  int status,
                  HttpClient::Outcome outcome);
  void handle_started(Run& run, const EngineStarted& started);
  void handle_token(Run& run, EngineToken& token);
  bool handle_finished(Run& run, const EngineFinished& finished);
  void resume_or_fail(Run& run, std::string_view detail);
  void fail(Run& run, const Verdict& verdict, Outcome outcome);
  Run* find(RequestId id, std::uint32_t stream_number);

  RpcLoop& loop_;
  HttpClient& client_;
  EngineCache& cache_;
  PromptRunnerOptions options_;
  Listener listener_;
  Clock clock_;
  // Shared with callbacks, which may outlive this object. Points to null after its destruction.
  std::shared_ptr<PromptRunner*> self_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_PROMPT_RUNNER_H_
