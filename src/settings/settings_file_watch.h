// Detects changes of a settings file.

#ifndef BLUEBELLSTEP_SETTINGS_SETTINGS_FILE_WATCH_H_
#define BLUEBELLSTEP_SETTINGS_SETTINGS_FILE_WATCH_H_

#include <optional>
#include <string>

namespace bluebellstep {

/** Detects changes of a settings file by comparing its contents, so that no signal is needed after
 * a change. */
class SettingsFileWatch {
 public:
  /** Reads the file at `path` as the initial contents. */
  explicit SettingsFileWatch(std::string path);

  const std::string& path() const { return path_; }

  /** Returns the contents if they differ from those at the last call or, at the first call, from
   * the initial contents. A file that cannot be read counts as unchanged. */
  std::optional<std::string> read_if_changed();

 private:
  std::string path_;
  std::string contents_;  // Last contents read.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_SETTINGS_FILE_WATCH_H_
