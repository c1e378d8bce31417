// Requests and responses of the API towards callers: reading of request bodies, and the text of
// answers and refusals. Pure functions; sockets are elsewhere.

#ifndef BLUEBELLSTEP_ENTRY_CALLER_API_H_
#define BLUEBELLSTEP_ENTRY_CALLER_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/verdict.h"

namespace bluebellstep {

/** A request of the completion route, as in the OpenAI completion API. */
struct CompletionRequest {
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 16;
  std::int32_t priority = 0;  // Higher is sooner, among requests of the same client account only.
  bool stream = false;
};

/** Largest number of answer tokens that one request may ask for. */
inline constexpr std::uint32_t kMaxAnswerTokens = 1u << 16;

/** Reads a completion request; a `Verdict` that names the faulty field if `body` is not one. */
std::variant<CompletionRequest, Verdict> parse_completion_request(std::string_view body);

/** Counts that close an answer. */
struct CompletionUsage {
  std::uint32_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  std::uint32_t reused_blocks = 0;
  std::uint32_t fetched_blocks = 0;
  std::uint32_t recomputed_blocks = 0;
};

/** Writes the server-sent events and the JSON documents of one completion. */
class CompletionWriter {
 public:
  /** `created_unix_s` is the time of the request in seconds. */
  CompletionWriter(std::string_view id, std::string_view model, std::int64_t created_unix_s);

  /** Appends the event of one piece of text to `out`. */
  void append_event(std::string& out, std::string_view text) const;

  /** Appends the last events of a whole answer: finish reason, usage and `[DONE]`. */
  void append_end(std::string& out,
                  std::string_view finish_reason,
                  const CompletionUsage& usage) const;

  /** Returns the JSON document of an answer that is not streamed. */
  std::string document(std::string_view text,
                       std::string_view finish_reason,
                       const CompletionUsage& usage) const;

 private:
  std::string event_prefix_;   // Up to the text of the choice.
  std::string common_fields_;  // Fields shared by all documents of the completion.
};

/** Returns the JSON body of a refusal. */
std::string verdict_document(const Verdict& verdict);

/** Returns the server-sent event that ends a broken stream. `[DONE]` never follows it. */
std::string verdict_event(const Verdict& verdict);

/** Returns the HTTP status for a refusal. */
int http_status(const Verdict& verdict);

/** Appends `text` to `out` as a JSON string with quotes. Bytes that are not UTF-8 are replaced by
 * U+FFFD. */
void append_json_string(std::string& out, std::string_view text);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_CALLER_API_H_
