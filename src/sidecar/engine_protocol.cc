// Writes requests for the engine and parses its answers.

#include "sidecar/engine_protocol.h"

#include <nlohmann/json.hpp>

#include "base/json_text.h"

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

// Replaces invalid UTF-8, so that the request body is always valid JSON.
std::string dump(const Json& document) {
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string text_field(const Json& document, const char* field) {
  const auto found = document.find(field);
  return found != document.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t uint64_field(const Json& document, const char* field) {
  const auto found = document.find(field);
  return found != document.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::uint32_t uint32_field(const Json& document, const char* field) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(uint64_field(document, field), UINT32_MAX));
}

std::optional<std::vector<BlockKey>> parse_keys(const Json& document) {
  const auto found = document.find("keys");
  if (found == document.end() || !found->is_array()) {
    return std::nullopt;
  }
  std::vector<BlockKey> keys;
  keys.reserve(found->size());
  for (const Json& item : *found) {
    const auto key =
        item.is_string() ? BlockKey::from_hex(item.get_ref<const std::string&>()) : std::nullopt;
    if (!key.has_value()) {
      return std::nullopt;
    }
    keys.push_back(*key);
  }
  return keys;
}

std::optional<CacheEvent> parse_cache_event(const Json& document) {
  if (!document.is_object()) {
    return std::nullopt;
  }
  CacheEvent event;
  event.seq = uint64_field(document, "seq");
  const std::string type = text_field(document, "type");
  if (type == "cleared") {
    event.type = CacheEvent::Type::kCleared;
    return event;
  }
  if (type != "stored" && type != "evicted") {
    return std::nullopt;
  }
  event.type = type == "stored" ? CacheEvent::Type::kStored : CacheEvent::Type::kEvicted;
  auto keys = parse_keys(document);
  if (!keys.has_value()) {
    return std::nullopt;
  }
  event.keys = std::move(*keys);
  return event;
}

EngineStarted parse_started_event(const Json& document) {
  const Json usage = document.value("usage", Json::object());
  return {text_field(document, "start_id"), text_field(document, "weight_version"),
          uint32_field(usage, "prompt_tokens"), uint32_field(usage, "cached_blocks"),
          uint32_field(usage, "computed_blocks")};
}

}  // namespace

std::string engine_request_body(const EngineRequest& request) {
  Json document = {{"request_id", request.request_id},
                   {"model", request.model},
                   {"prompt", request.prompt},
                   {"max_tokens", request.max_tokens},
                   {"priority", request.priority},
                   {"stream", true},
                   {"cache_salt", request.cache_salt.to_hex()}};
  if (request.first_index > 0) {
    document["resume_text"] = request.resume_text;
    document["first_index"] = request.first_index;
  }
  return dump(document);
}

EngineEvent parse_engine_event(std::string_view data) {
  if (data == "[DONE]") {
    return EngineStreamEnd{};
  }
  Json document = parse_json(data);
  if (!document.is_object()) {
    return EngineParseError{"event is not a JSON object"};
  }
  if (const auto text = document.find("text"); text != document.end()) {
    const auto index = document.find("index");
    if (!text->is_string() || index == document.end() || !index->is_number_unsigned()) {
      return EngineParseError{"token event needs a text and an index"};
    }
    return EngineToken{index->get<std::uint64_t>(), std::move(text->get_ref<std::string&>())};
  }
  if (document.contains("finish_reason")) {
    return EngineFinished{text_field(document, "finish_reason"), uint64_field(document, "total")};
  }
  if (document.contains("start_id") && document.value("usage", Json::object()).is_object()) {
    return parse_started_event(document);
  }
  return EngineParseError{"event of an unknown kind"};
}

std::optional<EngineLoad> parse_engine_load(std::string_view body) {
  const Json document = parse_json(body);
  if (!document.is_object()) {
    return std::nullopt;
  }
  EngineLoad load;
  load.start_id = text_field(document, "start_id");
  load.running = uint32_field(document, "running");
  load.waiting = uint32_field(document, "waiting");
  load.kv_tokens_used = uint64_field(document, "kv_tokens_used");
  load.kv_tokens_limit = uint64_field(document, "kv_tokens_limit");
  const auto models = document.find("models");
  if (load.start_id.empty() || models == document.end() || !models->is_object()) {
    return std::nullopt;
  }
  for (const auto& [model, version] : models->items()) {
    if (version.is_string()) {
      load.weight_versions.emplace(model, version.get<std::string>());
    }
  }
  return load;
}

std::optional<CacheEventBatch> parse_engine_cache_events(std::string_view body) {
  const Json document = parse_json(body);
  if (!document.is_object()) {
    return std::nullopt;
  }
  CacheEventBatch batch{text_field(document, "start_id"), uint64_field(document, "next"), {}};
  const auto events = document.find("events");
  if (batch.start_id.empty() || events == document.end() || !events->is_array()) {
    return std::nullopt;
  }
  for (const Json& item : *events) {
    auto event = parse_cache_event(item);
    if (!event.has_value()) {
      return std::nullopt;
    }
    batch.events.push_back(std::move(*event));
  }
  return batch;
}

std::optional<CacheBlockList> parse_engine_block_list(std::string_view body) {
  const Json document = parse_json(body);
  if (!document.is_object()) {
    return std::nullopt;
  }
  auto keys = parse_keys(document);
  CacheBlockList list{text_field(document, "start_id"), uint64_field(document, "next"), {}};
  if (!keys.has_value() || list.start_id.empty()) {
    return std::nullopt;
  }
  list.keys = std::move(*keys);
  return list;
}

}  // namespace bluebellstep
