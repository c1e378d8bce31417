// Settings of an entry instance.

#ifndef BLUEBELLSTEP_SETTINGS_ENTRY_SETTINGS_H_
#define BLUEBELLSTEP_SETTINGS_ENTRY_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "settings/common_settings.h"

namespace bluebellstep {

/** Settings of an entry instance. */
struct EntrySettings : ProcessSettings {
  std::vector<Endpoint> peers;  // RPC endpoints of other entry instances; may be empty.
  // The instance accepts requests for this long after SIGTERM, until the load balancer has removed
  // it from its targets.
  Duration balancer_delay = {5000};
};

/** Parses and checks settings. `file` is the file name for errors. Fails with `SettingsErrors`. */
boost::leaf::result<EntrySettings> parse_entry_settings(std::string_view file,
                                                        std::string_view text);

/** Reads, parses and checks the settings file at `path`. Fails with `SettingsErrors`. */
boost::leaf::result<EntrySettings> load_entry_settings(const std::string& path);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_ENTRY_SETTINGS_H_
