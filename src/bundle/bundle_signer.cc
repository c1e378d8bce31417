// Signing and verification of bundle documents.

#include "bundle/bundle_signer.h"

#include <boost/leaf/error.hpp>
#include <set>

#include "base/ed25519.h"
#include "bundle/bundle_parser.h"

namespace bluebellstep {
namespace {

constexpr std::string_view kAuthorDomain = "bundle author";
constexpr std::string_view kSignOffDomain = "bundle sign-off";
constexpr std::size_t kMaxDocumentBytes = 1u << 20;  // The platform's limit for a value.

boost::leaf::error_id failure(std::string_view file,
                              std::string key,
                              std::string found,
                              std::string expected) {
  return boost::leaf::new_error(SettingsErrors{
      {{std::string(file), 0, std::move(key), std::move(found), std::move(expected)}}});
}

// Parses the envelope without verifying signatures. Leaves `SignedBundle::bundle` empty.
boost::leaf::result<SignedBundle> parse_envelope(std::string_view file, std::string_view document) {
  if (document.size() > kMaxDocumentBytes) {
    return failure(file, "", std::to_string(document.size()) + " bytes", "at most 1MB");
  }
  SettingsReader reader(file, document);
  SettingsReader::Section root = reader.root();
  SignedBundle envelope;
  std::string encoded;
  root.read("bundle", encoded);
  const auto text = decode_base64(encoded);
  if (!text) {
    root.add_error("bundle", "base64 text");
  }
  root.read("author_signature", envelope.author_signature);
  for (SettingsReader::Section& section : root.sections("sign_offs", Presence::kOptional)) {
    SignOff& sign_off = envelope.sign_offs.emplace_back();
    section.read("operator", sign_off.operator_name);
    section.read("signature", sign_off.signature);
  }
  SettingsErrors errors = reader.finish();
  if (!errors.errors.empty()) {
    return boost::leaf::new_error(std::move(errors));
  }
  envelope.text = *text;
  return envelope;
}

std::string format_envelope(const SignedBundle& envelope) {
  std::string document = "bundle: " + encode_base64(envelope.text) + "\n";
  document += "author_signature: " + envelope.author_signature + "\n";
  if (!envelope.sign_offs.empty()) {
    document += "sign_offs:\n";
  }
  for (const SignOff& sign_off : envelope.sign_offs) {
    document += "  - {operator: \"" + sign_off.operator_name + "\", signature: \"" +
                sign_off.signature + "\"}\n";
  }
  return document;
}

boost::leaf::result<void> verify_author(std::string_view file,
                                        const OperatorKeys& operators,
                                        const SignedBundle& envelope) {
  const auto author = operators.find(envelope.bundle.author);
  if (author == operators.end()) {
    return failure(file, "author", envelope.bundle.author, "an operator listed in the settings");
  }
  if (!verify(author->second, kAuthorDomain, envelope.text, envelope.author_signature)) {
    return failure(file, "author_signature", "an invalid signature",
                   "the signature of " + author->first + " over the exact text");
  }
  return {};
}

boost::leaf::result<void> verify_sign_offs(std::string_view file,
                                           const OperatorKeys& operators,
                                           const SignedBundle& envelope,
                                           SignOffRequirement requirement) {
  std::set<std::string_view> seen;
  std::size_t valid_count = 0;
  for (const SignOff& sign_off : envelope.sign_offs) {
    const std::string& name = sign_off.operator_name;
    if (name == envelope.bundle.author) {
      return failure(file, "sign_offs", name, "an operator other than the author");
    }
    if (!seen.insert(name).second) {
      return failure(file, "sign_offs", name + " a second time",
                     "at most one sign-off per operator");
    }
    const auto key = operators.find(name);
    if (key == operators.end()) {
      continue;
    }
    if (!verify(key->second, kSignOffDomain, envelope.text, sign_off.signature)) {
      return failure(file, "sign_offs", "an invalid signature",
                     "the sign-off of " + name + " over the exact text");
    }
    ++valid_count;
  }
  if (requirement == SignOffRequirement::kRequired && valid_count == 0) {
    return failure(file, "sign_offs", "no sign-off by a known operator",
                   "the sign-off of an operator other than the author");
  }
  return {};
}

}  // namespace

boost::leaf::result<SignedBundle> BundleSigner::open(std::string_view file,
                                                     std::string_view document,
                                                     SignOffRequirement requirement) const {
  BOOST_LEAF_AUTO(envelope, parse_envelope(file, document));
  BOOST_LEAF_ASSIGN(envelope.bundle,
                    BundleParser(std::string(file) + " (bundle)").parse(envelope.text));
  BOOST_LEAF_CHECK(verify_author(file, operators_, envelope));
  BOOST_LEAF_CHECK(verify_sign_offs(file, operators_, envelope, requirement));
  return envelope;
}

boost::leaf::result<std::string> BundleSigner::sign_bundle(std::string_view file,
                                                           std::string_view text,
                                                           std::string_view private_key) const {
  SignedBundle envelope;
  BOOST_LEAF_ASSIGN(envelope.bundle, BundleParser(file).parse(text));
  envelope.text = text;
  const auto signature = sign(private_key, kAuthorDomain, text);
  if (!signature) {
    return failure(file, "private key", "a value in another format",
                   "an Ed25519 private key in base64");
  }
  envelope.author_signature = *signature;
  BOOST_LEAF_CHECK(verify_author(file, operators_, envelope));
  return format_envelope(envelope);
}

boost::leaf::result<std::string> BundleSigner::sign_off(std::string_view file,
                                                        std::string_view document,
                                                        std::string_view operator_name,
                                                        std::string_view private_key) const {
  BOOST_LEAF_AUTO(envelope, open(file, document, SignOffRequirement::kNotRequired));
  if (!operators_.contains(std::string(operator_name))) {
    return failure(file, "operator", std::string(operator_name),
                   "an operator listed in the settings");
  }
  const auto signature = sign(private_key, kSignOffDomain, envelope.text);
  if (!signature) {
    return failure(file, "private key", "a value in another format",
                   "an Ed25519 private key in base64");
  }
  envelope.sign_offs.push_back({std::string(operator_name), *signature});
  BOOST_LEAF_CHECK(verify_sign_offs(file, operators_, envelope, SignOffRequirement::kRequired));
  return format_envelope(envelope);
}

}  // namespace bluebellstep
