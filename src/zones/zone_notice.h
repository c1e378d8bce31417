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
 * Sets the service state of a zone by decision of an operator. Needs only one signature, because it
 * must take effect at once. Serials are compared with those of the zones in the bundle. The
 * commands `zone out` and `zone in` use the Unix time in milliseconds, which increases without
 * coordination between operators.
 */
struct ZoneNotice {
  std::string zone;
  bool in_service = true;
  std::uint64_t serial = 0;
  std::string signer;     // Name of the operator.
  std::string signature;  // Base64.

  bool operator==(const ZoneNotice&) const = default;
};

/** Sets `notice.signature`, by the private key (base64) of `notice.signer`. Returns false if
 * `private_key` is not a valid key. */
bool sign_zone_notice(ZoneNotice& notice, std::string_view private_key);

/** Whether the signature is valid and `notice.signer` is one of `operators`. */
bool verify_zone_notice(const OperatorKeys& operators, const ZoneNotice& notice);

/** Returns the JSON form of a notice: the body of `POST /admin/zone-notice`. */
std::string zone_notice_to_json(const ZoneNotice& notice);

/** Parses the JSON form; nullopt if `text` is not a valid notice. */
std::optional<ZoneNotice> zone_notice_from_json(std::string_view text);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ZONES_ZONE_NOTICE_H_
