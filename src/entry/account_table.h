// Authenticates callers by the credentials of their client accounts.

#ifndef BLUEBELLSTEP_ENTRY_ACCOUNT_TABLE_H_
#define BLUEBELLSTEP_ENTRY_ACCOUNT_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "base/verdict.h"
#include "bundle/bundle.h"
#include "http/http_types.h"

namespace bluebellstep {

/** Client account and service class of a request. */
struct CallerIdentity {
  BundleAccount account;
  std::string service_class;
};

/** Table of the client accounts of a bundle, looked up by bearer token. Only the SHA-256 digests of
 * the tokens are stored. */
class AccountTable {
 public:
  AccountTable() = default;
  explicit AccountTable(const Bundle& bundle);

  /**
   * Returns the account and service class of a request with these headers, or the verdict with
   * which to refuse it. The header `authorization: Bearer TOKEN` is required. `x-client-account` is
   * optional and must name the account of the token. `x-service-class` selects one of the classes
   * of the account; the default is its first class, or `standard` if it has none.
   */
  std::variant<CallerIdentity, Verdict> identify(std::span<const HttpHeader> headers) const;

 private:
  std::map<std::string, BundleAccount, std::less<>> by_digest_;  // By SHA-256 of the token, in hex.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_ACCOUNT_TABLE_H_
