// What a restore of the store from an older copy leaves unknown about streams.
//
// The store may have lost records that it had acknowledged. Each gateway still has the streams that
// it began, and writes its record again; only what gateways have forgotten that stopped meanwhile
// is lost. No record means the default version of a service only once nothing can be missing.

#ifndef BLUEBELLSTEP_STREAM_VERSIONS_RESTORED_RECORDS_H_
#define BLUEBELLSTEP_STREAM_VERSIONS_RESTORED_RECORDS_H_

#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "stream_versions/stream_snapshot.h"

namespace bluebellstep {

/** Which gateways have written their records in the newest era of the store. Performs no I/O. */
class RestoredRecords {
 public:
  /** The store was restored.
   *
   * @param since     When this gateway first knew of it.
   * @param gateways  All that this gateway knew before; the list of the store may have lost some.
   */
  void raise(std::uint64_t era, Instant since, GatewayNames gateways);

  /** Takes in a list of the store, if it is of the newest era.
   *
   * @param table  The newest table that this gateway knows.
   */
  void apply(const StreamSnapshot& snapshot, const VersionTable& table);

  /** The newest era; 0 if the store was never restored. */
  std::uint64_t era() const { return era_; }
  /** When this gateway first knew of the era. */
  Instant since() const { return since_; }

  /** Gateways that were known before the restore. */
  const GatewayNames& gateways_before() const { return gateways_before_; }

  /** Whether the store is known to hold the newest table that this gateway knew when the era
   * began, or one that followed it. */
  bool has_table() const { return lost_nothing() || has_table_; }

  /** Whether no restore is known since the first table was written. */
  bool lost_nothing() const { return era_ == 0 || lost_nothing_; }

  /** Whether a gateway has written its record in this era. Always true `kSettleTime` after the
   * restore: a gateway that has not heard of it begins no streams by then. */
  bool is_written(std::string_view gateway, Instant now) const;

  /** Whether the list contains all records of open streams of a service.
   *
   * @param versions    Those of the service; null if the table does not have it.
   * @param registered  The registered gateways.
   */
  bool is_complete(const ServiceVersions* versions,
                   const GatewayNames& registered,
                   Instant now) const;

  /** The same for all services of a table. */
  bool is_complete(const VersionTable& table, const GatewayNames& registered, Instant now) const;

 private:
  bool has_all_records(const GatewayNames& registered) const;

  std::uint64_t era_ = 0;
  Instant since_;
  bool has_table_ = false;
  bool lost_nothing_ = false;
  GatewayNames gateways_before_;
  // By the last list.
  GatewayNames listed_;
  GatewayNames written_;
  GatewayNames complete_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAM_VERSIONS_RESTORED_RECORDS_H_
