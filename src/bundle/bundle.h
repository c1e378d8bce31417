// Contents of the configuration bundle: the configuration that applies to all processes.

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

/** State of an availability zone. Between this and the zone notices, the highest `serial` takes
 * precedence. */
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
  double share = 1;                  // Weight in fair sharing; positive.
  std::int32_t priority = 0;         // 0 to 100; highest first within the account.
  std::string credential_sha256;     // Of the bearer token, in lower-case hexadecimal.
  std::vector<std::string> classes;  // Service classes that the account may request.

  bool operator==(const BundleAccount&) const = default;
};

/** A model that callers can request. */
struct BundleModel {
  std::string name;
  std::string weight_version;                 // Of new requests.
  std::vector<std::string> further_versions;  // Also allowed, during a weight swap.

  bool operator==(const BundleModel&) const = default;
};

/** A model server or an instance of a plain service, and its sidecar. */
struct BundleUpstream {
  std::string name;
  std::string zone;
  UpstreamKind kind = UpstreamKind::kEngine;
  std::vector<std::string> models;  // Engines only; not empty for these.
  std::string service;              // Plain services only.
  Endpoint rpc;                     // RPC endpoint of the sidecar.

  bool operator==(const BundleUpstream&) const = default;
};

/** Owners of the order keys created at `effective` (Unix time) or later, until the next table takes
 * effect. */
struct BundleOrderTable {
  Instant effective;
  std::vector<std::string> upstreams;

  bool operator==(const BundleOrderTable&) const = default;
};

/** A plain service. */
struct BundleService {
  std::string name;
  std::vector<BundleOrderTable> order_tables;     // By ascending `effective`.
  std::vector<std::string> idempotent_paths;      // Path prefixes.
  std::vector<std::string> non_idempotent_paths;  // Path prefixes.

  /** Whether calls of `path` may be executed more than once. The longest matching prefix of both
   * lists decides. A path without a match counts as not idempotent, which is always safe. */
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
  std::uint32_t max_tokens = 8192;              // Per answer.
  std::uint32_t max_queued_per_account = 1000;  // Queued requests at one sidecar.

  bool operator==(const BundleLimits&) const = default;
};

/** The parsed and validated contents of one generation. Names are unique within their list. All
 * references are valid, except that older order tables may name removed upstreams. */
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

/** Returns the entry of `entries` whose name is `name`, or null. Takes linear time; build a map for
 * lookups on the request path. */
template <typename Entry>
const Entry* find_by_name(const std::vector<Entry>& entries, std::string_view name) {
  const auto found = std::find_if(entries.begin(), entries.end(),
                                  [name](const Entry& entry) { return entry.name == name; });
  return found == entries.end() ? nullptr : &*found;
}

/** Index of the table that applies to keys created at `creation_time`; nullopt if this is before
 * the first table takes effect. `tables` must be in ascending order of `effective`. */
std::optional<std::size_t> order_table_index(std::span<const BundleOrderTable> tables,
                                             Instant creation_time);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BUNDLE_BUNDLE_H_
