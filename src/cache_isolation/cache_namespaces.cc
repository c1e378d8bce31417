// Names are "wVERSION/MODEL" while no account is isolated, else "wVERSION+SET/MODEL", and
// "wVERSION/MODEL/ACCOUNT" for an isolated account.

#include "cache_isolation/cache_namespaces.h"

#include <array>
#include <charconv>
#include <utility>

#include "base/hash.h"

namespace bluebellstep {
namespace {

// Keeps a slash in the name of a model or an account from being read as the end of the name.
std::string escaped(std::string_view name) {
  std::string text;
  for (const char c : name) {
    if (c == '/') {
      text += "%2F";
    } else if (c == '%') {
      text += "%25";
    } else {
      text += c;
    }
  }
  return text;
}

std::string tag_of(const IsolatedAccounts& accounts) {
  if (accounts.empty()) {
    return {};
  }
  std::string names;
  for (const std::string& account : accounts) {
    names.append(std::to_string(account.size())).append(":").append(account);
  }
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), hash64(names), 16).ptr;
  return "+" + std::string(digits.data(), end);
}

std::string name_of(std::string_view model, std::uint64_t weight_version, std::string_view tag) {
  return "w" + std::to_string(weight_version) + std::string(tag) + "/" + escaped(model);
}

}  // namespace

void CacheNamespaces::set_isolated_accounts(IsolatedAccounts accounts) {
  isolated_ = std::move(accounts);
  set_tag_ = tag_of(isolated_);
}

std::string CacheNamespaces::shared(std::string_view model, std::uint64_t weight_version) const {
  return name_of(model, weight_version, set_tag_);
}

std::string CacheNamespaces::of_account(std::string_view model,
                                        std::uint64_t weight_version,
                                        std::string_view account) {
  return name_of(model, weight_version, "") + "/" + escaped(account);
}

std::optional<std::uint64_t> weight_version_of(std::string_view cache_namespace,
                                               std::string_view model) {
  const std::size_t slash = cache_namespace.find('/');
  if (!cache_namespace.starts_with('w') || slash == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view model_part = cache_namespace.substr(slash + 1);
  const char* const start = cache_namespace.data() + 1;
  const char* const tag_or_slash = cache_namespace.data() + slash;
  std::uint64_t version = 0;
  const auto [end, error] = std::from_chars(start, tag_or_slash, version);
  const bool has_version = error == std::errc() && (end == tag_or_slash || *end == '+');
  return has_version && model_part.substr(0, model_part.find('/')) == escaped(model)
             ? std::optional(version)
             : std::nullopt;
}

}  // namespace bluebellstep
