// Ed25519, SHA-256 and base64 implemented with OpenSSL's EVP interface.

#include "base/ed25519.h"

#include <openssl/evp.h>
#include <openssl/sha.h>

#include <array>
#include <cstdint>
#include <memory>
#include <stdexcept>

namespace bluebellstep {
namespace {

using KeyHandle = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using DigestHandle = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

const unsigned char* bytes_of(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

KeyHandle private_key_handle(std::string_view private_key) {
  const auto bytes = decode_base64(private_key);
  if (!bytes || bytes->size() != kPrivateKeyBytes) {
    return {nullptr, EVP_PKEY_free};
  }
  return {EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytes_of(*bytes), bytes->size()),
          EVP_PKEY_free};
}

std::string raw_public_key(const EVP_PKEY* key) {
  std::array<unsigned char, kPublicKeyBytes> bytes;
  std::size_t size = bytes.size();
  if (EVP_PKEY_get_raw_public_key(key, bytes.data(), &size) != 1) {
    throw std::runtime_error("OpenSSL returned no public key");
  }
  return std::string(reinterpret_cast<const char*>(bytes.data()), size);
}

// Returns the bytes that are signed. The domain is preceded by its length, so that no other pair of
// domain and message gives the same bytes.
std::string signing_input(std::string_view domain, std::string_view message) {
  std::string input = "bluebellstep " + std::to_string(domain.size()) + " ";
  input.append(domain).append("\n").append(message);
  return input;
}

}  // namespace

KeyPair generate_key_pair() {
  EVP_PKEY* raw = nullptr;
  const std::unique_ptr<EVP_PKEY_CTX, decltype(&EVP_PKEY_CTX_free)> context(
      EVP_PKEY_CTX_new_id(EVP_PKEY_ED25519, nullptr), EVP_PKEY_CTX_free);
  if (!context || EVP_PKEY_keygen_init(context.get()) != 1 ||
      EVP_PKEY_keygen(context.get(), &raw) != 1) {
    throw std::runtime_error("OpenSSL failed to generate an Ed25519 key");
  }
  const KeyHandle key(raw, EVP_PKEY_free);
  std::array<unsigned char, kPrivateKeyBytes> bytes;
  std::size_t size = bytes.size();
  if (EVP_PKEY_get_raw_private_key(key.get(), bytes.data(), &size) != 1) {
    throw std::runtime_error("OpenSSL returned no private key");
  }
  const std::string_view private_bytes(reinterpret_cast<const char*>(bytes.data()), size);
  return {encode_base64(private_bytes), encode_base64(raw_public_key(key.get()))};
}

std::optional<std::string> public_key_of(std::string_view private_key) {
  const KeyHandle key = private_key_handle(private_key);
  return key ? std::optional(encode_base64(raw_public_key(key.get()))) : std::nullopt;
}

std::optional<std::string> sign(std::string_view private_key,
                                std::string_view domain,
                                std::string_view message) {
  const KeyHandle key = private_key_handle(private_key);
  const DigestHandle context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  if (!key || !context ||
      EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1) {
    return std::nullopt;
  }
  const std::string input = signing_input(domain, message);
  std::array<unsigned char, kSignatureBytes> signature;
  std::size_t size = signature.size();
  if (EVP_DigestSign(context.get(), signature.data(), &size, bytes_of(input), input.size()) != 1) {
    return std::nullopt;
  }
  return encode_base64(std::string_view(reinterpret_cast<const char*>(signature.data()), size));
}

bool verify(std::string_view public_key,
            std::string_view domain,
            std::string_view message,
            std::string_view signature) {
  const auto key_bytes = decode_base64(public_key);
  const auto signature_bytes = decode_base64(signature);
  if (!key_bytes || key_bytes->size() != kPublicKeyBytes || !signature_bytes ||
      signature_bytes->size() != kSignatureBytes) {
    return false;
  }
  const KeyHandle key(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytes_of(*key_bytes),
                                                  key_bytes->size()),
                      EVP_PKEY_free);
  const DigestHandle context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  const std::string input = signing_input(domain, message);
  return key && context &&
         EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1 &&
         EVP_DigestVerify(context.get(), bytes_of(*signature_bytes), signature_bytes->size(),
                          bytes_of(input), input.size()) == 1;
}

std::string sha256_hex(std::string_view data) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(bytes_of(data), data.size(), digest.data());
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 0xf];
  }
  return hex;
}

std::string encode_base64(std::string_view bytes) {
  std::string text((bytes.size() + 2) / 3 * 4, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes_of(bytes),
                  static_cast<int>(bytes.size()));
  return text;
}

std::optional<std::string> decode_base64(std::string_view text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(text.size() / 4 * 3, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), bytes_of(text),
                                   static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
  bytes.resize(static_cast<std::size_t>(size) - padding);
  // OpenSSL's decoder accepts white space around the text and non-zero bits before the padding.
  // Comparing with the canonical encoding rejects both.
  return encode_base64(bytes) == text ? std::optional(bytes) : std::nullopt;
}

}  // namespace bluebellstep
