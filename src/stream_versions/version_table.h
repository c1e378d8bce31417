// The software versions at which streams of each service may begin, as all gateways share it in the
// platform's store.
//
// Load pattern: upstreams of several software versions serve side by side for seconds or for good,
// and thousands of streams begin each second. Recording the version of each one costs more writes
// than the store bears. Therefore each service has a default version, and only streams that begin
// at another one are recorded.

#ifndef BLUEBELLSTEP_STREAM_VERSIONS_VERSION_TABLE_H_
#define BLUEBELLSTEP_STREAM_VERSIONS_VERSION_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace bluebellstep {

/** The versions of one service. The empty text is the version of upstreams that state none. */
struct ServiceVersions {
  std::string default_version;
  /** Further versions at which streams may begin, each with the epoch that admitted it. */
  std::map<std::string, std::uint64_t, std::less<>> admitted;

  bool operator==(const ServiceVersions&) const = default;
};

/** The versions of all services with resumable streams. */
struct VersionTable {
  std::uint64_t epoch = 0;  // Rises with each change; 0 for a table that was never stored.
  std::map<std::string, ServiceVersions, std::less<>> services;

  /** Returns the versions of a service, or null. */
  const ServiceVersions* find(std::string_view service) const;

  bool operator==(const VersionTable&) const = default;
};

/** Encodes a table as JSON text. */
std::string encode_version_table(const VersionTable& table);
/** Decodes a table; nothing if the text is not one. */
std::optional<VersionTable> decode_version_table(std::string_view text);

/** The number of registered upstreams that accept requests, by software version. A version whose
 * upstreams are all leaving is present with the number 0. */
using VersionCounts = std::map<std::string, std::size_t, std::less<>>;

/** Decides on changes of the table from the registered upstreams. All times are read from one
 * monotonic clock. */
class VersionTablePlanner {
 public:
  /** The default version moves when its last upstream has been gone for this long. Streams at it
   * have ended by then: an upstream that leaves serves for some seconds more. */
  static constexpr Duration kDefaultGone{20'000};
  /** An admitted version is dropped when its last upstream has been gone for this long, so that
   * gateways need not ask the store any more. No stream lasts as long as that. */
  static constexpr Duration kAdmittedGone{60'000};

  /** Sets the registered upstreams of each service with resumable streams. */
  void set_counts(std::map<std::string, VersionCounts, std::less<>> counts, Instant now);

  /** Returns the table that should replace `table`, with the next epoch; nothing if it is right. */
  std::optional<VersionTable> plan(const VersionTable& table, Instant now) const;

 private:
  // How long a version has had no registered upstream, as far as this gateway knows.
  Duration absence(std::string_view service, std::string_view version, Instant now) const;
  void plan_service(const std::string& service,
                    const VersionCounts& counts,
                    ServiceVersions& versions,
                    std::uint64_t next_epoch,
                    Instant now) const;

  std::map<std::string, VersionCounts, std::less<>> counts_;
  std::optional<Instant> first_counts_at_;
  // By service and version: when an upstream was last registered.
  std::map<std::string, std::map<std::string, Instant, std::less<>>, std::less<>> last_seen_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAM_VERSIONS_VERSION_TABLE_H_
