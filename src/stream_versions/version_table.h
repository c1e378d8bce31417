// The software versions at which streams of each service may begin, as all gateways share it in the
// platform's store.
//
// Load pattern: upstreams of several software versions serve side by side for seconds or for good,
// and thousands of streams begin each second. Recording the version of each one costs more writes
// than the store bears. Therefore each service has a default version, and only streams that begin
// at another one are recorded.

#ifndef BLUEBELLSTEP_STREAM_VERSIONS_VERSION_TABLE_H_
#define BLUEBELLSTEP_STREAM_VERSIONS_VERSION_TABLE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace bluebellstep {

/** A further version of a service. */
struct AdmittedVersion {
  std::uint64_t epoch = 0;  // Of the table that admitted it, or that began to withdraw it.
  // No stream begins at it any more. It is dropped once no stream that began at it can be open.
  bool withdrawn = false;

  bool operator==(const AdmittedVersion&) const = default;
};

/** The versions of one service. The empty text is the version of upstreams that state none. */
struct ServiceVersions {
  /** The version at which streams without a record began. */
  std::string default_version;
  /** Epoch of the table since which streams at the default version are recorded too, so that
   * another version can become the default one; 0 if they are not recorded. */
  std::uint64_t recorded_since = 0;
  /** Further versions at which streams begin, or began. */
  std::map<std::string, AdmittedVersion, std::less<>> admitted;

  bool operator==(const ServiceVersions&) const = default;
};

/** The versions of all services with resumable streams. */
struct VersionTable {
  // Rises with each change; 0 for a table that was never stored. It starts with the era of the
  // store in which the change was made, since a restored store loses the last changes.
  std::uint64_t epoch = 0;
  // The table follows all of earlier eras up to this epoch.
  std::uint64_t includes = 0;
  // The era in which the first table was written. Nothing was lost before the next one.
  std::uint64_t first_era = 0;
  std::map<std::string, ServiceVersions, std::less<>> services;

  /** Returns the versions of a service, or null. */
  const ServiceVersions* find(std::string_view service) const;

  bool operator==(const VersionTable&) const = default;
};

/** Returns the lowest epoch of an era. 52 bits of an epoch are used, since JSON numbers may be read
 * as floating-point numbers. */
constexpr std::uint64_t first_epoch(std::uint64_t era) {
  constexpr unsigned kCountBits = 32;
  constexpr std::uint64_t kMaxEra = (1u << 20) - 1;
  return std::min(era, kMaxEra) << kCountBits;
}

/** Returns the epoch of a change that follows `epoch`. */
constexpr std::uint64_t next_epoch(std::uint64_t epoch, std::uint64_t era) {
  return std::max(epoch, first_epoch(era)) + 1;
}

/** Whether `table` follows `known`, so that it contains all that `known` tells. */
bool supersedes(const VersionTable& table, const VersionTable& known);

/** Returns a table that the store has lost as it has to be written in this era, after a table of
 * `listed_epoch`. It counts as a new one, since some gateways know only what the store holds. */
VersionTable written_again(const VersionTable& table,
                           std::uint64_t listed_epoch,
                           std::uint64_t era);

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
  /** A version without a registered upstream for this long is no longer needed. Releases replace
   * upstreams within seconds. */
  static constexpr Duration kGone{20'000};
  /** A version is given up this long after all gateways know that it is about to be. By then no
   * gateway acts on an older table, see `StreamVersionDirectory::kMaxWithoutStore`, and no stream
   * that began by one is open: callers wait for a minute at most. */
  static constexpr Duration kSettleTime{360'000};

  /** Returns for how long all gateways have known the table of an epoch; 0 if some may not. */
  using KnownFor = std::function<Duration(std::uint64_t epoch)>;

  /** Sets the registered upstreams of each service with resumable streams. */
  void set_counts(std::map<std::string, VersionCounts, std::less<>> counts, Instant now);

  /** Sets the era of the store. */
  void set_era(std::uint64_t era) { era_ = era; }

  /** Returns the table that should replace `table`, with the next epoch; nothing if it is right. */
  std::optional<VersionTable> plan(const VersionTable& table,
                                   const KnownFor& known_for,
                                   Instant now) const;

 private:
  // Whether a version has had no registered upstream for `kGone`, as far as this gateway knows.
  bool is_gone(std::string_view service, std::string_view version, Instant now) const;
  void plan_service(const std::string& service,
                    const VersionCounts& counts,
                    ServiceVersions& versions,
                    std::uint64_t next_epoch,
                    const KnownFor& known_for,
                    Instant now) const;

  std::uint64_t era_ = 0;
  std::map<std::string, VersionCounts, std::less<>> counts_;
  // By service: when it first had a registered upstream.
  std::map<std::string, Instant, std::less<>> known_since_;
  // By service and version: when an upstream was last registered.
  std::map<std::string, std::map<std::string, Instant, std::less<>>, std::less<>> last_seen_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAM_VERSIONS_VERSION_TABLE_H_
