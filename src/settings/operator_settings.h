// Settings of the operator commands.

#ifndef BLUEBELLSTEP_SETTINGS_OPERATOR_SETTINGS_H_
#define BLUEBELLSTEP_SETTINGS_OPERATOR_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "settings/common_settings.h"

namespace bluebellstep {

/** Settings of the operator commands: the keys `platform` and `operator_keys`. */
struct OperatorSettings {
  PlatformSettings platform;
  OperatorKeys operator_keys;
};

/** Reads and checks settings; `file` is the name to use in errors. Fails with `SettingsErrors`. */
boost::leaf::result<OperatorSettings> parse_operator_settings(std::string_view file,
                                                              std::string_view text);

/** Reads and checks a settings file. Fails with `SettingsErrors`. */
boost::leaf::result<OperatorSettings> load_operator_settings(const std::string& path);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_OPERATOR_SETTINGS_H_
