// Encoding of the table of versions, and the decision when it changes.

#include "stream_versions/version_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_text.h"

namespace bluebellstep {
namespace {

// Returns the version with the most upstreams that accept requests; the first by name among equals.
const std::string& most_common(const VersionCounts& counts) {
  return std::max_element(counts.begin(), counts.end(),
                          [](const auto& a, const auto& b) { return a.second < b.second; })
      ->first;
}

}  // namespace

const ServiceVersions* VersionTable::find(std::string_view service) const {
  const auto found = services.find(service);
  return found == services.end() ? nullptr : &found->second;
}

bool supersedes(const VersionTable& table, const VersionTable& known) {
  const auto same_era = [](std::uint64_t a, std::uint64_t b) {
    return a / first_epoch(1) == b / first_epoch(1);
  };
  return table.epoch > known.epoch &&
         (same_era(table.epoch, known.epoch) || table.includes >= known.epoch);
}

VersionTable written_again(const VersionTable& table,
                           std::uint64_t listed_epoch,
                           std::uint64_t era) {
  VersionTable again = table;
  again.epoch = next_epoch(std::max(table.epoch, listed_epoch), era);
  if (table.epoch >= first_epoch(era)) {
    return again;
  }
  again.includes = table.epoch;
  for (auto& [service, versions] : again.services) {
    if (versions.recorded_since != 0) {
      versions.recorded_since = again.epoch;
    }
    for (auto& [version, state] : versions.admitted) {
      state.epoch = again.epoch;
    }
  }
  return again;
}

std::string encode_version_table(const VersionTable& table) {
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [name, versions] : table.services) {
    nlohmann::json admitted = nlohmann::json::object();
    for (const auto& [version, state] : versions.admitted) {
      admitted[version] = {{"epoch", state.epoch}, {"withdrawn", state.withdrawn}};
    }
    services[name] = {{"default", versions.default_version},
                      {"recorded_since", versions.recorded_since},
                      {"admitted", std::move(admitted)}};
  }
  return nlohmann::json{{"epoch", table.epoch},
                        {"includes", table.includes},
                        {"first_era", table.first_era},
                        {"services", std::move(services)}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<VersionTable> decode_version_table(std::string_view text) {
  const auto json = parse_json(text);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    // Earlier versions of this program knew no eras.
    VersionTable table{
        .epoch = read_json_count(json.at("epoch")),
        .includes = json.contains("includes") ? read_json_count(json.at("includes")) : 0,
        .first_era = json.contains("first_era") ? read_json_count(json.at("first_era")) : 0};
    for (const auto& [name, item] : json.at("services").items()) {
      ServiceVersions& versions = table.services[name];
      versions.default_version = item.at("default").get<std::string>();
      versions.recorded_since = read_json_count(item.at("recorded_since"));
      for (const auto& [version, state] : item.at("admitted").items()) {
        versions.admitted[version] = {.epoch = read_json_count(state.at("epoch")),
                                      .withdrawn = state.at("withdrawn").get<bool>()};
      }
    }
    return table;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

void VersionTablePlanner::set_counts(std::map<std::string, VersionCounts, std::less<>> counts,
                                     Instant now) {
  // A version has been gone since the counts that first lacked it.
  for (const auto& [service, versions] : counts_) {
    for (const auto& [version, count] : versions) {
      last_seen_[service][version] = now;
    }
  }
  counts_ = std::move(counts);
  for (const auto& [service, versions] : counts_) {
    known_since_.try_emplace(service, now);
  }
}

bool VersionTablePlanner::is_gone(std::string_view service,
                                  std::string_view version,
                                  Instant now) const {
  const auto counts = counts_.find(service);
  if (counts == counts_.end() || counts->second.contains(version)) {
    return false;
  }
  // A gateway that has just started may not have heard of all upstreams yet.
  Instant gone_since = known_since_.find(service)->second;
  if (const auto versions = last_seen_.find(service); versions != last_seen_.end()) {
    if (const auto seen = versions->second.find(version); seen != versions->second.end()) {
      gone_since = seen->second;
    }
  }
  return now >= gone_since + kGone;
}

void VersionTablePlanner::plan_service(const std::string& service,
                                       const VersionCounts& counts,
                                       ServiceVersions& versions,
                                       std::uint64_t next_epoch,
                                       const KnownFor& known_for,
                                       Instant now) const {
  for (const auto& [version, count] : counts) {
    if (version == versions.default_version) {
      continue;
    }
    const auto [admitted, added] = versions.admitted.try_emplace(version);
    if (added || admitted->second.withdrawn) {
      admitted->second = {.epoch = next_epoch};
    }
  }
  for (auto& [version, state] : versions.admitted) {
    if (!state.withdrawn && is_gone(service, version, now)) {
      state = {.epoch = next_epoch, .withdrawn = true};
    }
  }
  std::erase_if(versions.admitted, [&](const auto& entry) {
    return entry.second.withdrawn && known_for(entry.second.epoch) >= kSettleTime;
  });
  if (counts.contains(versions.default_version)) {
    versions.recorded_since = 0;
    return;
  }
  if (!is_gone(service, versions.default_version, now)) {
    return;
  }
  VersionCounts successors;
  for (const auto& [version, count] : counts) {
    const auto admitted = versions.admitted.find(version);
    if (admitted != versions.admitted.end() && admitted->second.epoch < next_epoch) {
      successors.emplace(version, count);
    }
  }
  if (successors.empty()) {
    return;
  }
  if (versions.recorded_since == 0) {
    versions.recorded_since = next_epoch;
  } else if (known_for(versions.recorded_since) >= kSettleTime) {
    versions.admitted[versions.default_version] = {.epoch = next_epoch, .withdrawn = true};
    versions.default_version = most_common(successors);
    versions.admitted.erase(versions.default_version);
    versions.recorded_since = 0;
  }
}

std::optional<VersionTable> VersionTablePlanner::plan(const VersionTable& table,
                                                      const KnownFor& known_for,
                                                      Instant now) const {
  VersionTable planned = table;
  planned.epoch = next_epoch(table.epoch, era_);
  planned.includes = first_epoch(era_);
  planned.first_era = table.epoch == 0 ? era_ : table.first_era;
  for (const auto& [service, counts] : counts_) {
    if (counts.empty()) {
      continue;
    }
    const auto [versions, added] = planned.services.try_emplace(service);
    if (added) {
      // Gateways do not tell each other of a table that admits nothing, so that others follow
      // later.
      versions->second.default_version = most_common(counts);
      continue;
    }
    plan_service(service, counts, versions->second, planned.epoch, known_for, now);
  }
  return planned.services == table.services ? std::nullopt : std::optional(std::move(planned));
}

}  // namespace bluebellstep
