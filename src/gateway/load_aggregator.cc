// Encoding of load reports and their sums.

#include "gateway/load_aggregator.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "gateway/datagram_format.h"

namespace bluebellstep {

InFlightLoad& InFlightLoad::operator+=(const InFlightLoad& other) {
  requests += other.requests;
  prefill_tokens += other.prefill_tokens;
  prompt_tokens += other.prompt_tokens;
  consecutive_failures += other.consecutive_failures;
  unreachable += other.unreachable;
  loading += other.loading;
  transfer_ms += other.transfer_ms;
  return *this;
}

InFlightLoad& InFlightLoad::operator-=(const InFlightLoad& other) {
  requests -= other.requests;
  prefill_tokens -= other.prefill_tokens;
  prompt_tokens -= other.prompt_tokens;
  consecutive_failures -= other.consecutive_failures;
  unreachable -= other.unreachable;
  loading -= other.loading;
  transfer_ms -= other.transfer_ms;
  return *this;
}

namespace {

// Returns the count at `index`, or 0 if the report ends before it.
std::uint32_t optional_count(const nlohmann::json& upstream_load, std::size_t index) {
  return upstream_load.size() > index ? upstream_load.at(index).get<std::uint32_t>() : 0;
}

// The observations of an upstream's speed follow the load in its entry. Earlier versions do not
// report them and ignore what follows the load.
constexpr std::size_t kSpeedIndex = 8;
constexpr std::size_t kSpeedFields = 6;

// Returns nothing if there are no observations or they are unusable.
std::optional<SpeedReport> decode_speed(const nlohmann::json& upstream_load) {
  std::array<std::uint32_t, kSpeedFields> fields{};
  if (upstream_load.size() < kSpeedIndex + kSpeedFields) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < kSpeedFields; ++i) {
    const nlohmann::json& field = upstream_load.at(kSpeedIndex + i);
    if (!field.is_number_unsigned() || field.get<std::uint64_t>() > UINT32_MAX) {
      return std::nullopt;
    }
    fields[i] = field.get<std::uint32_t>();
  }
  return SpeedReport{.start_tag = fields[0],
                     .answers_tenths = fields[1],
                     .time_percent = fields[2],
                     .stated_percent = fields[3],
                     .latest_percent = fields[4],
                     .latest_age_ms = fields[5]};
}

}  // namespace

std::string encode_load_report(const LoadReport& report) {
  nlohmann::json upstream_loads = nlohmann::json::array();
  for (const UpstreamLoad& upstream_load : report.upstream_loads) {
    nlohmann::json entry = {upstream_load.upstream_key,
                            upstream_load.in_flight.requests,
                            upstream_load.in_flight.prefill_tokens,
                            upstream_load.in_flight.prompt_tokens,
                            upstream_load.in_flight.consecutive_failures,
                            upstream_load.in_flight.transfer_ms,
                            upstream_load.in_flight.unreachable,
                            upstream_load.in_flight.loading};
    if (const auto& speed = upstream_load.speed) {
      for (const std::uint32_t field :
           {speed->start_tag, speed->answers_tenths, speed->time_percent, speed->stated_percent,
            speed->latest_percent, speed->latest_age_ms}) {
        entry.push_back(field);
      }
    }
    upstream_loads.push_back(std::move(entry));
  }
  nlohmann::json sent_segments = nlohmann::json::array();
  for (const SentSegment& segment : report.sent_segments) {
    sent_segments.push_back({segment.upstream_key, segment.key, segment.tokens});
  }
  nlohmann::json json{report.gateway,         report.incarnation,        report.sequence,
                      report.recent_requests, std::move(upstream_loads), std::move(sent_segments)};
  // The first table has the epoch 1. Systems with one software version never get beyond it.
  if (report.versions_epoch > 1) {
    json.push_back(report.versions_epoch);
  }
  std::string out;
  nlohmann::json::to_msgpack(json, out);
  return out;
}

