// Sums of outcomes, and the format of the datagrams.

#include "service_rollout/version_evidence.h"

#include <algorithm>
#include <utility>

#include "gateway/datagram_format.h"

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kTag = "version";
// Later versions may append fields.
constexpr std::size_t kMinFields = 11;
// Position of the first bucket in the outcomes of a route and version.
constexpr std::size_t kFirstBucket = 4;
// Position of the creation revisions of earlier writes of the order, after the flags.
constexpr std::size_t kFirstEarlierCreated = 2;
// A report with more entries is not one of a gateway.
constexpr std::size_t kMaxEntries = 1000;

void add(RouteOutcomes& sum, const RouteOutcomes& added) {
  for (const auto& [route, outcomes] : added) {
    RouteComparison& entry = sum[route];
    entry.route = route;
    entry.old_version += outcomes.old_version;
    entry.new_version += outcomes.new_version;
  }
}

void add(PhaseOutcomes& sum, const PhaseOutcomes& added) {
  for (std::size_t i = 0; i < kRolloutPhases; ++i) {
    add(sum[i], added[i]);
  }
}

RouteOutcomes sum_of(const PhaseOutcomes& phases) {
  RouteOutcomes sum;
  for (const RouteOutcomes& phase : phases) {
    add(sum, phase);
  }
  return sum;
}

std::uint64_t count(const PhaseOutcomes& outcomes) {
  std::uint64_t sum = 0;
  for (const auto& [route, entry] : sum_of(outcomes)) {
    sum += entry.old_version.answers + entry.new_version.answers;
  }
  return sum;
}

// Datagrams may be nested three deep, so the buckets are listed in the entry itself. The second
// element is the phase and the version.
void encode_outcomes(const std::string& route,
                     std::size_t phase,
                     bool new_version,
                     const VersionOutcomes& outcomes,
                     Json& out) {
  if (outcomes.answers == 0) {
    return;
  }
  Json entry{route, 2 * phase + (new_version ? 1 : 0), outcomes.answers, outcomes.failures};
  for (std::size_t i = 0; i < LatencyHistogram::kBuckets; ++i) {
    if (outcomes.latency.counts[i] > 0) {
      entry.push_back(i);
      entry.push_back(outcomes.latency.counts[i]);
    }
  }
  out.push_back(std::move(entry));
}

void decode_outcomes(const Json& entry, PhaseOutcomes& phases) {
  const auto code = entry.at(1).get<std::size_t>();
  RouteComparison& route = phases.at(code / 2)[entry.at(0).get<std::string>()];
  route.route = entry.at(0).get<std::string>();
  VersionOutcomes& version = code % 2 == 1 ? route.new_version : route.old_version;
  version.answers = entry.at(2).get<std::uint64_t>();
  version.failures = entry.at(3).get<std::uint64_t>();
  for (std::size_t i = kFirstBucket; i + 1 < entry.size(); i += 2) {
    const auto bucket = entry.at(i).get<std::size_t>();
    version.latency.counts.at(bucket) = entry.at(i + 1).get<std::uint64_t>();
  }
}

}  // namespace

std::string encode_version_report(const VersionReport& report) {
  Json outcomes = Json::array();
  for (std::size_t phase = 0; phase < kRolloutPhases; ++phase) {
    for (const auto& [route, entry] : report.outcomes[phase]) {
      encode_outcomes(route, phase, false, entry.old_version, outcomes);
      encode_outcomes(route, phase, true, entry.new_version, outcomes);
    }
  }
  Json flags{report.rolls_back, report.old_in_flight};
  for (const std::uint64_t created : report.earlier_created) {
    flags.push_back(created);
  }
  std::string out;
  Json::to_msgpack(Json{kTag, report.gateway, report.incarnation, report.sequence, report.service,
                        report.id.created, report.id.to, report.elapsed.ms,
                        static_cast<int>(report.state), std::move(flags), std::move(outcomes)},
                   out);
  return out;
}

bool is_version_report(std::span<const std::uint8_t> bytes) {
  // The array header, the header of a short text, and the text.
  constexpr std::uint8_t kShortText = 0xa0;
  constexpr std::size_t kTextAt = 2;
  return bytes.size() > kTextAt + kTag.size() && bytes[1] == (kShortText | kTag.size()) &&
         std::equal(kTag.begin(), kTag.end(), bytes.begin() + kTextAt);
}

