// Bookkeeping of the records since the last restore of the store.

#include "stream_versions/restored_records.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {
namespace {

// Whether all gateways are among `others`.
bool are_among(const GatewayNames& gateways, const GatewayNames& others) {
  return std::includes(others.begin(), others.end(), gateways.begin(), gateways.end());
}

GatewayNames without(const GatewayNames& gateways, const GatewayNames& excluded) {
  GatewayNames rest = gateways;
  std::erase_if(rest, [&](const std::string& name) { return excluded.contains(name); });
  return rest;
}

// A restore loses seconds, and the default version moves only long after the first step was stored.
// So it can have moved in what was lost only if the store still holds the first step, or no
// versions of the service at all. Then a gateway that heard of neither change nor restore may begin
// streams without a record until it gives up on the store.
Duration settle_time(const ServiceVersions* versions) {
  return versions == nullptr || versions->recorded_since != 0 ? VersionTablePlanner::kSettleTime
                                                              : BegunStreams::kLostStreamTime;
}

}  // namespace

void StreamSnapshot::add_record(const std::string& gateway,
                                const std::optional<StreamRecord>& record) {
  gateways.insert(gateway);
  if (!record || record->era != era) {
    outdated.insert(gateway);
  }
  if (!record || record->era != era || !record->complete) {
    incomplete.insert(gateway);
  }
  // A restored record may even name the version of an earlier attempt.
  if (record && record->era == era) {
    begun.insert(record->streams.begin(), record->streams.end());
  }
  unreadable = unreadable || !record;
}

void RestoredRecords::raise(std::uint64_t era, Instant since, GatewayNames gateways) {
  era_ = era;
  since_ = since;
  has_table_ = false;
  lost_nothing_ = false;
  gateways_before_ = std::move(gateways);
  listed_.clear();
  written_.clear();
  complete_.clear();
}

void RestoredRecords::apply(const StreamSnapshot& snapshot, const VersionTable& table) {
  if (snapshot.era != era_) {
    return;
  }
  // Two tables of an earlier era may have the same epoch, as an old write may be carried out late.
  has_table_ = snapshot.table.value_or(VersionTable()) == table;
  // A gateway that knew of none before takes a system without tables and records of earlier eras
  // for a new one.
  lost_nothing_ = snapshot.table
                      ? snapshot.table->first_era == era_
                      : table.epoch == 0 && gateways_before_.empty() && snapshot.outdated.empty();
  listed_ = snapshot.gateways;
  written_ = without(listed_, snapshot.outdated);
  complete_ = without(listed_, snapshot.incomplete);
}

bool RestoredRecords::is_written(std::string_view gateway, Instant now) const {
  return lost_nothing() || written_.contains(gateway) ||
         now >= since_ + VersionTablePlanner::kSettleTime;
}

bool RestoredRecords::has_all_records(const GatewayNames& registered) const {
  return has_table_ && !listed_.empty() && are_among(listed_, complete_) &&
         are_among(registered, complete_) && are_among(gateways_before_, complete_);
}

bool RestoredRecords::is_complete(const ServiceVersions* versions,
                                  const GatewayNames& registered,
                                  Instant now) const {
  return lost_nothing() || has_all_records(registered) ||
         (has_table_ && now >= since_ + settle_time(versions));
}

bool RestoredRecords::is_complete(const VersionTable& table,
                                  const GatewayNames& registered,
                                  Instant now) const {
  if (table.services.empty()) {
    return is_complete(nullptr, registered, now);
  }
  return std::all_of(table.services.begin(), table.services.end(), [&](const auto& service) {
    return is_complete(&service.second, registered, now);
  });
}

}  // namespace bluebellstep
