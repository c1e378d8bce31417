// Decisions on the versions of streams.

#include "stream_versions/stream_version_directory.h"

#include <algorithm>

namespace bluebellstep {
namespace {

// Interval between removals of the streams that have expired.
constexpr Duration kRemovalInterval{1000};

}  // namespace

bool StreamVersionDirectory::apply_table(const VersionTable& table, Instant now) {
  if (table.epoch <= table_.epoch) {
    return false;
  }
  table_ = table;
  learned_at_ = {table.epoch, now};
  return true;
}

void StreamVersionDirectory::apply_snapshot(const StreamSnapshot& snapshot,
                                            Instant asked_at,
                                            Instant now) {
  if (snapshot.table) {
    apply_table(*snapshot.table, now);
  }
  // A list that was asked for before the last one may lack gateways that the last one has.
  if (asked_at >= gateways_as_of_) {
    gateways_as_of_ = asked_at;
    listed_gateways_ = snapshot.gateways;
  }
}

bool StreamVersionDirectory::record_report(std::string_view gateway,
                                           std::uint64_t epoch,
                                           Instant now) {
  auto found = heard_gateways_.find(gateway);
  if (found == heard_gateways_.end()) {
    found = heard_gateways_.emplace(gateway, Gateway{}).first;
  }
  found->second.heard_at = now;
  found->second.epoch = std::max(found->second.epoch, epoch);
  contact_at_ = now;
  return epoch > table_.epoch;
}

bool StreamVersionDirectory::is_in_force(std::uint64_t epoch, Instant now) {
  if (epoch <= in_force_epoch_) {
    return true;
  }
  if (needs_gateways()) {
    return false;
  }
  for (const std::string& name : listed_gateways_) {
    const auto found = heard_gateways_.find(name);
    const Gateway gateway = found == heard_gateways_.end() ? Gateway{} : found->second;
    const Instant quiet_since =
        std::max(learned_at_.second, gateway.heard_at.value_or(learned_at_.second));
    if (name != own_name_ && gateway.epoch < table_.epoch && now < quiet_since + kSilence) {
      return false;
    }
  }
  in_force_epoch_ = table_.epoch;
  return true;
}

bool StreamVersionDirectory::trusts_table(Instant now) const {
  if (table_.epoch == 0 || !listed_gateways_.contains(own_name_)) {
    return false;
  }
  const bool any_newer =
      std::any_of(heard_gateways_.begin(), heard_gateways_.end(),
                  [this](const auto& entry) { return entry.second.epoch > table_.epoch; });
  return !any_newer && std::all_of(listed_gateways_.begin(), listed_gateways_.end(),
                                   [this, now](const std::string& name) {
                                     const auto found = heard_gateways_.find(name);
                                     return name == own_name_ ||
                                            (found != heard_gateways_.end() &&
                                             now <= *found->second.heard_at + kHeardWithin);
                                   });
}

bool StreamVersionDirectory::is_alone(Instant now) const {
  const bool has_others =
      std::any_of(listed_gateways_.begin(), listed_gateways_.end(),
                  [this](const std::string& name) { return name != own_name_; });
  return has_others && now > contact_at_ + kMaxAlone;
}

BeginRule StreamVersionDirectory::begin_rule(std::string_view service,
                                             std::string_view version,
                                             bool can_record,
                                             Instant now) {
  const ServiceVersions* versions = table_.find(service);
  if (versions == nullptr || is_alone(now)) {
    return BeginRule::kForbidden;
  }
  if (version == versions->default_version) {
    return BeginRule::kFree;
  }
  const auto admitted = versions->admitted.find(version);
  if (admitted == versions->admitted.end() || !can_record || !is_in_force(admitted->second, now)) {
    return BeginRule::kForbidden;
  }
  return BeginRule::kRecorded;
}

std::vector<std::string> StreamVersionDirectory::usable_versions(std::string_view service,
                                                                 bool can_record,
                                                                 Instant now) {
  std::vector<std::string> usable;
  const ServiceVersions* versions = table_.find(service);
  if (versions == nullptr) {
    return usable;
  }
  const auto add = [&](const std::string& version) {
    if (begin_rule(service, version, can_record, now) != BeginRule::kForbidden) {
      usable.push_back(version);
    }
  };
  add(versions->default_version);
  for (const auto& [version, epoch] : versions->admitted) {
    add(version);
  }
  return usable;
}

void StreamVersionDirectory::record_begun(StreamKey stream,
                                          std::string_view version,
                                          Instant expires_at,
                                          Instant now) {
  if (now >= next_removal_) {
    next_removal_ = now + kRemovalInterval;
    std::erase_if(begun_, [now](const auto& entry) { return entry.second.expires_at <= now; });
  }
  begun_[stream] = {.version = std::string(version), .expires_at = expires_at};
}

const std::string* StreamVersionDirectory::find_begun(std::optional<StreamKey> stream) const {
  const auto found = stream ? begun_.find(*stream) : begun_.end();
  return found == begun_.end() ? nullptr : &found->second.version;
}

StreamBelief StreamVersionDirectory::belief(std::string_view service,
                                            std::optional<StreamKey> stream,
                                            Instant now) const {
  if (const std::string* version = find_begun(stream)) {
    return KnownVersion{*version};
  }
  const ServiceVersions* versions = table_.find(service);
  if (versions != nullptr && versions->admitted.empty() && trusts_table(now)) {
    return KnownVersion{versions->default_version};
  }
  return AskStore{};
}

StreamBelief StreamVersionDirectory::belief(std::string_view service,
                                            std::optional<StreamKey> stream,
                                            const StreamSnapshot& snapshot) const {
  if (const std::string* version = find_begun(stream)) {
    return KnownVersion{*version};
  }
  const auto begun = stream ? snapshot.begun.find(*stream) : snapshot.begun.end();
  if (begun != snapshot.begun.end()) {
    return KnownVersion{begun->second};
  }
  const ServiceVersions* versions = snapshot.table ? snapshot.table->find(service) : nullptr;
  if (versions == nullptr) {
    return UnknownVersion{"no_version_table"};
  }
  if (snapshot.table->epoch < table_.epoch) {
    // The store holds an older state than it did: records may be gone too.
    return UnknownVersion{"older_version_table"};
  }
  if (!stream && !versions->admitted.empty()) {
    return UnknownVersion{"stream_not_named"};
  }
  return KnownVersion{versions->default_version};
}

}  // namespace bluebellstep
