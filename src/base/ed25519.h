// Ed25519 keys and signatures by OpenSSL, and the base64 and hexadecimal forms they are written in.

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

/** A fresh key pair, both in base64. */
struct KeyPair {
  std::string private_key;
  std::string public_key;
};

/** Makes a key pair from the system's random numbers. Throws `std::runtime_error` if OpenSSL fails.
 */
KeyPair generate_key_pair();

/** Returns the public key (base64) of a private one, or nothing if that is not a private key. */
std::optional<std::string> public_key_of(std::string_view private_key);

/**
 * Signs `message` with a private key in base64 and returns the signature in base64, or nothing if
 * the key is not one. `domain` separates kinds of messages: a signature for one domain never holds
 * for another.
 */
std::optional<std::string> sign(std::string_view private_key,
                                std::string_view domain,
                                std::string_view message);

/** Whether `signature` (base64) is that of `message` in `domain` by the owner of `public_key`
 * (base64). */
bool verify(std::string_view public_key,
            std::string_view domain,
            std::string_view message,
            std::string_view signature);

/** SHA-256 of `data` in lower-case hexadecimal. */
std::string sha256_hex(std::string_view data);

/** Standard base64 with padding. */
std::string encode_base64(std::string_view bytes);

/** Reads standard base64 with padding; nothing if `text` is not exactly that. */
std::optional<std::string> decode_base64(std::string_view text);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_ED25519_H_
