// Ed25519 keys and signatures, SHA-256 digests and base64.

#ifndef BLUEBELLSTEP_BASE_ED25519_H_
#define BLUEBELLSTEP_BASE_ED25519_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bluebellstep {

inline constexpr std::size_t kPublicKeyBytes = 32;
inline constexpr std::size_t kPrivateKeyBytes = 32;
inline constexpr std::size_t kSignatureBytes = 64;

/** An Ed25519 key pair. Both keys are base64 of their raw 32 bytes. */
struct KeyPair {
  std::string private_key;
  std::string public_key;
};

/** Generates a random key pair. Throws `std::runtime_error` if OpenSSL fails. */
KeyPair generate_key_pair();

/** Returns the public key that belongs to `private_key`, both in base64, or nothing if
 * `private_key` is not a private key. */
std::optional<std::string> public_key_of(std::string_view private_key);

/**
 * Signs `message` with a private key in base64 and returns the signature in base64, or nothing if
 * `private_key` is not a private key. `domain` separates kinds of messages: a signature for one
 * domain is never valid for another.
 */
std::optional<std::string> sign(std::string_view private_key,
                                std::string_view domain,
                                std::string_view message);

/** Returns whether `signature` is a valid signature of `message` in `domain` by the private key
 * that belongs to `public_key`. Key and signature are in base64. */
bool verify(std::string_view public_key,
            std::string_view domain,
            std::string_view message,
            std::string_view signature);

/** Returns the SHA-256 digest of `data` in lower-case hexadecimal. */
std::string sha256_hex(std::string_view data);

/** Encodes `bytes` as standard base64 with padding. */
std::string encode_base64(std::string_view bytes);

/** Decodes standard base64 with padding. Returns nothing if `text` is not the canonical encoding of
 * any bytes. */
std::optional<std::string> decode_base64(std::string_view text);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_ED25519_H_
