// Parses completion requests and writes answers.

#include "entry/caller_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/json_text.h"

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

Verdict bad_field(std::string_view field, std::string_view expected, const Json& found) {
  std::string detail = "field \"";
  detail += field;
  detail += "\" must be ";
  detail += expected;
  detail += ", found ";
  detail += found.type_name();
  return Verdict::not_run(Reason::kBadRequest, detail);
}

// Reads the optional integer field `field`, which must be within [low, high], into `out`. Leaves
// `out` unchanged if the field is missing or null.
template <typename Integer>
std::optional<Verdict> read_integer(const Json& document,
                                    const char* field,
                                    std::int64_t low,
                                    std::int64_t high,
                                    Integer& out) {
  const auto found = document.find(field);
  if (found == document.end() || found->is_null()) {
    return std::nullopt;
  }
  const bool in_range = found->is_number_integer() &&
                        !(found->is_number_unsigned() &&
                          found->get<std::uint64_t>() > static_cast<std::uint64_t>(high)) &&
                        found->get<std::int64_t>() >= low && found->get<std::int64_t>() <= high;
  if (!in_range) {
    return bad_field(
        field, "an integer from " + std::to_string(low) + " to " + std::to_string(high), *found);
  }
  out = static_cast<Integer>(found->get<std::int64_t>());
  return std::nullopt;
}

std::optional<Verdict> read_string(const Json& document, const char* field, std::string& out) {
  const auto found = document.find(field);
  if (found == document.end()) {
    return Verdict::not_run(Reason::kBadRequest, std::string("field \"") + field + "\" is missing");
  }
  if (!found->is_string()) {
    return bad_field(field, "a string", *found);
  }
  out = found->get<std::string>();
  return std::nullopt;
}

bool needs_escape(char c) {
  return static_cast<unsigned char>(c) < 0x20 || c == '"' || c == '\\' ||
         static_cast<unsigned char>(c) >= 0x80;
}

std::string usage_json(const CompletionUsage& usage) {
  const std::uint64_t total = usage.prompt_tokens + usage.completion_tokens;
  return "{\"prompt_tokens\":" + std::to_string(usage.prompt_tokens) +
         ",\"completion_tokens\":" + std::to_string(usage.completion_tokens) +
         ",\"total_tokens\":" + std::to_string(total) +
         ",\"reused_blocks\":" + std::to_string(usage.reused_blocks) +
         ",\"fetched_blocks\":" + std::to_string(usage.fetched_blocks) +
         ",\"recomputed_blocks\":" + std::to_string(usage.recomputed_blocks) + "}";
}

}  // namespace

std::variant<CompletionRequest, Verdict> parse_completion_request(std::string_view body) {
  const Json document = parse_json(body);
  if (!document.is_object()) {
    return Verdict::not_run(Reason::kBadRequest, "the body must be a JSON object");
  }
  CompletionRequest request;
  if (auto refusal = read_string(document, "model", request.model)) {
    return *refusal;
  }
  if (auto refusal = read_string(document, "prompt", request.prompt)) {
    return *refusal;
  }
  if (request.prompt.empty()) {
    return Verdict::not_run(Reason::kBadRequest, "field \"prompt\" must not be empty");
  }
  if (auto refusal =
          read_integer(document, "max_tokens", 1, kMaxAnswerTokens, request.max_tokens)) {
    return *refusal;
  }
  if (auto refusal = read_integer(document, "priority", -100, 100, request.priority)) {
    return *refusal;
  }
  if (const auto stream = document.find("stream"); stream != document.end()) {
    if (!stream->is_boolean()) {
      return bad_field("stream", "true or false", *stream);
    }
    request.stream = stream->get<bool>();
  }
  if (const auto choices = document.find("n"); choices != document.end() && *choices != 1) {
    return bad_field("n", "1", *choices);
  }
  return request;
}

void append_json_string(std::string& out, std::string_view text) {
  // Fast path: most tokens need no escaping.
  if (std::none_of(text.begin(), text.end(), needs_escape)) {
    out += '"';
    out += text;
    out += '"';
    return;
  }
  out += Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

CompletionWriter::CompletionWriter(std::string_view id,
                                   std::string_view model,
                                   std::int64_t created_unix_s) {
  common_fields_ = "{\"id\":";
  append_json_string(common_fields_, id);
  common_fields_ +=
      ",\"object\":\"text_completion\",\"created\":" + std::to_string(created_unix_s) +
      ",\"model\":";
  append_json_string(common_fields_, model);
  event_prefix_ = "data: " + common_fields_ + ",\"choices\":[{\"index\":0,\"text\":";
}

void CompletionWriter::append_event(std::string& out, std::string_view text) const {
  out += event_prefix_;
  append_json_string(out, text);
  out += ",\"finish_reason\":null}]}\n\n";
}

void CompletionWriter::append_end(std::string& out,
                                  std::string_view finish_reason,
                                  const CompletionUsage& usage) const {
  out += event_prefix_;
  out += "\"\",\"finish_reason\":";
  append_json_string(out, finish_reason);
  out += "}],\"usage\":" + usage_json(usage) + "}\n\ndata: [DONE]\n\n";
}

std::string CompletionWriter::document(std::string_view text,
                                       std::string_view finish_reason,
                                       const CompletionUsage& usage) const {
  std::string out = common_fields_ + ",\"choices\":[{\"index\":0,\"text\":";
  append_json_string(out, text);
  out += ",\"finish_reason\":";
  append_json_string(out, finish_reason);
  out += "}],\"usage\":" + usage_json(usage) + "}\n";
  return out;
}

std::string verdict_document(const Verdict& verdict) {
  std::string out = "{\"error\":{\"run_state\":\"";
  out += to_string(verdict.run_state());
  out += "\",\"reason\":\"";
  out += to_string(verdict.reason());
  out += "\",\"retry\":";
  out += verdict.retry_after().has_value() ? "true" : "false";
  if (verdict.retry_after().has_value()) {
    out += ",\"retry_after_ms\":" + std::to_string(verdict.retry_after()->ms);
  }
  out += ",\"message\":";
  append_json_string(out, verdict.detail());
  out += "}}\n";
  return out;
}

std::string verdict_event(const Verdict& verdict) {
  std::string document = verdict_document(verdict);
  document.pop_back();
  return "event: error\ndata: " + document + "\n\n";
}

int http_status(const Verdict& verdict) {
  switch (verdict.reason()) {
    case Reason::kBadRequest:
    case Reason::kKeyInFuture:
      return 400;
    case Reason::kUnauthorized:
      return 401;
    case Reason::kUnknownModel:
    case Reason::kUnknownService:
      return 404;
    case Reason::kKeyReused:
    case Reason::kKeyExpired:
    case Reason::kOwnerRestarted:
      return 409;
    case Reason::kOverloaded:
    case Reason::kRetryBudgetExhausted:
      return 429;
    case Reason::kUpstreamFailed:
    case Reason::kConnectionLost:
      return 502;
    case Reason::kDeadlineExceeded:
      return 504;
    case Reason::kInternal:
      return 500;
    default:
      return 503;
  }
}

}  // namespace bluebellstep
