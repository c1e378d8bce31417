// The signed document of a bundle: its exact text, the author's signature and the sign-offs.
//
// The document is YAML with the keys `bundle` (the text in base64, so that its exact bytes survive
// any editor), `author_signature` and `sign_offs`, a list of {operator, signature}. The author is
// named in the text itself.

#ifndef BLUEBELLSTEP_BUNDLE_BUNDLE_SIGNER_H_
#define BLUEBELLSTEP_BUNDLE_BUNDLE_SIGNER_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "bundle/bundle.h"
#include "settings/common_settings.h"

namespace bluebellstep {

/** Consent of one operator to a bundle. */
struct SignOff {
  std::string operator_name;
  std::string signature;  // Base64.
};

/** A signed document and what it contains. */
struct SignedBundle {
  Bundle bundle;
  std::string text;  // The signed bytes.
  std::string author_signature;
  std::vector<SignOff> sign_offs;
};

/** Whether a document must be signed off to be accepted. */
enum class SignOffRequirement { kNeeded, kNotRequired };

/** Makes and checks signed documents. All functions fail with `SettingsErrors`. */
class BundleSigner {
 public:
  /** Accepts signatures by `operators`. */
  explicit BundleSigner(OperatorKeys operators) : operators_(std::move(operators)) {}

  /**
   * Checks a document in full: the author's signature, every sign-off by a known operator, and the
   * contents. With `kNeeded` there must be a sign-off by a known operator other than the author.
   * A sign-off by an unknown operator counts for nothing, so that a new operator's sign-off does
   * not block processes that do not have the new key yet.
   */
  boost::leaf::result<SignedBundle> open(
      std::string_view file,
      std::string_view document,
      SignOffRequirement need = SignOffRequirement::kNeeded) const;

  /** Returns the document of `text` signed with the author's private key (base64). */
  boost::leaf::result<std::string> sign_bundle(std::string_view file,
                                               std::string_view text,
                                               std::string_view private_key) const;

  /** Returns `document` with a further sign-off by `operator_name`. */
  boost::leaf::result<std::string> sign_off(std::string_view file,
                                            std::string_view document,
                                            std::string_view operator_name,
                                            std::string_view private_key) const;

 private:
  OperatorKeys operators_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BUNDLE_BUNDLE_SIGNER_H_
