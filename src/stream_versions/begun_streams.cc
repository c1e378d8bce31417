// Encoding and bookkeeping of the streams that a gateway began.

#include "stream_versions/begun_streams.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "base/json_text.h"

namespace bluebellstep {
namespace {

constexpr int kKeyBase = 16;

std::string key_text(StreamKey key) {
  std::array<char, 16> digits;
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), key.value, kKeyBase).ptr;
  return {digits.data(), end};
}

std::optional<StreamKey> parse_key(std::string_view text) {
  StreamKey key;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), key.value, kKeyBase);
  return error == std::errc() && end == text.data() + text.size() ? std::optional(key)
                                                                  : std::nullopt;
}

}  // namespace

StreamKey stream_key(std::string_view account, std::string_view request_id) {
  return {hash64(request_id, hash64(account))};
}

std::string encode_begun_streams(const StreamVersionMap& streams) {
  nlohmann::json by_version = nlohmann::json::object();
  for (const auto& [key, version] : streams) {
    by_version[version].push_back(key_text(key));
  }
  return nlohmann::json{{"begun", std::move(by_version)}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<StreamVersionMap> decode_begun_streams(std::string_view text) {
  const auto json = parse_json(text);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    StreamVersionMap streams;
    for (const auto& [version, keys] : json.at("begun").items()) {
      for (const auto& item : keys) {
        const auto key = parse_key(item.get_ref<const std::string&>());
        if (!key) {
          return std::nullopt;
        }
        streams.emplace(*key, version);
      }
    }
    return streams;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

BegunStreams::Sequence BegunStreams::add(StreamKey stream,
                                         std::string_view version,
                                         Instant expires_at) {
  streams_[stream] = {.version = std::string(version), .expires_at = expires_at};
  return ++sequence_;
}

void BegunStreams::adopt(const StreamVersionMap& streams, Instant now) {
  for (const auto& [key, version] : streams) {
    streams_.try_emplace(key, Stream{.version = version, .expires_at = now + kAdoptedLifetime});
  }
}

std::string BegunStreams::take_content(Instant now) {
  std::erase_if(streams_, [now](const auto& entry) { return entry.second.expires_at <= now; });
  StreamVersionMap streams;
  for (const auto& [key, stream] : streams_) {
    streams.emplace_hint(streams.end(), key, stream.version);
  }
  sent_sequence_ = sequence_;
  return encode_begun_streams(streams);
}

}  // namespace bluebellstep
