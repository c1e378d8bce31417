// Tests of the detection of changed settings files.

#include "settings/settings_file_watch.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "settings/common_settings.h"

namespace bluebellstep {
namespace {

/** A file that is removed at the end of the test. */
class TemporaryFile {
 public:
  explicit TemporaryFile(std::string_view name)
      : path_(std::filesystem::temp_directory_path() /
              (std::string(name) + "-" + std::to_string(::getpid()) + ".yaml")) {}
  ~TemporaryFile() { std::filesystem::remove(path_); }

  void write(std::string_view contents) const { std::ofstream(path_) << contents; }
  std::string path() const { return path_.string(); }
  const std::filesystem::path& file() const { return path_; }

 private:
  std::filesystem::path path_;
};

}  // namespace

// Guards against a buffer of the maximum file size in a process with 110 MB of memory, once a
// second.
TEST_CASE("a settings file is read into a buffer of about its own size", "[settings]") {
  TemporaryFile file("settings-size");
  file.write("name: gateway-1\n");
  const auto text = read_settings_file(file.path());
  REQUIRE(text);
  CHECK(*text == "name: gateway-1\n");
  CHECK(text->capacity() < 64u << 10);
}

TEST_CASE("a settings file larger than one read is read completely", "[settings]") {
  TemporaryFile file("settings-long");
  const std::string contents(100'001, 'x');
  file.write(contents);
  const auto text = read_settings_file(file.path());
  REQUIRE(text);
  CHECK(*text == contents);
}

TEST_CASE("changed contents of a settings file are returned once", "[settings]") {
  TemporaryFile file("settings-change");
  file.write("a: 1\n");
  SettingsFileWatch watch(file.path());
  CHECK_FALSE(watch.read_if_changed());
  file.write("a: 1\nb: 2\n");
  CHECK(watch.read_if_changed() == "a: 1\nb: 2\n");
  CHECK_FALSE(watch.read_if_changed());
}

// Guards against a change that is missed for good because the file's metadata stayed the same.
TEST_CASE("a rewrite with unchanged metadata is noticed after a few checks", "[settings]") {
  TemporaryFile file("settings-same");
  file.write("a: 1\n");
  SettingsFileWatch watch(file.path());
  const auto modified_at = std::filesystem::last_write_time(file.file());
  file.write("a: 2\n");
  std::filesystem::last_write_time(file.file(), modified_at);
  bool noticed = false;
  for (int check = 0; check < SettingsFileWatch::kMaxChecksWithoutRead; ++check) {
    noticed = watch.read_if_changed().has_value() || noticed;
  }
  CHECK(noticed);
}

TEST_CASE("a settings file that is missing for a while is read when it is back", "[settings]") {
  TemporaryFile file("settings-missing");
  file.write("a: 1\n");
  SettingsFileWatch watch(file.path());
  std::filesystem::remove(file.file());
  CHECK_FALSE(watch.read_if_changed());
  file.write("a: 3\n");
  CHECK(watch.read_if_changed() == "a: 3\n");
}

}  // namespace bluebellstep
