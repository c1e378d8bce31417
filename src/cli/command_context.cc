// Helpers that all command groups share.

#include "cli/command_context.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace bluebellstep {

boost::leaf::result<std::string> read_key_file(const std::string& path) {
  BOOST_LEAF_AUTO(text, read_settings_file(path));
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

boost::leaf::result<void> write_file(const std::string& path,
                                     std::string_view contents,
                                     bool exclusive) {
  const int flags = O_WRONLY | O_CREAT | O_CLOEXEC | (exclusive ? O_EXCL : O_TRUNC);
  const int file = open(path.c_str(), flags, exclusive ? 0600 : 0644);
  bool succeeded = file >= 0;
  std::string_view rest = contents;
  while (succeeded && !rest.empty()) {
    const ssize_t written = write(file, rest.data(), rest.size());
    succeeded = written > 0;
    rest.remove_prefix(succeeded ? static_cast<std::size_t>(written) : 0);
  }
  const int error = errno;
  succeeded = (file < 0 || close(file) == 0) && succeeded;
  if (!succeeded) {
    return boost::leaf::new_error(
        CommandFailure{ExitCode::kFailed, path + ": cannot write: " + std::strerror(error)});
  }
  return {};
}

std::string percent_encode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                            (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
    if (unreserved) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kDigits[byte >> 4];
    encoded += kDigits[byte & 0xf];
  }
  return encoded;
}

void add_operator_commands(CLI::App& app, CommandContext& context) {
  CLI::App* const bundle = app.add_subcommand("bundle", "work on the configuration bundle");
  bundle->require_subcommand(1);
  add_bundle_file_commands(*bundle, context);
  add_bundle_platform_commands(*bundle, context);
  add_zone_commands(app, context);
  add_explain_command(app, context);
  add_settings_commands(app, context);
  add_config_commands(app, context);
}

int run_command_line(CLI::App& app, CommandContext& context, int argc, const char* const* argv) {
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, context.out, context.err);
    return static_cast<int>(code == 0 ? ExitCode::kSuccess : ExitCode::kBadInput);
  }
  return static_cast<int>(context.exit_code);
}

}  // namespace bluebellstep
