// Detects changes of a settings file.

#ifndef BLUEBELLSTEP_SETTINGS_SETTINGS_FILE_WATCH_H_
#define BLUEBELLSTEP_SETTINGS_SETTINGS_FILE_WATCH_H_

#include <cstdint>
#include <optional>
#include <string>

namespace bluebellstep {

/** Detects changes of a settings file by comparing its contents, so that no signal is needed after
 * a change. The contents are read only if the file's metadata has changed, and at every
 * `kMaxChecksWithoutRead`th check, since a rewritten file may have the same metadata. */
class SettingsFileWatch {
 public:
  static constexpr int kMaxChecksWithoutRead = 10;

  /** Reads the file at `path` as the initial contents. */
  explicit SettingsFileWatch(std::string path);

  const std::string& path() const { return path_; }

  /** Returns the contents if they differ from those at the last read or, at the first call, from
   * the initial contents. A file that cannot be read counts as unchanged. */
  std::optional<std::string> read_if_changed();

 private:
  /** Metadata that changes with the contents, except for rewrites within the resolution of the
   * file system's timestamps. */
  struct FileState {
    std::uint64_t inode = 0;
    std::int64_t size = -1;  // In bytes; -1 if the file cannot be found.
    std::int64_t modified_ns = 0;

    bool operator==(const FileState&) const = default;
  };

  FileState file_state() const;

  std::string path_;
  std::string contents_;  // Last contents read.
  FileState last_state_;  // At the last read.
  int checks_since_read_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SETTINGS_SETTINGS_FILE_WATCH_H_
