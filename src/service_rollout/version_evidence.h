// Outcomes of the requests to both versions of a service, summed over all gateways.
//
// Load pattern: each gateway sees few answers of a new version, too few to judge it, and datagrams
// between gateways are lost, reordered and repeated. Each report therefore carries complete sums
// since the start of the sender, and replaces the one before.

#ifndef BLUEBELLSTEP_SERVICE_ROLLOUT_VERSION_EVIDENCE_H_
#define BLUEBELLSTEP_SERVICE_ROLLOUT_VERSION_EVIDENCE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "service_rollout/rollout_order.h"
#include "service_rollout/route_comparison.h"

namespace bluebellstep {

/** Outcomes by route. */
using RouteOutcomes = std::map<std::string, RouteComparison, std::less<>>;

/** Phases of a roll-out at a gateway. The share of the new version is about constant within each,
 * so the outcomes of their requests are kept apart. */
enum class RolloutPhase : std::uint8_t {
  kCanary,
  kTrial,
  kAfterTrial,  // The gateway's allowance is used up, but for what further requests add.
  kAccepted,
};
inline constexpr std::size_t kRolloutPhases = 4;
/** By phase in which the request was sent. */
using PhaseOutcomes = std::array<RouteOutcomes, kRolloutPhases>;

/** What became of a request of this gateway. */
struct RequestOutcome {
  std::string_view route;
  RolloutPhase phase = RolloutPhase::kCanary;  // In which it was sent.
  bool new_version = false;
  bool failed = false;
  std::optional<Duration> first_byte;  // Since it was sent.
};

/** What a gateway tells the others about a roll-out. */
struct VersionReport {
  std::string gateway;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::string service;
  RolloutId id;
  Duration elapsed{0};  // Since the gateway, or one that told it, learned of the order.
  RolloutState state = RolloutState::kNone;  // As the gateway acts on it.
  bool rolls_back = false;                   // The gateway's verdict, or one that it was told.
  std::uint64_t old_in_flight = 0;           // Requests at servers of other versions.
  PhaseOutcomes outcomes;                    // Since the gateway learned of the order.
  // Creation revisions of the order before it was written again to a restored store.
  std::set<std::uint64_t> earlier_created;
};

/** Encodes a report as a datagram. */
std::string encode_version_report(const VersionReport& report);

/** Whether a datagram is a report, without decoding it. */
bool is_version_report(std::span<const std::uint8_t> bytes);

/** Decodes a datagram; nothing if it is not a report. Ignores further fields. */
std::optional<VersionReport> decode_version_report(std::span<const std::uint8_t> bytes);

/** The outcomes of one roll-out. All times are read from one monotonic clock. */
class VersionEvidence {
 public:
  /** Interval between the sums by which `parts` divides the canary. */
  static constexpr Duration kSnapshotInterval{250};

  /** @param window  Time at the end of the canary that `parts` separates from the time before. */
  explicit VersionEvidence(Duration window) : window_(window) {}

  void record(const RequestOutcome& outcome);

  /** The last report of another gateway. */
  struct Peer {
    VersionReport report;
    Instant received_at;
  };

  /** Takes in a report of another gateway. Returns false if a later one was received before. */
  bool apply(const VersionReport& report, Instant now);

  /** The other gateways by name. */
  const std::map<std::string, Peer, std::less<>>& peers() const { return peers_; }

  /** Outcomes of this gateway. */
  const PhaseOutcomes& own() const { return own_; }

  /** Outcomes of all gateways since each learned of the order. */
  std::vector<RouteComparison> sums() const;

  /** Outcomes of all gateways in consecutive parts of the time: the canary before its last
   * `window`, that time, and the further phases. All parts have the same routes. Call it at least
   * every `kSnapshotInterval`.
   *
   * @param in_canary  Whether the canary lasts at this gateway.
   */
  std::vector<std::vector<RouteComparison>> parts(bool in_canary, Instant now);

  /** When the second of the parts began; nothing before the first call of `parts`. */
  std::optional<Instant> recent_since() const;

 private:
  struct Snapshot {
    Instant taken_at;
    RouteOutcomes outcomes;
  };

  PhaseOutcomes total() const;

  Duration window_;
  PhaseOutcomes own_;
  std::map<std::string, Peer, std::less<>> peers_;
  // Outcomes that gateways reported before they restarted.
  PhaseOutcomes before_restarts_;
  // Outcomes of the canary by increasing time; the first may be older than `window_`.
  std::deque<Snapshot> snapshots_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SERVICE_ROLLOUT_VERSION_EVIDENCE_H_
