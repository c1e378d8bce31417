// Decisions on the versions of streams.

#include "stream_versions/stream_version_directory.h"

#include <algorithm>

namespace bluebellstep {
namespace {

// Interval between removals of the streams that have expired.
constexpr Duration kRemovalInterval{1000};

}  // namespace

bool StreamVersionDirectory::apply_table(const VersionTable& table, Instant now) {
  if (!supersedes(table, table_)) {
    return false;
  }
  table_ = table;
  learned_at_ = now;
  return true;
}

void StreamVersionDirectory::apply_snapshot(const StreamSnapshot& snapshot,
                                            Instant asked_at,
                                            Instant now) {
  if (snapshot.era != records_.era()) {
    return;  // From before a restore.
  }
  if (snapshot.table) {
    apply_table(*snapshot.table, now);
  }
  // A list that was asked for before the last one may lack gateways that the last one has.
  if (asked_at >= gateways_as_of_) {
    gateways_as_of_ = asked_at;
    listed_gateways_ = snapshot.gateways;
    listed_at_ = now;
    records_.apply(snapshot, table_);
  }
}

void StreamVersionDirectory::start_in_era(std::uint64_t era, Instant since) {
  records_.raise(era, since, {});
}

void StreamVersionDirectory::raise_era(std::uint64_t era, Instant since, Instant now) {
  if (era <= records_.era()) {
    return;
  }
  GatewayNames gateways = listed_gateways_;
  gateways.insert(registered_.begin(), registered_.end());
  for (const auto& [name, peer] : peers_) {
    if (now <= peer.heard_at + kTrustWithoutStore) {
      gateways.insert(name);
    }
  }
  records_.raise(era, since, std::move(gateways));
  in_force_epoch_ = 0;
  known_since_.clear();
}

std::optional<VersionTable> StreamVersionDirectory::lost_table(
    const std::optional<VersionTable>& listed) const {
  const VersionTable stored = listed.value_or(VersionTable());
  if (stored == table_ || needs_gateways() || supersedes(stored, table_) ||
      (records_.era() == 0 && stored.epoch >= table_.epoch)) {
    return std::nullopt;
  }
  return written_again(table_, stored.epoch, records_.era());
}

GatewayNames StreamVersionDirectory::all_gateways(Instant now) const {
  GatewayNames names = listed_gateways_;
  if (now < records_.since() + VersionTablePlanner::kSettleTime) {
    const GatewayNames& before = records_.gateways_before();
    names.insert(before.begin(), before.end());
  }
  return names;
}

bool StreamVersionDirectory::admits_any() const {
  return std::any_of(table_.services.begin(), table_.services.end(),
                     [](const auto& service) { return !service.second.admitted.empty(); });
}

bool StreamVersionDirectory::record_report(std::string_view gateway,
                                           std::uint64_t epoch,
                                           Instant now) {
  if (now > report_at_ + kMaxReportGap) {
    report_gap_end_ = now;
  }
  report_at_ = now;
  auto found = peers_.find(gateway);
  if (found == peers_.end()) {
    std::erase_if(peers_, [now](const auto& entry) {
      return now > entry.second.heard_at + kTrustWithoutStore;
    });
    found = peers_.emplace(gateway, Peer{}).first;
  }
  // Not the highest one: a gateway that starts again may know an older table than before.
  found->second = {.heard_at = now, .epoch = std::max<std::uint64_t>(1, epoch)};
  return epoch > table_.epoch;
}

const StreamVersionDirectory::Peer* StreamVersionDirectory::find_peer(std::string_view name) const {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : &found->second;
}

bool StreamVersionDirectory::is_in_force(std::uint64_t epoch, Instant now) {
  if (epoch <= in_force_epoch_) {
    return true;
  }
  if (needs_gateways() || !listed_gateways_.contains(own_name_) || !records_.has_table() ||
      !records_.is_written(own_name_, now)) {
    return false;
  }
  const bool counts_silence = !joined_at_ || now >= *joined_at_ + kNewcomerTime;
  for (const std::string& name : all_gateways(now)) {
    const Peer* peer = find_peer(name);
    const Instant quiet_since =
        std::max({learned_at_, records_.since(), peer == nullptr ? Instant{} : peer->heard_at});
    const bool knows = peer != nullptr && peer->epoch >= epoch && records_.is_written(name, now);
    const bool is_silent = counts_silence && now >= quiet_since + kSilence;
    if (name != own_name_ && !knows && !is_silent) {
      return false;
    }
  }
  in_force_epoch_ = epoch;
  return true;
}

Duration StreamVersionDirectory::known_for(std::uint64_t epoch, Instant now) {
  const GatewayNames gateways = all_gateways(now);
  const bool all_know = !needs_gateways() && epoch <= table_.epoch &&
                        listed_gateways_.contains(own_name_) && records_.has_table() &&
                        std::all_of(gateways.begin(), gateways.end(), [&](const std::string& name) {
                          const Peer* peer = find_peer(name);
                          return name == own_name_ || (peer != nullptr && peer->epoch >= epoch);
                        });
  const auto known = known_since_.find(epoch);
  if (known != known_since_.end()) {
    return now - known->second;
  }
  if (all_know) {
    known_since_.emplace(epoch, now);
  }
  return Duration{0};
}

bool StreamVersionDirectory::trusts_table(Instant now) const {
  if (table_.epoch == 0 || !listed_gateways_.contains(own_name_) ||
      now > store_answered_at_ + kTrustWithoutStore || now < report_gap_end_ + kSilence) {
    return false;
  }
  const auto agrees = [this, now](const std::string& name) {
    const Peer* peer = find_peer(name);
    return name == own_name_ ||
           (peer != nullptr && now <= peer->heard_at + kHeardWithin && peer->epoch == table_.epoch);
  };
  return std::none_of(peers_.begin(), peers_.end(),
                      [this](const auto& entry) { return entry.second.epoch > table_.epoch; }) &&
         std::all_of(listed_gateways_.begin(), listed_gateways_.end(), agrees) &&
         std::all_of(registered_.begin(), registered_.end(), agrees);
}

bool StreamVersionDirectory::is_outdated(Instant now) const {
  const bool is_listed = listed_gateways_.contains(own_name_);
  // A gateway that others do not wait for knows only that the table held when it learned it.
  const Instant held_at = is_listed ? std::max(store_answered_at_, learned_at_) : learned_at_;
  return now >= held_at + kMaxWithoutStore;
}

BeginRule StreamVersionDirectory::begin_rule(std::string_view service,
                                             std::string_view version,
                                             bool can_record,
                                             Instant now) {
  const ServiceVersions* versions = table_.find(service);
  if (versions == nullptr || is_outdated(now)) {
    return BeginRule::kForbidden;
  }
  const BeginRule if_recorded = can_record ? BeginRule::kRecorded : BeginRule::kForbidden;
  if (version == versions->default_version) {
    return versions->recorded_since == 0 ? BeginRule::kFree : if_recorded;
  }
  const auto admitted = versions->admitted.find(version);
  const bool may_begin = admitted != versions->admitted.end() && !admitted->second.withdrawn &&
                         is_in_force(admitted->second.epoch, now);
  return may_begin ? if_recorded : BeginRule::kForbidden;
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
  for (const auto& [version, state] : versions->admitted) {
    add(version);
  }
  return usable;
}

void StreamVersionDirectory::note_begun(StreamKey stream,
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
  if (versions != nullptr && versions->admitted.empty() && trusts_table(now) &&
      records_.is_complete(versions, registered_, now)) {
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
  if (snapshot.era != records_.era()) {
    return UnknownVersion{"store_restored"};
  }
  if (*snapshot.table != table_) {
    // The store holds an older state than it did: records may be gone too.
    return UnknownVersion{"older_version_table"};
  }
  if (!records_.is_complete(versions, registered_, listed_at_)) {
    return UnknownVersion{"store_restored"};
  }
  if (snapshot.unreadable) {
    return UnknownVersion{"record_unreadable"};
  }
  if (!stream && !versions->admitted.empty()) {
    return UnknownVersion{"stream_not_named"};
  }
  return KnownVersion{versions->default_version};
}

}  // namespace bluebellstep
