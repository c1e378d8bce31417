// Dispatches prompts, and reads and resumes their streams.

#include "sidecar/prompt_runner.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "base/overloaded.h"
#include "http/sse_reader.h"

namespace bluebellstep {
namespace {

constexpr Duration kRefusedRetryAfter = {100};

constexpr std::int32_t kWithinSharePriority = 10;
constexpr std::int32_t kOverSharePriority = 0;

// `check_timeout` detects an unresponsive engine earlier. This only limits the lifetime of a lost
// connection.
constexpr Duration kStreamIdleTimeout = {60'000};

std::string engine_request_id(const AttemptKey& key) {
  return std::to_string(key.entry_incarnation) + "-" + std::to_string(key.request_id) + "-" +
         std::to_string(key.attempt);
}

}  // namespace

/** Parser state of one HTTP stream. Used only on the HTTP thread. */
struct PromptRunner::Stream {
  SseReader reader;
  int status = 0;
  bool too_long = false;
};

PromptRunner::PromptRunner(RpcLoop& loop,
                           HttpClient& client,
                           EngineCache& cache,
                           PromptRunnerOptions options,
                           Listener listener)
    : loop_(loop),
      client_(client),
      cache_(cache),
      options_(std::move(options)),
      listener_(std::move(listener)),
      self_(std::make_shared<PromptRunner*>(this)) {}

PromptRunner::~PromptRunner() {
  *self_ = nullptr;
}

void PromptRunner::start(Run& run) {
  run.phase = RunPhase::kPreparing;
  run.prompt.engine_request_id = engine_request_id(run.spec.key);
  run.prompt.next_index = run.spec.first_index;
  cache_.prepare(run, [self = self_, id = run.id](std::uint32_t fetched_blocks) {
    Run* const prepared = *self == nullptr ? nullptr : (*self)->listener_.find_run(id);
    if (prepared != nullptr && prepared->phase == RunPhase::kPreparing) {
      prepared->prompt.fetched_blocks = fetched_blocks;
      (*self)->dispatch(*prepared);
    }
  });
}

void PromptRunner::dispatch(Run& run) {
  run.phase = RunPhase::kDispatched;
  run.prompt.dispatched_at = clock_.now();
  run.prompt.last_event_at = run.prompt.dispatched_at;
  EngineRequest request;
  request.request_id = run.prompt.engine_request_id;
  request.model = run.spec.target;
  request.prompt = run.spec.body;
  request.max_tokens = run.spec.max_tokens;
  // Priorities set by callers only order requests within an account. Between accounts, only the
  // share determines the priority.
  request.priority = run.within_share ? kWithinSharePriority : kOverSharePriority;
  request.cache_salt = cache_seed(run.spec.account, run.spec.target, run.spec.weight_version);
  request.resume_text = run.spec.resume_text;
  request.first_index = run.spec.first_index;
  HttpCall call;
  call.endpoint = options_.engine;
  call.method = "POST";
  call.path = "/v1/completions";
  call.headers = {{"content-type", "application/json"}};
  call.body = engine_request_body(request);
  open_stream(run, std::move(call));
}

void PromptRunner::open_stream(Run& run, HttpCall call) {
  call.idle_timeout = kStreamIdleTimeout;
  const auto stream = std::make_shared<Stream>();
  const RequestId id = run.id;
  const std::uint32_t stream_number = run.prompt.resume_count;
  HttpClient::Listener listener;
  listener.on_head = [this, stream, self = self_, id, stream_number](int status,
                                                                     std::span<const HttpHeader>) {
    stream->status = status;
    loop_.post([self, id, stream_number, status] {
      if (*self != nullptr) {
        (*self)->handle_head(id, stream_number, status);
      }
    });
  };
  listener.on_data = [this, stream, self = self_, id, stream_number](std::string_view bytes) {
    if (stream->status != 200) {
      return;
    }
    std::vector<EngineEvent> events;
    const auto status = stream->reader.feed(
        bytes, [&events](std::string_view data) { events.push_back(parse_engine_event(data)); });
    if (status != SseReader::Status::kOk) {
      events.emplace_back(EngineParseError{std::string(SseReader::describe(status))});
    }
    if (events.empty()) {
      return;
    }
    loop_.post([self, id, stream_number, events = std::move(events)]() mutable {
      if (*self != nullptr) {
        (*self)->handle_events(id, stream_number, std::move(events));
      }
    });
  };
  listener.on_done = [this, stream, self = self_, id,
                      stream_number](const HttpClient::Outcome& outcome) {
    loop_.post([self, id, stream_number, status = stream->status, outcome] {
      if (*self != nullptr) {
        (*self)->handle_end(id, stream_number, status, outcome);
      }
    });
  };
  run.call = client_.send(std::move(call), std::move(listener));
}

Run* PromptRunner::find(RequestId id, std::uint32_t stream_number) {
  Run* const run = listener_.find_run(id);
  const bool is_current = run != nullptr && run->phase == RunPhase::kDispatched &&
                          run->prompt.resume_count == stream_number && run->call.has_value();
  return is_current ? run : nullptr;
}

void PromptRunner::handle_head(RequestId id, std::uint32_t stream_number, int status) {
  if (Run* const run = find(id, stream_number); run != nullptr && status == 200) {
    run->prompt.last_event_at = clock_.now();
  }
}

void PromptRunner::handle_events(RequestId id,
                                 std::uint32_t stream_number,
                                 std::vector<EngineEvent> events) {
  for (EngineEvent& event : events) {
    // Handling an event may end the run or reopen its stream.
    Run* const run = find(id, stream_number);
    if (run == nullptr) {
      return;
    }
    run->prompt.last_event_at = clock_.now();
    std::visit(Overloaded{[&](const EngineStarted& started) { handle_started(*run, started); },
                          [&](EngineToken& token) { handle_token(*run, token); },
                          [&](const EngineFinished& finished) { handle_finished(*run, finished); },
                          [](const EngineStreamEnd&) {},
                          [&](const EngineParseError& malformed) {
                            resume_or_fail(*run, malformed.detail);
                          }},
               event);
  }
}

void PromptRunner::handle_started(Run& run, const EngineStarted& started) {
  if (started.weight_version != run.spec.weight_version) {
    // The engine has loaded other weights. Its tokens must not be returned as those of the
    // requested version.
    cancel(run);
    fail(run,
         Verdict::may_have_run(Reason::kUpstreamFailed,
                               "the engine runs another weight version than the requested one"),
         Outcome::kFailed);
    return;
  }
  if (run.prompt.first_token_received) {
    return;
  }
  run.prompt.first_token_received = true;
  run.prompt.prompt_tokens = started.prompt_tokens;
  run.prompt.reused_blocks = started.cached_blocks;
  run.prompt.recomputed_blocks = started.computed_blocks;
  listener_.on_first_token(run, started);
}

void PromptRunner::handle_token(Run& run, EngineToken& token) {
  if (token.index < run.prompt.next_index) {
    return;  // Duplicate after the stream was resumed.
  }
  if (token.index > run.prompt.next_index) {
    resume_or_fail(run, "tokens are missing from the engine's stream");
    return;
  }
  ++run.prompt.next_index;
  run.outbox.add(std::move(token.text));
}

bool PromptRunner::handle_finished(Run& run, const EngineFinished& finished) {
  if (finished.total != run.prompt.next_index) {
    resume_or_fail(run, "the engine's token count differs from the number of tokens received");
    return false;
  }
  run.call.reset();
  AnswerSummary summary;
  summary.finish_reason = finished.finish_reason;
  summary.prompt_tokens = run.prompt.prompt_tokens;
  summary.fetched_blocks = std::min(run.prompt.fetched_blocks, run.prompt.reused_blocks);
  summary.reused_blocks = run.prompt.reused_blocks - summary.fetched_blocks;
  summary.recomputed_blocks = run.prompt.recomputed_blocks;
  listener_.on_finished(run, std::move(summary), Outcome::kCompleted);
  return true;
}

void PromptRunner::handle_end(RequestId id,
                              std::uint32_t stream_number,
                              int status,
                              HttpClient::Outcome outcome) {
  Run* const run = find(id, stream_number);
  if (run == nullptr) {
    return;
  }
  const auto* failed = std::get_if<HttpClient::Failed>(&outcome);
  const bool is_first = stream_number == 0;
  if (is_first && failed != nullptr && !failed->may_have_been_sent) {
    fail(*run, Verdict::not_run(Reason::kUpstreamUnreachable, failed->detail, kRefusedRetryAfter),
         Outcome::kConnectionFailed);
    return;
  }
  if (is_first && failed == nullptr && status != 200) {
    const bool is_overloaded = status == 503;
    fail(*run,
         Verdict::not_run(is_overloaded ? Reason::kOverloaded : Reason::kUpstreamFailed,
                          "the engine refused the prompt with status " + std::to_string(status),
                          kRefusedRetryAfter),
         Outcome::kFailed);
    return;
  }
  if (!is_first && failed == nullptr && status != 200) {
    fail(*run,
         Verdict::may_have_run(
             Reason::kUpstreamFailed,
             "the engine no longer knows the request, so its stream cannot be resumed"),
         Outcome::kConnectionFailed);
    return;
  }
  resume_or_fail(*run, failed != nullptr
                           ? failed->detail
                           : "the engine's stream ended before the answer was complete");
}

void PromptRunner::resume_or_fail(Run& run, std::string_view detail) {
  if (run.call.has_value()) {
    client_.cancel(*run.call);
    run.call.reset();
  }
  LogEvent("engine_stream_broken", LogEvent::Severity::kWarning)
      .field("run", run.prompt.engine_request_id)
      .field("next_index", run.prompt.next_index)
      .field("detail", detail);
  if (run.prompt.resume_count >= options_.max_resumes) {
    fail(run, Verdict::may_have_run(Reason::kUpstreamFailed, detail), Outcome::kConnectionFailed);
    return;
  }
  ++run.prompt.resume_count;
  run.prompt.last_event_at = clock_.now();
  HttpCall call;
  call.endpoint = options_.engine;
  call.path = "/v1/requests/" + run.prompt.engine_request_id +
              "/stream?from_index=" + std::to_string(run.prompt.next_index);
  open_stream(run, std::move(call));
}

void PromptRunner::fail(Run& run, const Verdict& verdict, Outcome outcome) {
  run.call.reset();
  listener_.on_finished(run, verdict, outcome);
}

void PromptRunner::cancel(Run& run) {
  if (run.call.has_value()) {
    client_.cancel(*run.call);
    run.call.reset();
  }
  if (run.phase != RunPhase::kDispatched) {
    return;
  }
  HttpCall call;
  call.endpoint = options_.engine;
  call.method = "POST";
  call.path = "/v1/requests/" + run.prompt.engine_request_id + "/cancel";
  client_.send(std::move(call), [](HttpClient::Response) {});
}

void PromptRunner::check_timeout(Run& run) {
  if (run.phase != RunPhase::kDispatched) {
    return;
  }
  const Duration limit = run.prompt.first_token_received
                             ? options_.token_timeout
                             : options_.first_token_timeout + run.prompt.predicted_first_token;
  if (clock_.now() - run.prompt.last_event_at > limit) {
    resume_or_fail(run, "the engine's stream received no event within the timeout");
  }
}

}  // namespace bluebellstep
