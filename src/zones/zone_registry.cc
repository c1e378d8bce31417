// Merges zone states.

#include "zones/zone_registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bluebellstep {
namespace {

// Whether `a` replaces `b`. At equal serials, out of service takes precedence.
bool takes_precedence(const ZoneState& a, const ZoneState& b) {
  return a.serial != b.serial ? a.serial > b.serial : !a.in_service && b.in_service;
}

std::string_view result_name(ZoneNoticeResult result) {
  switch (result) {
    case ZoneNoticeResult::kApplied:
      return "applied";
    case ZoneNoticeResult::kKnown:
      return "known";
    case ZoneNoticeResult::kOlder:
      return "older";
    case ZoneNoticeResult::kInvalid:
      return "invalid";
  }
  return "invalid";
}

}  // namespace

void ZoneRegistry::apply_bundle(const Bundle& bundle, Instant now) {
  for (const BundleZone& zone : bundle.zones) {
    const ZoneState next{zone.in_service, zone.serial};
    const auto found = zones_.find(zone.name);
    if (found == zones_.end() || takes_precedence(next, found->second.state)) {
      set_state(zone.name, next, std::nullopt, now);
    } else if (next.serial == found->second.state.serial &&
               next.in_service == found->second.state.in_service) {
      found->second.notice.reset();
    }
  }
}

ZoneNoticeResult ZoneRegistry::apply_notice(const ZoneNotice& notice, Instant now) {
  const ZoneState next{notice.in_service, notice.serial};
  const auto found = zones_.find(notice.zone);
  // Each heartbeat contains the notices in force. Those that change nothing need no signature
  // check.
  if (found != zones_.end() && !takes_precedence(next, found->second.state)) {
    const ZoneState& current = found->second.state;
    const bool same = current.serial == next.serial && current.in_service == next.in_service;
    return same ? ZoneNoticeResult::kKnown : ZoneNoticeResult::kOlder;
  }
  if (!verify_zone_notice(operators_, notice)) {
    return ZoneNoticeResult::kInvalid;
  }
  set_state(notice.zone, next, notice, now);
  return ZoneNoticeResult::kApplied;
}

void ZoneRegistry::set_state(std::string_view name,
                             ZoneState next,
                             std::optional<ZoneNotice> notice,
                             Instant now) {
  const auto [found, inserted] = zones_.try_emplace(std::string(name));
  Zone& zone = found->second;
  if (!inserted && next.in_service && !zone.state.in_service) {
    zone.returned_at = now;
  }
  zone.state = next;
  zone.notice = std::move(notice);
}

bool ZoneRegistry::in_service(std::string_view zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.state.in_service;
}

std::optional<ZoneState> ZoneRegistry::state(std::string_view zone) const {
  const auto found = zones_.find(zone);
  return found == zones_.end() ? std::nullopt : std::optional(found->second.state);
}

double ZoneRegistry::load_factor(std::string_view name, Instant now) const {
  const auto found = zones_.find(name);
  if (found == zones_.end() || !found->second.state.in_service) {
    return 0;
  }
  if (!found->second.returned_at) {
    return 1;
  }
  const Duration since = now - *found->second.returned_at;
  return std::clamp(static_cast<double>(since.ms) / static_cast<double>(kRampDuration.ms),
                    kInitialLoadFactor, 1.0);
}

std::vector<ZoneNotice> ZoneRegistry::notices() const {
  std::vector<ZoneNotice> notices;
  for (const auto& [name, zone] : zones_) {
    if (zone.notice) {
      notices.push_back(*zone.notice);
    }
  }
  return notices;
}

ZoneNoticeAnswer answer_zone_notice(ZoneRegistry& registry, std::string_view body, Instant now) {
  const auto notice = zone_notice_from_json(body);
  if (!notice) {
    return {400, R"({"result":"not_a_notice"})", false};
  }
  const ZoneNoticeResult result = registry.apply_notice(*notice, now);
  nlohmann::json json = {{"result", result_name(result)}, {"zone", notice->zone}};
  if (const auto state = registry.state(notice->zone)) {
    json["state"] = state->in_service ? "in" : "out";
    json["serial"] = state->serial;
  }
  const int status = result == ZoneNoticeResult::kInvalid ? 403
                     : result == ZoneNoticeResult::kOlder ? 409
                                                          : 200;
  return {status, json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
          result == ZoneNoticeResult::kApplied};
}

}  // namespace bluebellstep
