// Parses and validates the text of a bundle.

#ifndef BLUEBELLSTEP_BUNDLE_BUNDLE_PARSER_H_
#define BLUEBELLSTEP_BUNDLE_BUNDLE_PARSER_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "bundle/bundle.h"
#include "settings/settings_reader.h"

namespace bluebellstep {

/** Minimum time from the roll-out of a new order table until it takes effect. Covers the 8 s in
 * which a bundle reaches every process, clock differences between machines, and a margin for
 * retries. */
inline constexpr Duration kOrderTableLeadTime = {30'000};

/** Maximum size of the text of a bundle. In base64 and with signatures, a text of this size stays
 * below the platform's limit of 1 MB for a value. */
inline constexpr std::size_t kMaxBundleBytes = 700u << 10;

/** Parser of bundle texts. All functions fail with `SettingsErrors`, which lists all errors. */
class BundleParser {
 public:
  /** `file` is the file name to report in errors. */
  explicit BundleParser(std::string_view file) : file_(file) {}

  /** Parses a bundle and performs all checks that do not need the previous bundle. */
  boost::leaf::result<Bundle> parse(std::string_view text) const;

  /**
   * Checks whether `next` may replace `previous` at the Unix time `now`: the generation must be
   * higher, zone serials must not decrease, order tables may only be appended, with
   * `kOrderTableLeadTime`, and the owners in each table that is in force or takes effect later must
   * exist.
   */
  boost::leaf::result<void> check_succession(const Bundle& previous,
                                             const Bundle& next,
                                             Instant now) const;

 private:
  std::string file_;
};

/** Whether the order tables of any service differ between the two bundles. */
bool order_tables_differ(const Bundle& previous, const Bundle& next);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BUNDLE_BUNDLE_PARSER_H_
