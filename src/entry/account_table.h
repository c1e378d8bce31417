// Client accounts by credential.

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

/** The account and class under which a request runs. */
struct CallerIdentity {
  BundleAccount account;
  std::string service_class;
};

/** Finds the client account of a request by its bearer token. Tokens are compared by their SHA-256
 * digests. */
class AccountTable {
 public:
  AccountTable() = default;
  explicit AccountTable(const Bundle& bundle);

  /**
   * Returns who sends a request with these headers. `authorization: Bearer TOKEN` is required.
   * `x-client-account` may name the account, which must be the token's own; `x-service-class`
   * chooses one of the account's classes.
   */
  std::variant<CallerIdentity, Verdict> identify(std::span<const HttpHeader> headers) const;

 private:
  std::map<std::string, BundleAccount, std::less<>> by_digest_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_ACCOUNT_TABLE_H_
