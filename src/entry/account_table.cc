// Checks the bearer token, account name and service class of a request.

#include "entry/account_table.h"

#include <algorithm>

#include "base/ed25519.h"

namespace bluebellstep {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kDefaultClass = "standard";

Verdict unauthorized(std::string_view detail) {
  return Verdict::not_run(Reason::kUnauthorized, detail);
}

}  // namespace

AccountTable::AccountTable(const Bundle& bundle) {
  for (const BundleAccount& account : bundle.accounts) {
    by_digest_.emplace(account.credential_sha256, account);
  }
}

std::variant<CallerIdentity, Verdict> AccountTable::identify(
    std::span<const HttpHeader> headers) const {
  const auto authorization = find_header(headers, "authorization");
  if (!authorization.has_value() || !authorization->starts_with(kBearerPrefix)) {
    return unauthorized("header \"authorization: Bearer TOKEN\" is missing");
  }
  const auto found = by_digest_.find(sha256_hex(authorization->substr(kBearerPrefix.size())));
  if (found == by_digest_.end()) {
    return unauthorized("the bearer token belongs to no client account");
  }
  const BundleAccount& account = found->second;
  const auto requested_account = find_header(headers, "x-client-account");
  if (requested_account.has_value() && *requested_account != account.name) {
    return unauthorized(
        "the bearer token does not belong to the client account in \"x-client-account\"");
  }
  const auto requested_class = find_header(headers, "x-service-class");
  if (!requested_class.has_value()) {
    const bool has_classes = !account.classes.empty();
    return CallerIdentity{account,
                          has_classes ? account.classes.front() : std::string(kDefaultClass)};
  }
  if (std::find(account.classes.begin(), account.classes.end(), *requested_class) ==
      account.classes.end()) {
    return unauthorized("the client account has no service class with this name");
  }
  return CallerIdentity{account, std::string(*requested_class)};
}

}  // namespace bluebellstep
