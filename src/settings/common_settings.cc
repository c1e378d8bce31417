// Reads the settings that several kinds of processes share.

#include "settings/common_settings.h"

#include <array>
#include <boost/leaf/error.hpp>
#include <fstream>
#include <set>

#include "base/ed25519.h"
#include "shutdown/drain_controller.h"

namespace bluebellstep {
namespace {

constexpr std::size_t kMaxSettingsFileBytes = 16u << 20;
constexpr std::size_t kReadChunkBytes = 4u << 10;

}  // namespace

void read_operator_keys(SettingsReader::Section& root, OperatorKeys& keys) {
  const auto members = root.read_string_map("operator_keys");
  std::set<std::string> seen_keys;
  for (const auto& [name, key] : members) {
    const auto bytes = decode_base64(key);
    if (!bytes || bytes->size() != kPublicKeyBytes) {
      root.add_error("operator_keys", name + ": " + key,
                     "an Ed25519 public key: 32 bytes in base64");
    } else if (!seen_keys.insert(key).second) {
      // An operator with one key under two names could sign off their own bundle.
      root.add_error("operator_keys", name + ": " + key, "a key that no other operator has");
    } else {
      keys.emplace(name, key);
    }
  }
  // A bundle needs two operators: its author, and another one who signs it off.
  if (members.size() < 2) {
    root.add_error("operator_keys", std::to_string(members.size()) + " operators",
                   "at least two operators");
  }
}

void read_platform_settings(SettingsReader::Section& root, PlatformSettings& settings) {
  if (auto platform = root.section("platform")) {
    platform->read("endpoint", settings.endpoint);
    platform->read("timeout", settings.timeout, Presence::kOptional);
  }
}

void read_process_settings(SettingsReader::Section& root, ProcessSettings& settings) {
  root.read("name", settings.name);
  root.read("zone", settings.zone);
  root.read("region", settings.region);
  root.read("http_listen", settings.http_listen);
  root.read("rpc_listen", settings.rpc_listen);
  read_platform_settings(root, settings.platform);
  if (auto tls = root.section("tls", Presence::kOptional)) {
    settings.tls.emplace();
    tls->read("certificate", settings.tls->certificate);
    tls->read("private_key", settings.tls->private_key);
    tls->read("authority", settings.tls->authority);
  }
  read_operator_keys(root, settings.operator_keys);
  root.read("stop_limit", settings.stop_limit, Presence::kOptional);
  // A process that stops announces its leave first.
  if (settings.stop_limit <= DrainTimes().leave_notice_time) {
    root.add_error("stop_limit", "a duration of more than 2s");
  }
  root.read("heartbeat_interval", settings.heartbeat_interval, Presence::kOptional);
  root.read("silence_limit", settings.silence_limit, Presence::kOptional);
  if (settings.heartbeat_interval < 10_ms) {
    root.add_error("heartbeat_interval", "a duration of at least 10ms");
  }
  // A single lost heartbeat must not close the connection.
  if (settings.silence_limit < settings.heartbeat_interval * 2) {
    root.add_error("silence_limit", "at least twice heartbeat_interval");
  }
  root.read_size("max_body_bytes", settings.max_body_bytes, Presence::kOptional,
                 {1024, 1ull << 30});
}

boost::leaf::result<std::string> read_settings_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return boost::leaf::new_error(
        SettingsErrors{{{path, 0, "", "a file that cannot be opened", "a readable file"}}});
  }
  // Grows with the contents: the file is read again while the process runs, and a buffer of the
  // maximum size would dominate the memory of a small process.
  std::string text;
  std::array<char, kReadChunkBytes> chunk;
  while (file && text.size() <= kMaxSettingsFileBytes) {
    file.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    text.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (file.bad() || text.size() > kMaxSettingsFileBytes) {
    return boost::leaf::new_error(
        SettingsErrors{{{path, 0, "", "a file that is unreadable or too large",
                         "a readable file of at most 16MB"}}});
  }
  return text;
}

}  // namespace bluebellstep
