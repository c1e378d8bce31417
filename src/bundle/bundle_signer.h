// The signed document of a bundle: its exact text, the author's signature and the sign-offs.
//
// The document is YAML with the keys `bundle` (the text in base64, so that editors preserve
// its exact bytes), `author_signature` and `sign_offs`, a list of {operator, signature}. The author
// is named in the text itself.

#ifndef BLUEBELLSTEP_BUNDLE_BUNDLE_SIGNER_H_
#define BLUEBELLSTEP_BUNDLE_BUNDLE_SIGNER_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "bundle/bundle.h"
#include "settings/common_settings.h"

namespace bluebellstep {

/** Approval of a bundle by one operator. */
struct SignOff {
  std::string operator_name;
  std::string signature;  // Base64.
};

/** Contents of a signed document. */
struct SignedBundle {
  Bundle bundle;
  std::string text;  // The signed bytes.
  std::string author_signature;
  std::vector<SignOff> sign_offs;
};

/** Whether a document needs a valid sign-off to be accepted. */
enum class SignOffRequirement { kRequired, kNotRequired };

/** Creates and verifies signed documents. All functions fail with `SettingsErrors`. */
class BundleSigner {
 public:
  /** Accepts only signatures by `operators`. */
  explicit BundleSigner(OperatorKeys operators) : operators_(std::move(operators)) {}

  /**
   * Parses and verifies a document: the author's signature, every sign-off by a known operator, and
   * the contents. With `kRequired`, a known operator other than the author must have signed off.
   * Sign-offs by unknown operators are ignored, so that the sign-off of a new operator does not
   * make processes that do not have the new key yet refuse the bundle. `file` is the name to report
   * in errors.
   */
  boost::leaf::result<SignedBundle> open(
      std::string_view file,
      std::string_view document,
      SignOffRequirement requirement = SignOffRequirement::kRequired) const;

  /** Returns a document of `text`, signed with the author's private key (base64). */
  boost::leaf::result<std::string> sign_bundle(std::string_view file,
                                               std::string_view text,
                                               std::string_view private_key) const;

  /** Returns `document` with an additional sign-off by `operator_name`, signed with the operator's
   * private key (base64). */
  boost::leaf::result<std::string> sign_off(std::string_view file,
                                            std::string_view document,
                                            std::string_view operator_name,
                                            std::string_view private_key) const;

 private:
  OperatorKeys operators_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BUNDLE_BUNDLE_SIGNER_H_
