// Compares a settings file with the contents read before.

#include "settings/settings_file_watch.h"

#include <utility>

#include "settings/common_settings.h"

namespace bluebellstep {

SettingsFileWatch::SettingsFileWatch(std::string path) : path_(std::move(path)) {
  (void)read_if_changed();  // The contents at the start do not count as a change.
}

std::optional<std::string> SettingsFileWatch::read_if_changed() {
  const auto contents = read_settings_file(path_);
  if (!contents || *contents == contents_) {
    return std::nullopt;
  }
  contents_ = *contents;
  return contents_;
}

}  // namespace bluebellstep
