// Encodes and decodes beliefs as arrays.

#include "retained_objects/belief_format.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

std::optional<RetentionReason> parse_reason(const std::string& text) {
  constexpr std::array kReasons = {RetentionReason::kLeaving, RetentionReason::kRemoved,
                                   RetentionReason::kMissing, RetentionReason::kOlder};
  const auto found = std::find_if(kReasons.begin(), kReasons.end(), [&](RetentionReason reason) {
    return to_string(reason) == text;
  });
  return found == kReasons.end() ? std::nullopt : std::optional(*found);
}

Json encode_belief(const RetainedBelief& belief) {
  return Json::array({belief.name, to_string(belief.reason), belief.contradicted_by.era,
                      belief.contradicted_by.number, belief.content, belief.left.ms});
}

}  // namespace

nlohmann::json encode_beliefs(const std::vector<KindBeliefs>& kinds) {
  Json json = Json::array();
  for (const KindBeliefs& kind : kinds) {
    Json beliefs = Json::array();
    std::transform(kind.beliefs.begin(), kind.beliefs.end(), std::back_inserter(beliefs),
                   encode_belief);
    json.push_back({static_cast<int>(kind.kind), std::move(beliefs)});
  }
  return json;
}

std::vector<KindBeliefs> decode_beliefs(const nlohmann::json& json) {
  std::vector<KindBeliefs> kinds;
  for (const Json& kind : json) {
    KindBeliefs decoded{.kind = static_cast<platform::ObjectKind>(kind.at(0).get<int>())};
    for (const Json& belief : kind.at(1)) {
      if (const auto reason = parse_reason(belief.at(1).get<std::string>())) {
        decoded.beliefs.push_back({.name = belief.at(0).get<std::string>(),
                                   .reason = *reason,
                                   .contradicted_by = {.number = belief.at(3).get<std::uint64_t>(),
                                                       .era = belief.at(2).get<std::uint64_t>()},
                                   .content = belief.at(4).get<std::string>(),
                                   .left = Duration{belief.at(5).get<std::int64_t>()}});
      }
    }
    kinds.push_back(std::move(decoded));
  }
  return kinds;
}

}  // namespace bluebellstep
