// Reads TLS keys and generates incarnation numbers.

#include "process/process_runtime.h"

#include <openssl/rand.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace bluebellstep {
namespace {

std::string read_tls_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    throw std::runtime_error("cannot read TLS file " + path);
  }
  return text.str();
}

}  // namespace

std::optional<TlsKeys> load_tls_keys(const ProcessSettings& settings) {
  if (!settings.tls.has_value()) {
    return std::nullopt;
  }
  return TlsKeys{read_tls_file(settings.tls->certificate), read_tls_file(settings.tls->private_key),
                 read_tls_file(settings.tls->authority)};
}

std::uint64_t make_incarnation() {
  std::uint64_t number = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&number), sizeof(number)) != 1) {
    throw std::runtime_error("cannot generate a random incarnation number");
  }
  // Above 0 even if it is interpreted as a signed 64-bit number, in logs or JSON.
  return number >> 1 | 1;
}

}  // namespace bluebellstep
