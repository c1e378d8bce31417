// Parses and checks the events of both stream formats.

#include "loadgen/answer_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/overloaded.h"
#include "sidecar/engine_protocol.h"

namespace bluebellstep::loadgen {
namespace {

using Json = nlohmann::json;

std::string expected_text(std::string_view prompt, std::uint32_t max_tokens) {
  const standins::ExpectedAnswer answer(prompt);
  return answer.text(0, answer.length(max_tokens));
}

std::uint64_t number_or_zero(const Json& document, const char* key) {
  const auto found = document.find(key);
  return found != document.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

}  // namespace

AnswerCheck::AnswerCheck(StreamKind kind, std::string_view prompt, std::uint32_t max_tokens)
    : kind_(kind), expected_text_(expected_text(prompt, max_tokens)) {}

void AnswerCheck::set_fault(std::string_view fault) {
  if (fault_.empty()) {
    fault_ = fault;
  }
}

void AnswerCheck::feed(std::string_view bytes) {
  if (reader_.feed(bytes, [this](std::string_view data) { handle_event(data); }) !=
      SseReader::Status::kOk) {
    set_fault("event too long");
  }
}

void AnswerCheck::handle_event(std::string_view data) {
  ++events_;
  if (has_done_marker_) {
    set_fault("event after [DONE]");
  } else if (kind_ == StreamKind::kEntry) {
    handle_entry_event(data);
  } else {
    handle_engine_event(data);
  }
}

void AnswerCheck::handle_entry_event(std::string_view data) {
  if (data == "[DONE]") {
    has_done_marker_ = true;
    return;
  }
  const Json document = Json::parse(data, nullptr, /*allow_exceptions=*/false);
  if (document.is_object() && document.contains("error")) {
    verdict_ = data;
    return;
  }
  const auto choices = document.is_object() ? document.find("choices") : document.end();
  if (!document.is_object() || choices == document.end() || choices->size() != 1 ||
      !choices->at(0).is_object() || !choices->at(0).value("text", Json()).is_string()) {
    set_fault("malformed event");
    return;
  }
  const Json& choice = choices->at(0);
  check_text(choice.at("text").get_ref<const std::string&>());
  has_finish_reason_ = has_finish_reason_ || choice.value("finish_reason", Json()).is_string();
  if (const auto usage = document.find("usage"); usage != document.end()) {
    reused_blocks_ = number_or_zero(*usage, "reused_blocks");
    fetched_blocks_ = number_or_zero(*usage, "fetched_blocks");
    recomputed_blocks_ = number_or_zero(*usage, "recomputed_blocks");
  }
}

void AnswerCheck::handle_engine_event(std::string_view data) {
  std::visit(Overloaded{[this](const EngineStarted& started) {
                          reused_blocks_ = started.cached_blocks;
                          recomputed_blocks_ = started.computed_blocks;
                        },
                        [this](const EngineToken& token) {
                          if (token.index != next_index_++) {
                            set_fault("lost or repeated token");
                          }
                          check_text(token.text);
                        },
                        [this](const EngineFinished&) { has_finish_reason_ = true; },
                        [this](const EngineStreamEnd&) { has_done_marker_ = true; },
                        [this](const EngineParseError& event) { set_fault(event.detail); }},
             parse_engine_event(data));
}

void AnswerCheck::check_text(std::string_view text) {
  if (expected_text_.compare(std::min(received_bytes_, expected_text_.size()), text.size(), text) !=
      0) {
    set_fault("wrong text");
  }
  received_bytes_ += text.size();
}

std::string AnswerCheck::fault() const {
  if (!fault_.empty()) {
    return fault_;
  }
  if (received_bytes_ != expected_text_.size()) {
    return "answer has the wrong length";
  }
  if (!has_finish_reason_) {
    return "no finish reason";
  }
  return has_done_marker_ ? std::string() : "no [DONE]";
}

}  // namespace bluebellstep::loadgen
