// Runs prompts on the model engine beside this sidecar.

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
  std::uint64_t prefill_tokens_per_s = 0;  // 0: unknown.

  /** Longest silence of a stream after its first token: far above the target of 57 ms between
   * tokens. */
  Duration token_timeout = {1500};

  /** Longest wait for the first token after the dispatch, beyond what was predicted. */
  Duration first_token_timeout = {10'000};

  /** Times that a stream is opened again before the run is given up. */
  std::uint32_t max_resumes = 3;
};

/**
 * Dispatches admitted prompts, reads the engine's streams and opens them again at the next token
 * when they break or go silent. Lives on the control thread; streams are parsed on the HTTP thread.
 */
class PromptRunner {
 public:
  /** Callbacks, all on the control thread. */
  struct Listener {
    /** Returns a run, or null if it is over. */
    std::function<Run*(RequestId)> find_run;

    /** The first token of a run arrived. */
    std::function<void(Run&, const EngineStarted&)> on_first_token;

    /** A run is over. The listener may erase it. */
    std::function<void(Run&, RunResult, Outcome)> on_finished;
  };

  PromptRunner(RpcLoop& loop,
               HttpClient& client,
               EngineCache& cache,
               PromptRunnerOptions options,
               Listener listener);
  ~PromptRunner();

  /** Starts an admitted run. */
  void start(Run& run);

  /** Ends the engine's work on a run. The listener is not called. */
  void cancel(Run& run);

  /** Opens the stream of a dispatched run again if it has gone silent. */
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
  // Callbacks that outlive this object find it expired.
  std::shared_ptr<PromptRunner*> self_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_PROMPT_RUNNER_H_