std::optional<VersionReport> decode_version_report(std::span<const std::uint8_t> bytes) {
  const auto json = parse_datagram(bytes);
  if (!json || json->size() < kMinFields || json->at(0) != kTag) {
    return std::nullopt;
  }
  try {
    VersionReport report{.gateway = json->at(1).get<std::string>(),
                         .incarnation = json->at(2).get<std::uint64_t>(),
                         .sequence = json->at(3).get<std::uint64_t>(),
                         .service = json->at(4).get<std::string>()};
    report.id = {.created = json->at(5).get<std::uint64_t>(), .to = json->at(6).get<std::string>()};
    report.elapsed = {json->at(7).get<std::int64_t>()};
    const int state = json->at(8).get<int>();
    if (state < 0 || state > static_cast<int>(RolloutState::kRolledBack) ||
        report.elapsed < Duration{0} || json->at(10).size() > kMaxEntries) {
      return std::nullopt;
    }
    report.state = static_cast<RolloutState>(state);
    report.rolls_back = json->at(9).at(0).get<bool>();
    report.old_in_flight = json->at(9).at(1).get<std::uint64_t>();
    for (std::size_t i = kFirstEarlierCreated; i < json->at(9).size(); ++i) {
      report.earlier_created.insert(json->at(9).at(i).get<std::uint64_t>());
    }
    for (const Json& entry : json->at(10)) {
      decode_outcomes(entry, report.outcomes);
    }
    return report;
  } catch (const Json::exception&) {
    return std::nullopt;
  } catch (const std::out_of_range&) {
    return std::nullopt;  // An entry names a bucket that does not exist.
  }
}

void VersionEvidence::record(const RequestOutcome& outcome) {
  RouteOutcomes& routes = own_[static_cast<std::size_t>(outcome.phase)];
  auto found = routes.find(outcome.route);
  if (found == routes.end()) {
    const std::string name(outcome.route);
    found = routes.emplace(name, RouteComparison{.route = name}).first;
  }
  VersionOutcomes& version =
      outcome.new_version ? found->second.new_version : found->second.old_version;
  ++version.answers;
  version.failures += outcome.failed ? 1 : 0;
  if (outcome.first_byte) {
    version.latency.record(*outcome.first_byte);
  }
}

bool VersionEvidence::apply(const VersionReport& report, Instant now) {
  const auto [known, added] = peers_.try_emplace(report.gateway, Peer{report, now});
  if (added) {
    return true;
  }
  VersionReport& last = known->second.report;
  const bool same_incarnation = last.incarnation == report.incarnation;
  if (same_incarnation && report.sequence <= last.sequence) {
    return false;
  }
  if (!same_incarnation || count(report.outcomes) < count(last.outcomes)) {
    add(before_restarts_, last.outcomes);
  }
  known->second = {report, now};
  return true;
}

PhaseOutcomes VersionEvidence::total() const {
  PhaseOutcomes sum = own_;
  add(sum, before_restarts_);
  for (const auto& [name, peer] : peers_) {
    add(sum, peer.report.outcomes);
  }
  return sum;
}

std::vector<RouteComparison> VersionEvidence::sums() const {
  std::vector<RouteComparison> routes;
  for (const auto& [route, entry] : sum_of(total())) {
    routes.push_back(entry);
  }
  return routes;
}

std::optional<Instant> VersionEvidence::recent_since() const {
  return snapshots_.empty() ? std::nullopt : std::optional(snapshots_.front().taken_at);
}

std::vector<std::vector<RouteComparison>> VersionEvidence::parts(bool in_canary, Instant now) {
  const PhaseOutcomes phases = total();
  const RouteOutcomes& canary = phases[static_cast<std::size_t>(RolloutPhase::kCanary)];
  if (snapshots_.empty() || (in_canary && now >= snapshots_.back().taken_at + kSnapshotInterval)) {
    snapshots_.push_back({now, canary});
    while (snapshots_.size() > 1 && snapshots_[1].taken_at + window_ <= now) {
      snapshots_.pop_front();
    }
  }
  const RouteOutcomes& before = snapshots_.front().outcomes;
  std::vector<std::vector<RouteComparison>> parts(kRolloutPhases + 1);
  for (const auto& [route, sum] : sum_of(phases)) {
    const auto entry_in = [name = route](const RouteOutcomes& outcomes) {
      const auto found = outcomes.find(name);
      return found == outcomes.end() ? RouteComparison{.route = name} : found->second;
    };
    const RouteComparison early = entry_in(before);
    RouteComparison recent = entry_in(canary);
    recent.old_version -= early.old_version;
    recent.new_version -= early.new_version;
    parts[0].push_back(early);
    parts[1].push_back(std::move(recent));
    for (std::size_t phase = 1; phase < kRolloutPhases; ++phase) {
      parts[phase + 1].push_back(entry_in(phases[phase]));
    }
  }
  return parts;
}

}  // namespace bluebellstep