std::optional<LoadReport> decode_load_report(std::span<const std::uint8_t> bytes) {
  const auto parsed = parse_datagram(bytes);
  if (!parsed || parsed->size() < 6 || parsed->size() > 7) {
    return std::nullopt;
  }
  const nlohmann::json& json = *parsed;
  try {
    LoadReport report{.gateway = json.at(0).get<std::string>(),
                      .sequence = json.at(2).get<std::uint64_t>(),
                      .incarnation = json.at(1).get<std::uint64_t>(),
                      .recent_requests = json.at(3).get<std::uint32_t>()};
    for (const auto& upstream_load : json.at(4)) {
      report.upstream_loads.push_back(
          {.upstream_key = upstream_load.at(0).get<std::uint32_t>(),
           .in_flight = {.requests = upstream_load.at(1).get<std::uint32_t>(),
                         .prefill_tokens = upstream_load.at(2).get<std::uint64_t>(),
                         .prompt_tokens = upstream_load.at(3).get<std::uint64_t>(),
                         .consecutive_failures = upstream_load.at(4).get<std::uint32_t>(),
                         // Earlier versions do not report these.
                         .unreachable = optional_count(upstream_load, 6),
                         .loading = optional_count(upstream_load, 7),
                         .transfer_ms = upstream_load.at(5).get<std::uint64_t>()},
           .speed = decode_speed(upstream_load)});
    }
    for (const auto& segment : json.at(5)) {
      report.sent_segments.push_back({.upstream_key = segment.at(0).get<std::uint32_t>(),
                                      .key = segment.at(1).get<std::uint64_t>(),
                                      .tokens = segment.at(2).get<std::uint32_t>()});
    }
    if (json.size() > 6) {
      report.versions_epoch = json.at(6).get<std::uint64_t>();
    }
    return report;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;  // Not a load report.
  }
}

std::uint32_t LoadAggregator::key_of(std::string_view upstream_id) {
  return key_of(hash64(upstream_id));
}

void LoadAggregator::add(const std::vector<UpstreamLoad>& upstream_loads) {
  for (const UpstreamLoad& upstream_load : upstream_loads) {
    load_by_upstream_[upstream_load.upstream_key] += upstream_load.in_flight;
  }
}

void LoadAggregator::subtract(const std::vector<UpstreamLoad>& upstream_loads) {
  for (const UpstreamLoad& upstream_load : upstream_loads) {
    InFlightLoad& sum = load_by_upstream_[upstream_load.upstream_key];
    sum -= upstream_load.in_flight;
    if (sum == InFlightLoad{}) {
      load_by_upstream_.erase(upstream_load.upstream_key);
    }
  }
}

void LoadAggregator::apply(LoadReport report, Instant now) {
  Gateway& gateway = gateways_[report.gateway];
  // Datagrams may arrive out of order.
  if (gateway.incarnation == report.incarnation && gateway.sequence >= report.sequence) {
    return;
  }
  subtract(gateway.upstream_loads);
  gateway = {.incarnation = report.incarnation,
             .sequence = report.sequence,
             .received_at = now,
             .recent_requests = report.recent_requests,
             .upstream_loads = std::move(report.upstream_loads)};
  add(gateway.upstream_loads);
}

void LoadAggregator::remove_unresponsive(Instant now) {
  for (auto gateway = gateways_.begin(); gateway != gateways_.end();) {
    if (now < gateway->second.received_at + kPeerTimeout) {
      ++gateway;
      continue;
    }
    subtract(gateway->second.upstream_loads);
    gateway = gateways_.erase(gateway);
  }
}

InFlightLoad LoadAggregator::peer_load(std::uint32_t upstream_key) const {
  const auto found = load_by_upstream_.find(upstream_key);
  return found == load_by_upstream_.end() ? InFlightLoad{} : found->second;
}

std::uint64_t LoadAggregator::recent_requests_from_peers() const {
  std::uint64_t recent_requests = 0;
  for (const auto& [name, gateway] : gateways_) {
    recent_requests += gateway.recent_requests;
  }
  return recent_requests;
}

}  // namespace bluebellstep
