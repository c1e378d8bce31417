// What all gateways have in flight at each upstream.
//
// Load pattern: many gateways with a small share of the requests each. What one of them sees of an
// upstream is too little and too old to balance by, so each tells the others what it has in flight.

#ifndef BLUEBELLSTEP_GATEWAY_LOAD_AGGREGATOR_H_
#define BLUEBELLSTEP_GATEWAY_LOAD_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace bluebellstep {

/** Work that is in flight at one upstream or store. */
struct InFlightLoad {
  std::uint32_t requests = 0;
  std::uint64_t prefill_tokens = 0;        // Of prompts whose answer has not begun.
  std::uint64_t held_tokens = 0;           // Prompt tokens that the requests keep in memory.
  std::uint32_t consecutive_failures = 0;  // In a row, see `UpstreamHealth`.
  std::uint64_t transfer_ms = 0;  // Time that fetches from its cache take, one after another.

  InFlightLoad& operator+=(const InFlightLoad& other);
  InFlightLoad& operator-=(const InFlightLoad& other);
  bool operator==(const InFlightLoad&) const = default;
};

/** One line of a gateway's report. */
struct UpstreamLoad {
  std::uint32_t upstream = 0;  // See `LoadAggregator::key_of`.
  InFlightLoad in_flight;
};

/** A shared part of a prompt that is on its way to an engine. */
struct SentSegment {
  std::uint32_t upstream = 0;  // See `LoadAggregator::key_of`.
  std::uint64_t key = 0;       // Of the part and its scope.
  std::uint32_t tokens = 0;

  bool operator==(const SentSegment&) const = default;
};

/** What one gateway tells the others. */
struct LoadReport {
  std::string gateway;
  std::uint64_t sequence = 0;  // Rises with each report of one start of the gateway.
  std::uint64_t incarnation = 0;
  std::uint32_t recent_requests = 0;  // Requests that it sent to upstreams within the last second.
  std::vector<UpstreamLoad> upstream_loads;  // Upstreams that are left out have nothing in flight.
  std::vector<SentSegment> parts;            // Since the last report.
};

/** Encodes a report for a datagram. */
std::string encode_load_report(const LoadReport& report);
/** Nothing if the bytes are no report. */
std::optional<LoadReport> decode_load_report(std::span<const std::uint8_t> bytes);

/** Sums of the other gateways' reports. */
class LoadAggregator {
 public:
  /** A gateway that is not heard for this long counts as having nothing in flight. */
  static constexpr Duration kPeerTimeout{1500};

  static std::uint32_t key_of(std::string_view upstream_id);
  /** The same for a known `hash64` of the id. */
  static std::uint32_t key_of(std::uint64_t id_hash) { return static_cast<std::uint32_t>(id_hash); }

  /** Takes a report; one that is older than the last of its gateway is dropped. */
  void apply(LoadReport report, Instant now);

  /** Forgets gateways that have gone silent. */
  void remove_unresponsive(Instant now);

  /** What the others have in flight at an upstream. */
  InFlightLoad from_peers(std::uint32_t upstream_key) const;
  InFlightLoad from_peers(std::string_view upstream_id) const {
    return from_peers(key_of(upstream_id));
  }

  /** Requests that the others sent to all upstreams within a second. */
  std::uint64_t recent_requests_from_peers() const;

 private:
  struct Gateway {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    Instant received_at;
    std::uint32_t recent_requests = 0;
    std::vector<UpstreamLoad> upstream_loads;
  };

  void add(const std::vector<UpstreamLoad>& upstream_loads);
  void subtract(const std::vector<UpstreamLoad>& upstream_loads);

  std::map<std::string, Gateway, std::less<>> gateways_;
  std::unordered_map<std::uint32_t, InFlightLoad> load_by_upstream_;  // Over `gateways_`.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_LOAD_AGGREGATOR_H_
