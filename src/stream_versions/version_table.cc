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

std::string encode_version_table(const VersionTable& table) {
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [name, versions] : table.services) {
    nlohmann::json admitted = nlohmann::json::object();
    for (const auto& [version, epoch] : versions.admitted) {
      admitted[version] = epoch;
    }
    services[name] = {{"default", versions.default_version}, {"admitted", std::move(admitted)}};
  }
  return nlohmann::json{{"epoch", table.epoch}, {"services", std::move(services)}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<VersionTable> decode_version_table(std::string_view text) {
  const auto json = parse_json(text);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    VersionTable table{.epoch = read_json_count(json.at("epoch"))};
    for (const auto& [name, item] : json.at("services").items()) {
      ServiceVersions& versions = table.services[name];
      versions.default_version = item.at("default").get<std::string>();
      for (const auto& [version, epoch] : item.at("admitted").items()) {
        versions.admitted.emplace(version, read_json_count(epoch));
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
  first_counts_at_ = first_counts_at_.value_or(now);
}

Duration VersionTablePlanner::absence(std::string_view service,
                                      std::string_view version,
                                      Instant now) const {
  const auto counts = counts_.find(service);
  if (!first_counts_at_ || (counts != counts_.end() && counts->second.contains(version))) {
    return Duration{0};
  }
  const auto versions = last_seen_.find(service);
  if (versions != last_seen_.end()) {
    if (const auto seen = versions->second.find(version); seen != versions->second.end()) {
      return now - seen->second;
    }
  }
  return now - *first_counts_at_;
}

void VersionTablePlanner::plan_service(const std::string& service,
                                       const VersionCounts& counts,
                                       ServiceVersions& versions,
                                       std::uint64_t next_epoch,
                                       Instant now) const {
  for (const auto& [version, count] : counts) {
    if (version != versions.default_version) {
      versions.admitted.try_emplace(version, next_epoch);
    }
  }
  if (absence(service, versions.default_version, now) >= kDefaultGone) {
    // Only a version that was admitted before: streams that began at it are recorded.
    VersionCounts successors;
    for (const auto& [version, count] : counts) {
      const auto admitted = versions.admitted.find(version);
      if (admitted != versions.admitted.end() && admitted->second < next_epoch) {
        successors.emplace(version, count);
      }
    }
    if (!successors.empty()) {
      versions.default_version = most_common(successors);
      versions.admitted.erase(versions.default_version);
    }
  }
  std::erase_if(versions.admitted, [&](const auto& admitted) {
    return absence(service, admitted.first, now) >= kAdmittedGone;
  });
}

std::optional<VersionTable> VersionTablePlanner::plan(const VersionTable& table,
                                                      Instant now) const {
  VersionTable planned = table;
  planned.epoch = table.epoch + 1;
  for (const auto& [service, counts] : counts_) {
    if (counts.empty()) {
      continue;
    }
    const auto [versions, added] = planned.services.try_emplace(service);
    if (added) {
      versions->second.default_version = most_common(counts);
    }
    plan_service(service, counts, versions->second, planned.epoch, now);
  }
  return planned.services == table.services ? std::nullopt : std::optional(std::move(planned));
}

}  // namespace bluebellstep
