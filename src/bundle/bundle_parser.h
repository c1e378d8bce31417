// Reads and validates the text of a bundle.

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

/** Time from roll-out until a new order table takes effect: the 8 s in which a bundle reaches every
 * process, the skew between clocks, and room for retries. */
inline constexpr Duration kOrderTableLeadTime = {30'000};

/** Largest text of a bundle. In base64 and with signatures it stays below the platform's limit of
 * 1 MB for a value. */
inline constexpr std::size_t kMaxBundleBytes = 700u << 10;

/** Parser of bundle texts. All functions fail with `SettingsErrors`, which hold every mistake. */
class BundleParser {
 public:
  /** `file` is the name to use in errors. */
  explicit BundleParser(std::string_view file) : file_(file) {}

  /** Reads a bundle and checks everything that can be checked on it alone. */
  boost::leaf::result<Bundle> parse(std::string_view text) const;

  /**
   * Checks whether `next` may follow `previous` at the Unix time `now`: a higher generation, zone
   * serials that do not fall, order tables that are only appended, with `kOrderTableLeadTime`, and
   * existing owners in each table that is in force or to come.
   */
  boost::leaf::result<void> check_succession(const Bundle& previous,
                                             const Bundle& next,
                                             Instant now) const;

 private:
  std::string file_;
};

/** Whether the two bundles have different order tables for any service. */
bool order_tables_differ(const Bundle& previous, const Bundle& next);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BUNDLE_BUNDLE_PARSER_H_
