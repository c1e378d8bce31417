// Compares a settings file with the contents read before.

#include "settings/settings_file_watch.h"

#include <sys/stat.h>

#include <utility>

#include "settings/common_settings.h"

namespace bluebellstep {

SettingsFileWatch::SettingsFileWatch(std::string path) : path_(std::move(path)) {
  (void)read_if_changed();  // The contents at the start do not count as a change.
}

SettingsFileWatch::FileState SettingsFileWatch::file_state() const {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) {
    return {};
  }
  constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
  return {.inode = status.st_ino,
          .size = status.st_size,
          .modified_ns = status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec};
}

std::optional<std::string> SettingsFileWatch::read_if_changed() {
  const FileState state = file_state();
  if (state == last_state_ && ++checks_since_read_ < kMaxChecksWithoutRead) {
    return std::nullopt;
  }
  checks_since_read_ = 0;
  const auto contents = read_settings_file(path_);
  if (!contents) {
    return std::nullopt;
  }
  last_state_ = state;
  if (*contents == contents_) {
    return std::nullopt;
  }
  contents_ = *contents;
  return contents_;
}

}  // namespace bluebellstep
