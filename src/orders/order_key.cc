// Parses idempotency keys. Claims are looked up by digest alone, so the hash must be collision
// resistant: otherwise an account could construct a key that collides with another account's.

#include "orders/order_key.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace bluebellstep {
namespace {

constexpr std::size_t kTimePrefixDigits = 13;
constexpr std::size_t kUuidBytes = 36;
constexpr std::size_t kUuidVersionIndex = 14;
constexpr std::size_t kUuidVariantIndex = 19;
constexpr std::size_t kUuidTimeDigits = 12;

bool is_digit(char c) {
  return c >= '0' && c <= '9';
}

char to_lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

int hex_value(char c) {
  if (is_digit(c)) {
    return c - '0';
  }
  const char lower = to_lower(c);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool is_uuid_version_7(std::string_view text) {
  if (text.size() != kUuidBytes) {
    return false;
  }
  for (std::size_t i = 0; i < kUuidBytes; ++i) {
    const bool hyphen_expected = i == 8 || i == 13 || i == 18 || i == 23;
    if (hyphen_expected ? text[i] != '-' : hex_value(text[i]) < 0) {
      return false;
    }
  }
  // The RFC 9562 variant is encoded as 10 in the two highest bits of this digit.
  return text[kUuidVersionIndex] == '7' && (hex_value(text[kUuidVariantIndex]) & 0xc) == 0x8;
}

Instant uuid_time(std::string_view uuid) {
  std::int64_t ms = 0;
  std::size_t digits = 0;
  for (std::size_t i = 0; digits < kUuidTimeDigits; ++i) {
    if (uuid[i] != '-') {
      ms = ms * 16 + hex_value(uuid[i]);
      ++digits;
    }
  }
  return {ms};
}

bool has_unix_ms_prefix(std::string_view text) {
  return text.size() > kTimePrefixDigits && text[kTimePrefixDigits] == '-' &&
         std::all_of(text.begin(), text.begin() + kTimePrefixDigits, is_digit);
}

Instant prefix_time(std::string_view text) {
  std::int64_t ms = 0;
  for (const char c : text.substr(0, kTimePrefixDigits)) {
    ms = ms * 10 + (c - '0');
  }
  return {ms};
}

// Each field is preceded by its length, so that different triples never produce the same hash
// input.
OrderDigest make_digest(std::string_view service, std::string_view account, std::string_view text) {
  std::string input = "bluebellstep order";
  for (const std::string_view field : {service, account, text}) {
    input += ' ';
    input += std::to_string(field.size());
    input += ' ';
    input += field;
  }
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash;
  SHA256(reinterpret_cast<const unsigned char*>(input.data()), input.size(), hash.data());
  OrderDigest digest;
  for (std::size_t i = 0; i < 8; ++i) {
    digest.high = digest.high << 8 | hash[i];
    digest.low = digest.low << 8 | hash[8 + i];
  }
  return digest;
}

}  // namespace

std::optional<OrderKey> OrderKey::parse(std::string_view service,
                                        std::string_view account,
                                        std::string_view text) {
  const bool printable =
      std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
  if (text.empty() || text.size() > kMaxTextBytes || !printable) {
    return std::nullopt;
  }
  if (is_uuid_version_7(text)) {
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), to_lower);
    return OrderKey(make_digest(service, account, lower), uuid_time(lower));
  }
  std::optional<Instant> creation_time;
  if (has_unix_ms_prefix(text)) {
    creation_time = prefix_time(text);
  }
  return OrderKey(make_digest(service, account, text), creation_time);
}

std::string OrderKey::object_key() const {
  std::array<char, 48> text;
  std::snprintf(text.data(), text.size(), "orders/%016llx%016llx",
                static_cast<unsigned long long>(digest_.high),
                static_cast<unsigned long long>(digest_.low));
  return text.data();
}

}  // namespace bluebellstep
