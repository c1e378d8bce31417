// Reports of work in flight and their sums.

#include "gateway/load_aggregator.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"

namespace bluebellstep {

InFlightLoad& InFlightLoad::operator+=(const InFlightLoad& other) {
  requests += other.requests;
  unread_tokens += other.unread_tokens;
  held_tokens += other.held_tokens;
  failures += other.failures;
  transfer_ms += other.transfer_ms;
  return *this;
}

InFlightLoad& InFlightLoad::operator-=(const InFlightLoad& other) {
  requests -= other.requests;
  unread_tokens -= other.unread_tokens;
  held_tokens -= other.held_tokens;
  failures -= other.failures;
  transfer_ms -= other.transfer_ms;
  return *this;
}

std::string encode_load_report(const LoadReport& report) {
  nlohmann::json lines = nlohmann::json::array();
  for (const UpstreamLoad& line : report.lines) {
    lines.push_back({line.upstream, line.in_flight.requests, line.in_flight.unread_tokens,
                     line.in_flight.held_tokens, line.in_flight.failures,
                     line.in_flight.transfer_ms});
  }
  nlohmann::json parts = nlohmann::json::array();
  for (const SentSegment& part : report.parts) {
    parts.push_back({part.upstream, part.key, part.tokens});
  }
  std::string out;
  nlohmann::json::to_msgpack(nlohmann::json{report.gateway, report.incarnation, report.sequence,
                                            report.sends, std::move(lines), std::move(parts)},
                             out);
  return out;
}

std::optional<LoadReport> decode_load_report(std::span<const std::uint8_t> bytes) {
  const auto json =
      nlohmann::json::from_msgpack(bytes.data(), bytes.data() + bytes.size(), true, false);
  if (!json.is_array() || json.size() != 6) {
    return std::nullopt;
  }
  try {
    LoadReport report{.gateway = json.at(0).get<std::string>(),
                      .sequence = json.at(2).get<std::uint64_t>(),
                      .incarnation = json.at(1).get<std::uint64_t>(),
                      .sends = json.at(3).get<std::uint32_t>()};
    for (const auto& line : json.at(4)) {
      report.lines.push_back({.upstream = line.at(0).get<std::uint32_t>(),
                              .in_flight = {.requests = line.at(1).get<std::uint32_t>(),
                                            .unread_tokens = line.at(2).get<std::uint64_t>(),
                                            .held_tokens = line.at(3).get<std::uint64_t>(),
                                            .failures = line.at(4).get<std::uint32_t>(),
                                            .transfer_ms = line.at(5).get<std::uint64_t>()}});
    }
    for (const auto& part : json.at(5)) {
      report.parts.push_back({.upstream = part.at(0).get<std::uint32_t>(),
                              .key = part.at(1).get<std::uint64_t>(),
                              .tokens = part.at(2).get<std::uint32_t>()});
    }
    return report;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;  // Not one of our datagrams.
  }
}

std::uint32_t LoadAggregator::key_of(std::string_view upstream_id) {
  return key_of(hash64(upstream_id));
}

void LoadAggregator::add(const std::vector<UpstreamLoad>& lines) {
  for (const UpstreamLoad& line : lines) {
    sums_[line.upstream] += line.in_flight;
  }
}

void LoadAggregator::subtract(const std::vector<UpstreamLoad>& lines) {
  for (const UpstreamLoad& line : lines) {
    InFlightLoad& sum = sums_[line.upstream];
    sum -= line.in_flight;
    if (sum == InFlightLoad{}) {
      sums_.erase(line.upstream);
    }
  }
}

void LoadAggregator::apply(LoadReport report, Instant now) {
  Gateway& gateway = gateways_[report.gateway];
  // Datagrams overtake each other.
  if (gateway.incarnation == report.incarnation && gateway.sequence >= report.sequence) {
    return;
  }
  subtract(gateway.lines);
  gateway = {.incarnation = report.incarnation,
             .sequence = report.sequence,
             .heard = now,
             .sends = report.sends,
             .lines = std::move(report.lines)};
  add(gateway.lines);
}

void LoadAggregator::remove_unresponsive(Instant now) {
  for (auto gateway = gateways_.begin(); gateway != gateways_.end();) {
    if (now < gateway->second.heard + kSilence) {
      ++gateway;
      continue;
    }
    subtract(gateway->second.lines);
    gateway = gateways_.erase(gateway);
  }
}

InFlightLoad LoadAggregator::others(std::uint32_t upstream_key) const {
  const auto found = sums_.find(upstream_key);
  return found == sums_.end() ? InFlightLoad{} : found->second;
}

std::uint64_t LoadAggregator::others_sends() const {
  std::uint64_t sends = 0;
  for (const auto& [name, gateway] : gateways_) {
    sends += gateway.sends;
  }
  return sends;
}

}  // namespace bluebellstep
