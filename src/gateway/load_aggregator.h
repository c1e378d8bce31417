// Load reports of the gateways and the sum of the in-flight load at each upstream.
//
// Load pattern: many gateways, each with a small share of the requests. The requests and responses
// of one gateway show too little of an upstream's load, and too late, to balance by. Therefore each
// gateway reports its in-flight load to the others.

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
#include "upstream_speed/upstream_speed.h"

namespace bluebellstep {

/** Load in flight at one upstream or KV cache store. */
struct InFlightLoad {
  std::uint32_t requests = 0;
  std::uint64_t prefill_tokens = 0;        // Uncached tokens of prompts in prefill.
  std::uint64_t prompt_tokens = 0;         // Prompt tokens of all requests; they occupy KV cache.
  std::uint32_t consecutive_failures = 0;  // See `UpstreamHealth`.
  std::uint32_t unreachable = 0;           // Gateways whose connections to it have failed lately.
  std::uint32_t loading = 0;               // Gateways that know that it loads weights.
  // Total duration of the fetches from its cache in progress, which run one after another.
  std::uint64_t transfer_ms = 0;

  InFlightLoad& operator+=(const InFlightLoad& other);
  InFlightLoad& operator-=(const InFlightLoad& other);
  bool operator==(const InFlightLoad&) const = default;
};

/** The load of one upstream in a gateway's report. */
struct UpstreamLoad {
  std::uint32_t upstream_key = 0;  // See `LoadAggregator::key_of`.
  InFlightLoad in_flight;
  std::optional<SpeedReport> speed;  // Only if there are new observations of it.
};

/** A shared prompt segment that was sent to an engine which did not have it cached. */
struct SentSegment {
  std::uint32_t upstream_key = 0;  // See `LoadAggregator::key_of`.
  std::uint64_t key = 0;           // Hash of the segment id and its cache namespace.
  std::uint32_t tokens = 0;

  bool operator==(const SentSegment&) const = default;
};

/** The message that a gateway sends to the other gateways. */
struct LoadReport {
  std::string gateway;
  std::uint64_t sequence = 0;  // Increases with each report of an incarnation.
  std::uint64_t incarnation = 0;
  std::uint32_t recent_requests = 0;  // Requests sent to upstreams within the last second.
  // Upstreams without load and without new observations of their speed are left out.
  std::vector<UpstreamLoad> upstream_loads;
  // Shared segments sent since the last report.
  std::vector<SentSegment> sent_segments;
  std::uint64_t versions_epoch = 0;  // See `StreamVersionDriver::epoch`; not sent while below 2.
};

/** Encodes a report as the content of a datagram. */
std::string encode_load_report(const LoadReport& report);
/** Decodes a datagram. Returns nothing if it does not contain a report. */
std::optional<LoadReport> decode_load_report(std::span<const std::uint8_t> bytes);

/** Sums the latest reports of the other gateways. */
class LoadAggregator {
 public:
  /** A gateway without a report for this long is assumed to have nothing in flight. */
  static constexpr Duration kPeerTimeout{1500};

  /** The key of an upstream in load reports. */
  static std::uint32_t key_of(std::string_view upstream_id);
  /** The same, given the `hash64` of the id. */
  static std::uint32_t key_of(std::uint64_t id_hash) { return static_cast<std::uint32_t>(id_hash); }

  /** Replaces the previous report of the same gateway. A report that is older is ignored. */
  void apply(LoadReport report, Instant now);

  /** Removes the reports of gateways that have not reported within `kPeerTimeout`. */
  void remove_unresponsive(Instant now);

  /** The load that the other gateways have in flight at an upstream. */
  InFlightLoad peer_load(std::uint32_t upstream_key) const;
  InFlightLoad peer_load(std::string_view upstream_id) const {
    return peer_load(key_of(upstream_id));
  }

  /** Requests per second that the other gateways send to all upstreams. */
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
  std::unordered_map<std::uint32_t, InFlightLoad> load_by_upstream_;  // Sums over `gateways_`.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_LOAD_AGGREGATOR_H_
