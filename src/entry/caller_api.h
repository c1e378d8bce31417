// Formats of the HTTP API for callers: parses request bodies and writes answers and refusals. Pure
// functions without I/O.

#ifndef BLUEBELLSTEP_ENTRY_CALLER_API_H_
#define BLUEBELLSTEP_ENTRY_CALLER_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/verdict.h"

namespace bluebellstep {

/** Body of a completion request, as in the OpenAI completion API. */
struct CompletionRequest {
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 16;
  std::int32_t priority = 0;  // Higher values are scheduled first, only relative to requests of the
                              // same client account.
  bool stream = false;
};

/** Maximum number of answer tokens that a request may ask for. */
inline constexpr std::uint32_t kMaxAnswerTokens = 1u << 16;

/** Parses a completion request. If `body` is invalid, returns a `Verdict` that names the invalid
 * field. */
std::variant<CompletionRequest, Verdict> parse_completion_request(std::string_view body);

/** Token and block counts reported at the end of an answer. */
struct CompletionUsage {
  std::uint32_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  std::uint32_t reused_blocks = 0;
  std::uint32_t fetched_blocks = 0;
  std::uint32_t recomputed_blocks = 0;
};

/** Writes the server-sent events or the JSON document of one completion. */
class CompletionWriter {
 public:
  /** `created_unix_s` is the arrival time of the request in Unix seconds. */
  CompletionWriter(std::string_view id, std::string_view model, std::int64_t created_unix_s);

  /** Appends the event for one piece of answer text to `out`. */
  void append_event(std::string& out, std::string_view text) const;

  /** Appends the last events of a complete answer to `out`: finish reason, usage and `[DONE]`. */
  void append_end(std::string& out,
                  std::string_view finish_reason,
                  const CompletionUsage& usage) const;

  /** Returns the JSON document of an answer that is not streamed. */
  std::string document(std::string_view text,
                       std::string_view finish_reason,
                       const CompletionUsage& usage) const;

 private:
  std::string event_prefix_;   // Start of each event, up to the text of the choice.
  std::string common_fields_;  // Start of each JSON document, up to the model.
};

/** Returns the JSON body of a refusal. */
std::string verdict_document(const Verdict& verdict);

/** Returns the server-sent event that ends an incomplete stream. No `[DONE]` follows it. */
std::string verdict_event(const Verdict& verdict);

/** Returns the HTTP status for a refusal. */
int http_status(const Verdict& verdict);

/** Appends `text` to `out` as a quoted JSON string. Invalid UTF-8 is replaced by U+FFFD. */
void append_json_string(std::string& out, std::string_view text);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_CALLER_API_H_
