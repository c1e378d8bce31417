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

std::string encode_begun_streams(const StreamRecord& record) {
  nlohmann::json by_version = nlohmann::json::object();
  for (const auto& [key, version] : record.streams) {
    by_version[version].push_back(key_text(key));
  }
  return nlohmann::json{
      {"begun", std::move(by_version)}, {"era", record.era}, {"complete", record.complete}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<StreamRecord> decode_begun_streams(std::string_view text) {
  const auto json = parse_json(text);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    // Earlier versions of this program state neither era nor completeness.
    StreamRecord record{.era = json.contains("era") ? read_json_count(json.at("era")) : 0,
                        .complete = json.value("complete", true)};
    for (const auto& [version, keys] : json.at("begun").items()) {
      for (const auto& item : keys) {
        const auto key = parse_key(item.get_ref<const std::string&>());
        if (!key) {
          return std::nullopt;
        }
        record.streams.emplace(*key, version);
      }
    }
    return record;
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

void BegunStreams::adopt(const StreamRecord& record, Instant now) {
  if (!adopted_) {
    adopted_ = StreamRecord{.era = record.era, .complete = record.complete};
  }
  if (era_ && record.era != *era_) {
    return;
  }
  for (const auto& [key, version] : record.streams) {
    streams_.try_emplace(key, Stream{.version = version, .expires_at = now + kAdoptedLifetime});
  }
}

void BegunStreams::set_era(std::uint64_t era, bool lost_nothing, Instant now) {
  if (!adopted_ || (era_ && era <= *era_)) {
    return;
  }
  if (!era_) {
    complete_ = lost_nothing || (adopted_->complete && adopted_->era == era);
    if (adopted_->era != era) {
      streams_.clear();
    }
  }
  if (era_ || !complete_) {
    mark_changed();
  }
  era_ = era;
  era_since_ = now;
}

void BegunStreams::refresh(Instant now) {
  if (era_ && !complete_ && now >= era_since_ + kLostStreamTime) {
    complete_ = true;
    mark_changed();
  }
}

std::string BegunStreams::take_content(Instant now) {
  std::erase_if(streams_, [now](const auto& entry) { return entry.second.expires_at <= now; });
  StreamRecord record{.era = era_.value_or(0), .complete = complete_};
  for (const auto& [key, stream] : streams_) {
    record.streams.emplace_hint(record.streams.end(), key, stream.version);
  }
  sent_sequence_ = sequence_;
  return encode_begun_streams(record);
}

}  // namespace bluebellstep
