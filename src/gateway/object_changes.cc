// Encodes and decodes the messages as JSON.

#include "gateway/object_changes.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_text.h"
#include "http1/message_parser.h"

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kKnownParameter = "?known=";
constexpr std::string_view kWaitParameter = "&wait_ms=";
// Followers wait for about a second.
constexpr std::uint64_t kMaxWaitMs = 10'000;

Json encode_object(const platform::StoredObject& object) {
  return {object.name, encode_revision(object.revision), object.content};
}

platform::StoredObject decode_object(const Json& json) {
  return {.name = json.at(0).get<std::string>(),
          .revision = decode_revision(json.at(1)),
          .content = json.at(2).get<std::string>()};
}

Json encode_kind(const KindChanges& kind) {
  Json changed = Json::array();
  Json removed = Json::array();
  for (const platform::ObjectChange& change : kind.changes) {
    (change.removed ? removed : changed).push_back(encode_object(change.object));
  }
  Json gaps = Json::array();
  for (const RevisionGap& gap : kind.gaps) {
    gaps.push_back({encode_revision(gap.from), encode_revision(gap.to)});
  }
  return {{"kind", static_cast<int>(kind.kind)},
          {"revision", encode_revision(kind.revision)},
          {"objects", std::move(changed)},
          {"removed", std::move(removed)},
          {"gaps", std::move(gaps)}};
}

KindChanges decode_kind(const Json& json) {
  KindChanges kind{.kind = static_cast<platform::ObjectKind>(json.at("kind").get<int>()),
                   .revision = decode_revision(json.at("revision"))};
  for (const Json& object : json.at("objects")) {
    kind.changes.push_back({.object = decode_object(object), .removed = false});
  }
  for (const Json& object : json.at("removed")) {
    kind.changes.push_back({.object = decode_object(object), .removed = true});
  }
  if (const auto gaps = json.find("gaps"); gaps != json.end()) {
    for (const Json& gap : *gaps) {
      kind.gaps.push_back({.from = decode_revision(gap.at(0)), .to = decode_revision(gap.at(1))});
    }
  }
  return kind;
}

}  // namespace

nlohmann::json encode_returned_zones(const std::vector<ReturnedZone>& zones) {
  Json json = Json::array();
  for (const ReturnedZone& zone : zones) {
    json.push_back({zone.zone, zone.ago.ms});
  }
  return json;
}

std::vector<ReturnedZone> decode_returned_zones(const nlohmann::json& json) {
  std::vector<ReturnedZone> zones;
  for (const Json& zone : json) {
    zones.push_back({zone.at(0).get<std::string>(), Duration{zone.at(1).get<std::int64_t>()}});
  }
  return zones;
}

nlohmann::json encode_passed_view(const PassedView& view) {
  return Json::array({view.since_ago.ms, view.as_of_ago.ms, view.after_gap});
}

PassedView decode_passed_view(const nlohmann::json& json) {
  return {.since_ago = Duration{json.at(0).get<std::int64_t>()},
          .as_of_ago = Duration{json.at(1).get<std::int64_t>()},
          .after_gap = json.at(2).get<bool>()};
}

// Era 0 is written as earlier versions write revisions.
nlohmann::json encode_revision(const StoreRevision& revision) {
  return revision.era == 0 ? Json(revision.number) : Json(to_string(revision));
}

StoreRevision decode_revision(const nlohmann::json& json) {
  if (json.is_string()) {
    return parse_store_revision(json.get<std::string>()).value_or(StoreRevision{});
  }
  return {.number = json.get<std::uint64_t>()};
}

std::string encode_known_revisions(const KnownRevisions& known) {
  std::string text;
  for (const StoreRevision& revision : known) {
    text.append(to_string(revision)).append(",");
  }
  return text;
}

KnownRevisions decode_known_revisions(std::string_view text) {
  KnownRevisions known;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    known.push_back(parse_store_revision(text.substr(0, comma)).value_or(StoreRevision{}));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return known;
}

std::string encode_changes_query(const ChangesQuery& query) {
  std::string path(kChangesPath);
  path.append(kKnownParameter).append(encode_known_revisions(query.known));
  return path.append(kWaitParameter).append(std::to_string(query.wait.ms));
}

ChangesQuery decode_changes_query(std::string_view path) {
  ChangesQuery query;
  const std::size_t wait = path.find(kWaitParameter);
  if (wait != std::string_view::npos) {
    const auto wait_ms = parse_decimal(path.substr(wait + kWaitParameter.size()));
    query.wait.ms = static_cast<std::int64_t>(std::min(wait_ms.value_or(0), kMaxWaitMs));
    path = path.substr(0, wait);
  }
  const std::size_t known = path.find(kKnownParameter);
  if (known != std::string_view::npos) {
    query.known = decode_known_revisions(path.substr(known + kKnownParameter.size()));
  }
  return query;
}

std::string encode_changes_answer(const ChangesAnswer& answer) {
  Json kinds = Json::array();
  for (const KindChanges& kind : answer.kinds) {
    kinds.push_back(encode_kind(kind));
  }
  Json json = {{"current", answer.current},
               {"age_ms", answer.age.ms},
               {"era", answer.era},
               {"kinds", std::move(kinds)}};
  if (answer.view) {
    json["view"] = encode_passed_view(*answer.view);
  }
  if (!answer.returned_zones.empty()) {
    json["returned_zones"] = encode_returned_zones(answer.returned_zones);
  }
  if (!answer.beliefs.empty()) {
    json["beliefs"] = encode_beliefs(answer.beliefs);
  }
  if (!answer.left_upstreams.empty()) {
    json["left"] = answer.left_upstreams;
  }
  // Names may come from other writers; a message must not be lost because of one.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ChangesAnswer> decode_changes_answer(std::string_view text) {
  const Json json = parse_json(text);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    ChangesAnswer answer{.current = json.at("current").get<bool>(),
                         .age = Duration{json.at("age_ms").get<std::int64_t>()},
                         .era = json.value("era", std::uint64_t{0})};
    if (const auto view = json.find("view"); view != json.end()) {
      answer.view = decode_passed_view(*view);
    }
    if (const auto zones = json.find("returned_zones"); zones != json.end()) {
      answer.returned_zones = decode_returned_zones(*zones);
    }
    if (const auto beliefs = json.find("beliefs"); beliefs != json.end()) {
      answer.beliefs = decode_beliefs(*beliefs);
    }
    answer.left_upstreams = json.value("left", std::vector<std::string>());
    for (const Json& kind : json.at("kinds")) {
      answer.kinds.push_back(decode_kind(kind));
    }
    return answer;
  } catch (const Json::exception&) {
    return std::nullopt;  // Of a gateway of another version; the store is read directly instead.
  }
}

}  // namespace bluebellstep
