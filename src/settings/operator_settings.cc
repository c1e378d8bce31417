// Reads the settings of the operator commands.

#include "settings/operator_settings.h"

#include <boost/leaf/error.hpp>

namespace bluebellstep {

boost::leaf::result<OperatorSettings> parse_operator_settings(std::string_view file,
                                                              std::string_view text) {
  SettingsReader reader(file, text);
  SettingsReader::Section root = reader.root();
  OperatorSettings settings;
  read_platform_settings(root, settings.platform);
  read_operator_keys(root, settings.operator_keys);
  SettingsErrors errors = reader.finish();
  if (!errors.errors.empty()) {
    return boost::leaf::new_error(std::move(errors));
  }
  return settings;
}

boost::leaf::result<OperatorSettings> load_operator_settings(const std::string& path) {
  BOOST_LEAF_AUTO(text, read_settings_file(path));
  return parse_operator_settings(path, text);
}

}  // namespace bluebellstep
