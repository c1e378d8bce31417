// States of the availability zones, merged from the bundle and from zone notices.

#ifndef BLUEBELLSTEP_ZONES_ZONE_REGISTRY_H_
#define BLUEBELLSTEP_ZONES_ZONE_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "bundle/bundle.h"
#include "zones/zone_notice.h"

namespace bluebellstep {

/** Result of `ZoneRegistry::apply_notice`. */
enum class ZoneNoticeResult : std::uint8_t {
  kApplied,  // Now the state of the zone; send heartbeats at once to announce it to peers.
  kKnown,    // The registry already has this state.
  kOlder,    // The registry has a state that takes precedence.
  kInvalid,  // Invalid signature or unknown operator.
};

/** State of a zone in a `ZoneRegistry`. */
struct ZoneState {
  bool in_service = false;
  std::uint64_t serial = 0;
};

/**
 * Merges the zone states of the bundle and of notices. The state with the highest serial takes
 * precedence. At equal serials "out" does, so that all processes converge on the same state if two
 * operators used the same serial.
 */
class ZoneRegistry {
 public:
  /** Time over which the load of a zone rises to its usual value after the zone returned to
   * service. */
  static constexpr Duration kRampDuration = {10'000};

  /** Share of its usual load that a zone receives directly after its return to service. */
  static constexpr double kInitialLoadFactor = 0.05;

  /** Accepts notices that are signed by one of `operators`. */
  explicit ZoneRegistry(OperatorKeys operators) : operators_(std::move(operators)) {}

  /** Merges the zones of a bundle. Zones that it does not contain keep their state. */
  void apply_bundle(const Bundle& bundle, Instant now);

  /** Merges a notice from an operator or from the heartbeat of a peer. */
  ZoneNoticeResult apply_notice(const ZoneNotice& notice, Instant now);

  /** Whether requests may be routed to the zone; false for an unknown zone. */
  bool in_service(std::string_view zone) const;

  /** State of the zone; nullopt if no bundle or notice contained it. */
  std::optional<ZoneState> state(std::string_view zone) const;

  /** Share of its usual load that the zone may receive: 0 if it is out of service, and rising to 1
   * within `kRampDuration` after its return to service. 1 if it was never out of service. */
  double load_factor(std::string_view zone, Instant now) const;

  /** Notices in force, to be sent with each heartbeat. Excludes those whose state is also in the
   * bundle. */
  std::vector<ZoneNotice> notices() const;

 private:
  struct Zone {
    ZoneState state;
    std::optional<ZoneNotice> notice;    // Set if `state` is from a notice.
    std::optional<Instant> returned_at;  // Time of the last change from out to in.
  };

  void set_state(std::string_view zone, ZoneState next, std::optional<ZoneNotice>, Instant now);

  OperatorKeys operators_;
  std::map<std::string, Zone, std::less<>> zones_;
};

/** Answer of a process to `POST /admin/zone-notice`. */
struct ZoneNoticeAnswer {
  int status = 0;    // 200 applied or known, 400 not a notice, 403 invalid, 409 older.
  std::string body;  // JSON: {"result","zone","state","serial"}; state and serial of the registry.
  bool applied = false;  // If true, send heartbeats at once to announce the notice to peers.
};

/** Handles the body of `POST /admin/zone-notice`. */
ZoneNoticeAnswer answer_zone_notice(ZoneRegistry& registry, std::string_view body, Instant now);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ZONES_ZONE_REGISTRY_H_
