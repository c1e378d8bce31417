// Lookups in the contents of a bundle.

#include "bundle/bundle.h"

namespace bluebellstep {
namespace {

// Length of the longest prefix of `path` among `prefixes`; 0 if there is none.
std::size_t longest_prefix(std::span<const std::string> prefixes, std::string_view path) {
  std::size_t longest = 0;
  for (const std::string& prefix : prefixes) {
    if (path.starts_with(prefix)) {
      longest = std::max(longest, prefix.size());
    }
  }
  return longest;
}

}  // namespace

bool BundleService::is_idempotent(std::string_view path) const {
  return longest_prefix(idempotent_paths, path) > longest_prefix(non_idempotent_paths, path);
}

std::optional<std::size_t> order_table_index(std::span<const BundleOrderTable> tables,
                                             Instant creation_time) {
  std::optional<std::size_t> found;
  for (std::size_t i = 0; i < tables.size() && tables[i].effective <= creation_time; ++i) {
    found = i;
  }
  return found;
}

}  // namespace bluebellstep
