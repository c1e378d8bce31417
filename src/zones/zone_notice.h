// Signed notices that take an availability zone out of service or back in.

#ifndef BLUEBELLSTEP_ZONES_ZONE_NOTICE_H_
#define BLUEBELLSTEP_ZONES_ZONE_NOTICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "settings/common_settings.h"

namespace bluebellstep {

/**
 * An operator's order for a zone. It carries one signature only, because it must take effect at
 * once. Serials come from the same numbering as those in the bundle; `zone out` and `zone in` use
 * the Unix time in milliseconds, which rises without asking anyone.
 */
struct ZoneNotice {
  std::string zone;
  bool in_service = true;
  std::uint64_t serial = 0;
  std::string signer;     // Name of the operator.
  std::string signature;  // Base64.

  bool operator==(const ZoneNotice&) const = default;
};

/** Signs `notice` with the private key (base64) of `notice.signer`; false if that is not a key. */
bool sign_zone_notice(ZoneNotice& notice, std::string_view private_key);

/** Whether the notice was signed by the operator that it names. */
bool verify_zone_notice(const OperatorKeys& operators, const ZoneNotice& notice);

/** The JSON form, the body of `POST /admin/zone-notice`. */
std::string zone_notice_to_json(const ZoneNotice& notice);

/** Reads the JSON form; nothing if it is not one. */
std::optional<ZoneNotice> zone_notice_from_json(std::string_view text);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ZONES_ZONE_NOTICE_H_
