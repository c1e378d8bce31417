// Notices changes of a settings file.

#ifndef BLUEBELLSTEP_SETTINGS_SETTINGS_FILE_WATCH_H_
#define BLUEBELLSTEP_SETTINGS_SETTINGS_FILE_WATCH_H_

#include <optional>
#include <string>

namespace bluebellstep {

/** A settings file may change with or without a signal, so it is compared with what was read. */
class SettingsFileWatch {
 public:
  explicit SettingsFileWatch(std::string path);

  const std::string& path() const { return path_; }

  /** The contents, if they differ from those at the last call, or at the start. A file that cannot
   * be read counts as unchanged. */
  std::optional<std::string> read_if_changed();

 private:
  std::string path_;
  std::string contents_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_SETTINGS_FILE_WATCH_H_
