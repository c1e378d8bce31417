// What a process knows of the availability zones, from the bundle and from zone notices.

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

/** What became of a notice that was given to a `ZoneRegistry`. */
enum class ZoneNoticeResult : std::uint8_t {
  kApplied,  // It is now the state of the zone; send heartbeats at once so that others learn of it.
  kKnown,    // The board has it already.
  kOlder,    // The board has a state that wins over it.
  kInvalid,  // Wrong signature or unknown operator.
};

/** A zone as a `ZoneRegistry` has it. */
struct ZoneState {
  bool in_service = false;
  std::uint64_t serial = 0;
};

/**
 * Merges the zone states of the bundle and of notices: the highest serial wins. At equal serials
 * "out" wins, so that all processes settle on the same state after operators raced one another.
 */
class ZoneRegistry {
 public:
  /** Time over which a zone that comes back gets its full load again. */
  static constexpr Duration kRamp = {10'000};

  /** Share of the load that a zone gets directly after its return. */
  static constexpr double kRampInitialFactor = 0.05;

  /** Accepts notices by `operators`. */
  explicit ZoneRegistry(OperatorKeys operators) : operators_(std::move(operators)) {}

  /** Takes the zones of a bundle. Zones that it does not name keep their state. */
  void apply_bundle(const Bundle& bundle, Instant now);

  /** Takes a notice, from an operator or a peer's heartbeat. */
  ZoneNoticeResult apply_notice(const ZoneNotice& notice, Instant now);

  /** Whether the zone may get new work; false for an unknown zone. */
  bool in_service(std::string_view zone) const;

  /** State of the zone, or nothing if neither a bundle nor a notice named it. */
  std::optional<ZoneState> state(std::string_view zone) const;

  /** Share of its usual load that the zone may get: 0 if it is out, rising to 1 over `kRamp` after
   * its return. A zone that was in service from the start has no ramp. */
  double load_factor(std::string_view zone, Instant now) const;

  /** Notices in force, to be sent with each heartbeat. A notice that a bundle has taken over is no
   * longer sent. */
  std::vector<ZoneNotice> notices() const;

 private:
  struct Zone {
    ZoneState state;
    std::optional<ZoneNotice> notice;  // Set if `state` came from a notice.
    std::optional<Instant> returned;   // Last change from out to in.
  };

  void change(std::string_view zone, ZoneState next, std::optional<ZoneNotice>, Instant now);

  OperatorKeys operators_;
  std::map<std::string, Zone, std::less<>> zones_;
};

/** Answer of a process to `POST /admin/zone-notice`. */
struct ZoneNoticeAnswer {
  int status = 0;        // 200 applied or known, 400 not a notice, 403 wrong signature, 409 older.
  std::string body;      // JSON: {"result","zone","state","serial"}; state and serial of the board.
  bool applied = false;  // The process should send heartbeats at once.
};

/** Handles the body of `POST /admin/zone-notice`. */
ZoneNoticeAnswer answer_zone_notice(ZoneRegistry& board, std::string_view body, Instant now);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ZONES_ZONE_REGISTRY_H_
