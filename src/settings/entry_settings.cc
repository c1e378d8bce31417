// Reads the settings of an entry instance.

#include "settings/entry_settings.h"

#include <boost/leaf/error.hpp>

namespace bluebellstep {

boost::leaf::result<EntrySettings> parse_entry_settings(std::string_view file,
                                                        std::string_view text) {
  SettingsReader reader(file, text);
  SettingsReader::Section root = reader.root();
  EntrySettings settings;
  read_process_settings(root, settings);
  root.read("peers", settings.peers, Presence::kOptional);
  root.read("balancer_delay", settings.balancer_delay, Presence::kOptional);
  if (settings.stop_limit <= settings.balancer_delay) {
    root.add_error("stop_limit", "a duration above balancer_delay");
  }
  SettingsErrors errors = reader.finish();
  if (!errors.errors.empty()) {
    return boost::leaf::new_error(std::move(errors));
  }
  return settings;
}

boost::leaf::result<EntrySettings> load_entry_settings(const std::string& path) {
  BOOST_LEAF_AUTO(text, read_settings_file(path));
  return parse_entry_settings(path, text);
}

}  // namespace bluebellstep
