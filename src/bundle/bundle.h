// Contents of the configuration bundle: what operators decide about the whole system.

#ifndef BLUEBELLSTEP_BUNDLE_BUNDLE_H_
#define BLUEBELLSTEP_BUNDLE_BUNDLE_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "http/http_types.h"
#include "settings/sidecar_settings.h"

namespace bluebellstep {

/** State of an availability zone. Compares with zone notices by `serial`; the highest wins. */
struct BundleZone {
  std::string name;
  std::string region;
  bool in_service = true;
  std::uint64_t serial = 0;

  bool operator==(const BundleZone&) const = default;
};

/** A client account. */
struct BundleAccount {
  std::string name;
  double share = 1;                  // Weight among the accounts; positive.
  std::int32_t priority = 0;         // From 0 to 100, the highest first within the account.
  std::string credential_sha256;     // Digest of the bearer token in lower-case hexadecimal.
  std::vector<std::string> classes;  // Service classes that the account may ask for.

  bool operator==(const BundleAccount&) const = default;
};

/** A model on offer. */
struct BundleModel {
  std::string name;
  std::string weight_version;                 // What new requests run on.
  std::vector<std::string> further_versions;  // What they may run on besides, during a swap.

  bool operator==(const BundleModel&) const = default;
};

/** A back end and the sidecar beside it. */
struct BundleUpstream {
  std::string name;
  std::string zone;
  UpstreamKind kind = UpstreamKind::kEngine;
  std::vector<std::string> models;  // Engines only; not empty there.
  std::string service;              // Services only.
  Endpoint rpc;                     // Of the sidecar.

  bool operator==(const BundleUpstream&) const = default;
};

/** Owners of the order keys born from `effective` (Unix time) up to the next table. */
struct BundleOrderTable {
  Instant effective;
  std::vector<std::string> upstreams;

  bool operator==(const BundleOrderTable&) const = default;
};

/** A plain service. */
struct BundleService {
  std::string name;
  std::vector<BundleOrderTable> order_tables;  // By rising `effective`.
  std::vector<std::string> idempotent_paths;   // Prefixes.
  std::vector<std::string> non_idempotent_paths;

  /** Whether calls of `path` may run twice. The longest listed prefix decides; a path without one
   * counts as not idempotent, since that is safe for any path. */
  bool is_idempotent(std::string_view path) const;

  bool operator==(const BundleService&) const = default;
};

/** A cache store. */
struct BundleStore {
  std::string name;
  std::string zone;
  Endpoint endpoint;
  std::uint64_t memory_link_bytes_per_s = 0;
  std::uint64_t disk_link_bytes_per_s = 0;

  bool operator==(const BundleStore&) const = default;
};

/** Limits on requests, the same at every entry instance. */
struct BundleLimits {
  Duration request_deadline = {120'000};
  std::uint64_t max_prompt_bytes = 4u << 20;
  std::uint32_t max_tokens = 8192;              // Of one answer.
  std::uint32_t max_queued_per_account = 1000;  // Requests waiting at one sidecar.

  bool operator==(const BundleLimits&) const = default;
};

/** The parsed and validated contents of one generation. All names are unique within their list and
 * all references exist. */
struct Bundle {
  std::uint64_t generation = 0;  // From 1.
  std::string author;
  std::vector<BundleZone> zones;
  std::vector<BundleAccount> accounts;
  std::vector<BundleModel> models;
  std::vector<BundleUpstream> upstreams;
  std::vector<BundleService> services;
  std::vector<BundleStore> stores;
  BundleLimits limits;

  bool operator==(const Bundle&) const = default;
};

/** Returns the entry called `name` of a list of a bundle, or null. Linear; build a map for use on
 * the request path. */
template <typename Entry>
const Entry* find_by_name(const std::vector<Entry>& entries, std::string_view name) {
  const auto found = std::find_if(entries.begin(), entries.end(),
                                  [name](const Entry& entry) { return entry.name == name; });
  return found == entries.end() ? nullptr : &*found;
}

/** Index of the table in force for keys born at `birth`, or nothing if none is yet. */
std::optional<std::size_t> order_table_index(std::span<const BundleOrderTable> tables,
                                             Instant creation_time);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BUNDLE_BUNDLE_H_
