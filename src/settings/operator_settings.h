// Settings of the operator commands.

#ifndef BLUEBELLSTEP_SETTINGS_OPERATOR_SETTINGS_H_
#define BLUEBELLSTEP_SETTINGS_OPERATOR_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "settings/common_settings.h"

namespace bluebellstep {

/** Settings of the operator commands. */
struct OperatorSettings {
  PlatformSettings platform;
  OperatorKeys operator_keys;
};

/** Parses and checks settings. `file` is the file name for errors. Fails with `SettingsErrors`. */
boost::leaf::result<OperatorSettings> parse_operator_settings(std::string_view file,
                                                              std::string_view text);

/** Reads, parses and checks the settings file at `path`. Fails with `SettingsErrors`. */
boost::leaf::result<OperatorSettings> load_operator_settings(const std::string& path);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_OPERATOR_SETTINGS_H_
