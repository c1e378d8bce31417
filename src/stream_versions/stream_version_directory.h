// Decides at which software versions streams may begin, and at which one a stream continues.
//
// Load pattern: callers whose streams broke off come back to any gateway, hundreds at once after a
// crash, while some gateways cannot reach the store or each other. The decision must neither join
// two versions nor ask the store where only one version serves. docs/design/stream-versions.md has
// the rules and why they are safe.

#ifndef BLUEBELLSTEP_STREAM_VERSIONS_STREAM_VERSION_DIRECTORY_H_
#define BLUEBELLSTEP_STREAM_VERSIONS_STREAM_VERSION_DIRECTORY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "stream_versions/begun_streams.h"
#include "stream_versions/restored_records.h"
#include "stream_versions/stream_belief.h"
#include "stream_versions/stream_snapshot.h"
#include "stream_versions/version_table.h"

namespace bluebellstep {

/** The knowledge of one gateway. Performs no I/O. All times are read from one monotonic clock. */
class StreamVersionDirectory {
 public:
  /** A gateway that does not say that it knows a table holds up the use of the versions that the
   * table admits until it has not been heard for this long. */
  static constexpr Duration kSilence{3000};
  /** A gateway trusts its own table while it heard every other gateway within this time. Less than
   * `kSilence` by more than a datagram is delayed or a paused process goes unnoticed. */
  static constexpr Duration kHeardWithin{1500};
  /** A gateway that was not heard for longer than this and then is may have been paused itself, and
   * read datagrams that had waited. */
  static constexpr Duration kMaxReportGap{1200};
  /** A gateway trusts its own table for this long without the store, as others may have joined
   * since then. */
  static constexpr Duration kTrustWithoutStore{60'000};
  /** A gateway whose record is new waits for others, however long they are silent, for this time:
   * they may not know it. More than `kTrustWithoutStore` by more than a registration takes to reach
   * all gateways. */
  static constexpr Duration kNewcomerTime{80'000};
  /** A gateway without the store for this long begins no streams: the default version may have
   * moved. Less than `VersionTablePlanner::kSettleTime` by the longest stream. */
  static constexpr Duration kMaxWithoutStore{300'000};
  /** A list of the store tells nothing to a caller that has waited for longer, since the process
   * was paused: a stream whose caller's deadline has passed has no record any more. Less than the
   * time for which records are kept after the deadline. */
  static constexpr Duration kMaxLookupTime{3000};

  explicit StreamVersionDirectory(std::string own_name) : own_name_(std::move(own_name)) {}

  /** Sets the services with resumable streams. Streams of others may begin and continue anywhere. A
   * service stays covered, since open streams at it may continue. */
  void add_services(const std::set<std::string, std::less<>>& services) {
    services_.insert(services.begin(), services.end());
  }
  bool covers(std::string_view service) const { return services_.contains(service); }

  /** Sets the names of the registered gateways. They may not be in the list of the store yet. */
  void set_registered(std::set<std::string, std::less<>> names) { registered_ = std::move(names); }

  /** This gateway has created its record: no other gateway knows it from before. */
  void record_joined(Instant now) { joined_at_ = now; }

  /** The list of the gateways is no longer known, since this one was removed from it. */
  void forget_gateways() {
    listed_gateways_.clear();
    in_force_epoch_ = 0;
  }

  /** The first era of the store that this gateway knows of: all gateways that it knows were heard
   * of in this era, so that none of them is missing from it. */
  void start_in_era(std::uint64_t era, Instant since);

  /** The store was restored from an older copy. Until the records are written again, no version
   * comes into force, and no record tells nothing.
   *
   * @param since  When this gateway first knew of it.
   */
  void raise_era(std::uint64_t era, Instant since, Instant now);

  /** What the store has kept of the streams since it was restored. */
  const RestoredRecords& records() const { return records_; }

  /** Returns the table that has to be written, since the store has lost it; nothing if it has not.
   * Call it after `apply_snapshot` with the list that has this table. */
  std::optional<VersionTable> lost_table(const std::optional<VersionTable>& listed) const;

  /** Whether the table may change: the store holds all that gateways know of the tables before. */
  bool may_change_table(Instant now) const {
    return records_.has_table() && records_.is_complete(table_, registered_, now);
  }

  /** Takes in a table of the store or of another gateway. Returns whether it is newer than the
   * known one. */
  bool apply_table(const VersionTable& table, Instant now);

  /** Takes in a complete list of the store's objects that was asked for at `asked_at`. */
  void apply_snapshot(const StreamSnapshot& snapshot, Instant asked_at, Instant now);

  /** The store answered this gateway, or another one that passed its objects on. */
  void record_store_answer(Instant answered_at) {
    store_answered_at_ = std::max(store_answered_at_, answered_at);
  }

  /** Another gateway was heard, and knows the table of this epoch; 0 stands for the first table
   * too. Returns whether that table is newer than the known one. */
  bool record_report(std::string_view gateway, std::uint64_t epoch, Instant now);

  /** The newest table that this gateway knows; its epoch is 0 before the first one. */
  const VersionTable& table() const { return table_; }

  /** Number of gateways in the store, this one included; 0 before the first list. */
  std::size_t gateway_count() const { return listed_gateways_.size(); }

  /** Whether some service has more versions than its default one. */
  bool admits_any() const;

  /** Whether the gateways in the store are known as of when the table was learned. If not, the
   * admitted versions are not used; read the list. */
  bool needs_gateways() const { return gateways_as_of_ < std::max(learned_at_, records_.since()); }

  /** Returns for how long all gateways have known the table of an epoch; 0 if some may not. */
  Duration known_for(std::uint64_t epoch, Instant now);

  /** What it takes to begin a stream at a version of a covered service.
   *
   * @param can_record  Whether the store is expected to acknowledge a record soon.
   */
  BeginRule begin_rule(std::string_view service,
                       std::string_view version,
                       bool can_record,
                       Instant now);

  /** Returns the versions of a covered service at which streams may begin. */
  std::vector<std::string> usable_versions(std::string_view service, bool can_record, Instant now);

  /** This gateway began a stream: the caller gets the first event. */
  void note_begun(StreamKey stream, std::string_view version, Instant expires_at, Instant now);

  /** Returns at which version a stream of a covered service continues.
   *
   * @param stream  Unset if the caller does not name the stream.
   */
  StreamBelief belief(std::string_view service, std::optional<StreamKey> stream, Instant now) const;

  /** Returns the same by a list of the store that was asked for after the caller came back. Never
   * `AskStore`. Call it after `apply_snapshot` with the same list. */
  StreamBelief belief(std::string_view service,
                      std::optional<StreamKey> stream,
                      const StreamSnapshot& snapshot) const;

 private:
  /** Another gateway as far as it was heard. */
  struct Peer {
    Instant heard_at;
    std::uint64_t epoch = 0;
  };
  struct Begun {
    std::string version;
    Instant expires_at;
  };

  // The version of a stream that this gateway began; null for others.
  const std::string* find_begun(std::optional<StreamKey> stream) const;
  const Peer* find_peer(std::string_view name) const;
  // Whether every other gateway knows the table of `epoch` or distrusts its own one.
  bool is_in_force(std::uint64_t epoch, Instant now);
  // Whether no other gateway can have begun streams by a newer table.
  bool trusts_table(Instant now) const;
  // Whether the known table may be too old to begin streams by it.
  bool is_outdated(Instant now) const;

  // The gateways that others may begin streams at: by the store, and by what was known before it
  // was restored.
  GatewayNames all_gateways(Instant now) const;

  std::string own_name_;
  std::set<std::string, std::less<>> services_;
  VersionTable table_;
  RestoredRecords records_;
  Instant listed_at_;                 // When the last list was applied.
  Instant learned_at_;                // When this gateway learned the known table.
  std::uint64_t in_force_epoch_ = 0;  // What tables up to this epoch admitted is in force for good.
  Instant gateways_as_of_;            // When the last applied list was asked for.
  std::set<std::string, std::less<>> listed_gateways_;
  std::set<std::string, std::less<>> registered_;
  std::map<std::string, Peer, std::less<>> peers_;
  Instant report_at_;       // When any other gateway was last heard.
  Instant report_gap_end_;  // When one was heard after a gap of `kMaxReportGap`.
  Instant store_answered_at_;
  std::optional<Instant> joined_at_;
  // By epoch: since when all gateways have known that table.
  std::map<std::uint64_t, Instant> known_since_;
  std::map<StreamKey, Begun> begun_;
  Instant next_removal_;  // Of expired entries of `begun_`.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAM_VERSIONS_STREAM_VERSION_DIRECTORY_H_
