// All that the platform's store holds of streams.

#ifndef BLUEBELLSTEP_STREAM_VERSIONS_STREAM_SNAPSHOT_H_
#define BLUEBELLSTEP_STREAM_VERSIONS_STREAM_SNAPSHOT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "stream_versions/begun_streams.h"
#include "stream_versions/version_table.h"

namespace bluebellstep {

/** Names of gateways. */
using GatewayNames = std::set<std::string, std::less<>>;

/** The objects about streams by one complete list. */
struct StreamSnapshot {
  std::optional<VersionTable> table;
  GatewayNames gateways;    // That have a record.
  StreamVersionMap begun;   // Of all gateways that are not outdated.
  bool unreadable = false;  // Some record cannot be read, so `begun` may lack streams.
  std::uint64_t era = 0;    // Of the store; set it before records are added.
  GatewayNames outdated;    // Gateways that have not written their records in this era.
  GatewayNames incomplete;  // The same, and those whose records may lack streams.

  /** Adds the record of a gateway; nothing if it cannot be read. */
  void add_record(const std::string& gateway, const std::optional<StreamRecord>& record);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAM_VERSIONS_STREAM_SNAPSHOT_H_
