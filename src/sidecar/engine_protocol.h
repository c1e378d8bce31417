// Formats of the model engine's HTTP interface: writes request bodies and parses answers and stream
// events. Pure functions.

#ifndef BLUEBELLSTEP_SIDECAR_ENGINE_PROTOCOL_H_
#define BLUEBELLSTEP_SIDECAR_ENGINE_PROTOCOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "cache/block_key.h"
#include "cache/cache_event_follower.h"

namespace bluebellstep {

/** Contents of a completion request to the engine. */
struct EngineRequest {
  std::string request_id;
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  std::int32_t priority = 0;
  BlockKey cache_salt;
  std::string resume_text;  // Answer text produced by earlier attempts, which the engine continues.
  std::uint64_t first_index = 0;
};

/** Returns the body of `POST /v1/completions`. */
std::string engine_request_body(const EngineRequest& request);

/** First event of an answer stream. */
struct EngineStarted {
  std::string start_id;
  std::string weight_version;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_blocks = 0;
  std::uint32_t computed_blocks = 0;
};

/** One token of the answer. */
struct EngineToken {
  std::uint64_t index = 0;
  std::string text;
};

/** Event that ends a complete answer. */
struct EngineFinished {
  std::string finish_reason;
  std::uint64_t total = 0;  // Number of tokens of the answer, counted from index 0.
};

/** The `[DONE]` marker that ends a stream. */
struct EngineStreamEnd {};

/** An event that could not be parsed. */
struct EngineParseError {
  std::string detail;
};

using EngineEvent =
    std::variant<EngineStarted, EngineToken, EngineFinished, EngineStreamEnd, EngineParseError>;

/** Parses the data of one server-sent event. */
EngineEvent parse_engine_event(std::string_view data);

/** Load report of the engine. Reports lag behind the actual load. */
struct EngineLoad {
  std::string start_id;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t kv_tokens_used = 0;
  std::uint64_t kv_tokens_limit = 0;
  std::map<std::string, std::string, std::less<>> weight_versions;  // By model name.
};

/** Parses the answer to `GET /load`; returns nothing if it is malformed. */
std::optional<EngineLoad> parse_engine_load(std::string_view body);

/** Parses the answer to `GET /kv/events`; returns nothing if it is malformed. */
std::optional<CacheEventBatch> parse_engine_cache_events(std::string_view body);

/** Parses the answer to `GET /kv/blocks`; returns nothing if it is malformed. */
std::optional<CacheBlockList> parse_engine_block_list(std::string_view body);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_ENGINE_PROTOCOL_H_
