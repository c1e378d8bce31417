// Names the namespaces in which model engines and cache stores keep the segments of prompts.
// Requests find only segments of their own namespace, so these names are what keeps the segments of
// isolated accounts apart.
//
// Load pattern: an account becomes isolated while engines and stores hold segments that its earlier
// requests have made together with those of all others, and nothing tells which of them made a
// segment. Gateways start anew and know only the newest configuration, and hear of a change at
// different times. Therefore the namespace that accounts share is named after the set of isolated
// accounts: segments of a namespace were made only by accounts outside of its set, by gateways that
// knew this set. A change of the set leaves all shared segments behind; the same set finds them
// again.

#ifndef BLUEBELLSTEP_CACHE_ISOLATION_CACHE_NAMESPACES_H_
#define BLUEBELLSTEP_CACHE_ISOLATION_CACHE_NAMESPACES_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace bluebellstep {

/** Names of isolated client accounts. */
using IsolatedAccounts = std::set<std::string, std::less<>>;

/** The namespaces by the newest configuration of a gateway. */
class CacheNamespaces {
 public:
  /** Sets the accounts that share no segments with others. */
  void set_isolated_accounts(IsolatedAccounts accounts);

  /** Whether the account shares no segments with others. */
  bool is_isolated(std::string_view account) const { return isolated_.contains(account); }

  /** Returns the namespace that the accounts share which are not isolated. */
  std::string shared(std::string_view model, std::uint64_t weight_version) const;

  /** Returns the namespace of an isolated account. */
  static std::string of_account(std::string_view model,
                                std::uint64_t weight_version,
                                std::string_view account);

 private:
  IsolatedAccounts isolated_;
  std::string set_tag_;  // Names `isolated_`; empty for the empty set.
};

/** Returns the weight version of a namespace if it belongs to `model`. Other gateways and versions
 * of this program may have named it. */
std::optional<std::uint64_t> weight_version_of(std::string_view cache_namespace,
                                               std::string_view model);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_ISOLATION_CACHE_NAMESPACES_H_
