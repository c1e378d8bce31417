// Encoding of cache updates.

#include "gateway/cache_update.h"

#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway/datagram_format.h"

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kTag = "cache";
constexpr std::size_t kFields = 9;

}  // namespace

std::string encode_cache_update(const CacheUpdate& update) {
  Json namespaces = Json::array();
  std::map<std::string_view, std::size_t> index_by_namespace;
  Json events = Json::array();
  for (const SegmentEvent& event : update.result.events) {
    const auto [known, added] =
        index_by_namespace.try_emplace(event.cache_namespace, namespaces.size());
    if (added) {
      namespaces.push_back(event.cache_namespace);
    }
    events.push_back({known->second, event.segment, event.tokens});
  }
  std::string out;
  Json::to_msgpack(Json{kTag, update.node, update.since, update.result.epoch, update.result.next,
                        update.result.events_lost, update.result.clock_ms, std::move(namespaces),
                        std::move(events)},
                   out);
  return out;
}

std::optional<CacheUpdate> decode_cache_update(std::span<const std::uint8_t> bytes) {
  const auto json = parse_datagram(bytes);
  if (!json || json->size() != kFields || json->at(0) != kTag) {
    return std::nullopt;
  }
  try {
    CacheUpdate update{.node = json->at(1).get<std::string>(),
                       .since = json->at(2).get<std::uint64_t>()};
    update.result = {.epoch = json->at(3).get<std::uint64_t>(),
                     .next = json->at(4).get<std::uint64_t>(),
                     .events_lost = json->at(5).get<bool>(),
                     .clock_ms = json->at(6).get<std::int64_t>()};
    const auto namespaces = json->at(7).get<std::vector<std::string>>();
    for (const Json& event : json->at(8)) {
      update.result.events.push_back(
          {.cache_namespace = namespaces.at(event.at(0).get<std::size_t>()),
           .segment = event.at(1).get<std::uint64_t>(),
           .tokens = event.at(2).get<std::uint32_t>()});
    }
    return update;
  } catch (const Json::exception&) {
    return std::nullopt;
  } catch (const std::out_of_range&) {
    return std::nullopt;  // An event names a namespace that is not listed.
  }
}

}  // namespace bluebellstep
