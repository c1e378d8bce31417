// Comparison of a settings file with what was read before.

#include "settings/settings_file_watch.h"

#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

namespace bluebellstep {
namespace {

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace

SettingsFileWatch::SettingsFileWatch(std::string path)
    : path_(std::move(path)), contents_(read_file(path_).value_or("")) {}

bool SettingsFileWatch::changed() {
  std::optional<std::string> contents = read_file(path_);
  if (!contents || *contents == contents_) {
    return false;
  }
  contents_ = std::move(*contents);
  return true;
}

}  // namespace bluebellstep
