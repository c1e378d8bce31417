// Keeps the table of versions in the platform's store, and asks the store at which version a stream
// began.
//
// Load pattern: after a crash of all gateways hundreds of callers come back at once, and each list
// of the store is charged. Callers that wait while a list is being read share the next one.

#ifndef BLUEBELLSTEP_STREAM_VERSIONS_STREAM_VERSION_DRIVER_H_
#define BLUEBELLSTEP_STREAM_VERSIONS_STREAM_VERSION_DRIVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "http/http_loop.h"
#include "metrics/metrics.h"
#include "platform/object_format.h"
#include "settings/gateway_settings.h"
#include "store_history/object_store_client.h"
#include "stream_versions/stream_record_writer.h"
#include "stream_versions/stream_version_directory.h"
#include "stream_versions/stream_versions.h"

namespace bluebellstep {

/** Makes the calls to the store that the decisions need. All members run on the HTTP thread. Makes
 * no call before a service with resumable streams is known. */
class StreamVersionDriver : public StreamVersions {
 public:
  /** Limit on each call to the store. Callers wait for it. */
  static constexpr Duration kCallTimeout{500};
  /** Delay before a failed call is made again. Refused calls are charged too. */
  static constexpr Duration kRetryDelay{400};
  /** Minimum time between two lists, and the same for each gateway of the system: together they
   * make at most 250 lists a second. */
  static constexpr Duration kListInterval{30};
  static constexpr Duration kListIntervalPerGateway{4};
  /** Interval between checks whether the table has to change, besides those on each change of the
   * upstreams. */
  static constexpr Duration kPlanInterval{2000};
  /** Interval between lists while records are missing after a restore of the store, and the same
   * for each gateway of the system. */
  static constexpr Duration kRecordsInterval{250};
  static constexpr Duration kRecordsIntervalPerGateway{10};
  /** Gateways change the table in the order of their ranks, so that most find it changed. */
  static constexpr Duration kPlanDelayPerRank{60};
  static constexpr Duration kMaxPlanDelay{1500};
  /** The record of a gateway that is not registered is removed after this time. Its callers have
   * given up by then. */
  static constexpr Duration kRecordRemovalDelay{90'000};

  /** What the driver asks of the rest of the gateway. */
  struct Environment {
    /** Returns the registered upstreams by service and software version. */
    std::function<std::map<std::string, VersionCounts, std::less<>>()> count_versions;
    /** When the store last answered this gateway, or another one that passed its objects on. */
    std::function<Instant()> store_answered_at;
    /** Rank of this gateway among all, from 0. */
    std::function<std::size_t()> rank;
    /** Tells the other gateways the epoch of the known table soon. */
    std::function<void()> report_soon;
    /** Asks another gateway for its table, see `apply_encoded_table`. */
    std::function<void()> ask_peer;
  };

  StreamVersionDriver(HttpLoop& loop,
                      ObjectStoreClient& client,
                      const GatewaySettings& settings,
                      Metrics& metrics,
                      Environment environment);
  StreamVersionDriver(const StreamVersionDriver&) = delete;
  StreamVersionDriver& operator=(const StreamVersionDriver&) = delete;

  /** Adds services with resumable streams. */
  void add_services(const std::set<std::string, std::less<>>& services);
  /** The registered upstreams have changed. */
  void refresh();

  /** Epoch of the known table, for reports to the other gateways. */
  std::uint64_t epoch() const { return directory_.table().epoch; }
  /** Another gateway reported that it knows the table of `epoch`. */
  void on_report(std::string_view gateway, std::uint64_t epoch);

  /** Sets the names of the registered gateways. */
  void set_registered(std::set<std::string, std::less<>> names);
  /** The registration of this gateway was removed: others no longer wait for it. */
  void on_registration_lost();

  /** Returns the known table as JSON text for another gateway; empty before there is one. */
  std::string encoded_table() const;
  /** Takes in what another gateway's `encoded_table` returned. */
  void apply_encoded_table(std::string_view text);

  bool covers(std::string_view service) const override { return directory_.covers(service); }
  std::vector<std::string> usable_versions(std::string_view service) override;
  bool must_record(std::string_view service, std::string_view version, StreamKey stream) override;
  void record_version(StreamKey stream,
                      std::string_view version,
                      Instant expires_at,
                      std::function<void(bool)> on_result) override;
  void note_begun(StreamKey stream, std::string_view version, Instant expires_at) override;
  void find_version(std::string_view service,
                    std::optional<StreamKey> stream,
                    std::function<void(StreamBelief)> on_result) override;

 private:
  struct WaitingCaller {
    std::string service;
    std::optional<StreamKey> stream;
    Instant came_at;
    std::function<void(StreamBelief)> on_result;
  };
  /** The record of a gateway that is not registered. */
  struct UnregisteredRecord {
    StoreRevision revision;
    Instant since;  // When this was first known of this revision.
  };
  // The pages of the list in progress.
  struct List {
    Instant asked_at;
    bool has_pages = false;  // `snapshot.era` is known.
    StreamSnapshot snapshot;
    StoreRevision table_revision;  // 0 if the object does not exist, as below.
    StoreRevision record_revision;
    StreamRecord record;
    std::map<std::string, StoreRevision, std::less<>> record_revisions;  // By gateway.
    std::vector<WaitingCaller> callers;  // Came back before the list was asked for.
  };

  // The store was restored, as far as this process knows.
  void update_era();
  // Reads the list again later if records are missing since a restore.
  void read_missing_records();
  // Reads the list of the objects, after the one that is being read.
  void read_list();
  void send_list_call(std::string_view after);
  void on_list_page(platform::PageResult result);
  void read_object(const platform::StoredObject& object);
  void apply_list();
  void fail_list(const PlatformUnavailable& fault);
  void answer(std::vector<WaitingCaller> callers, const StreamSnapshot* snapshot);
  void remove_old_records(const List& list);
  // Removes a record of this revision if its gateway is not registered now.
  void remove_record(const std::string& gateway, StoreRevision revision);
  void plan_periodically();
  void plan_table();
  void write_table(const VersionTable& table);
  void apply_table(const VersionTable& table);
  void run_after(Duration delay, std::function<void()> task);
  void send(platform::StoreCall call, std::function<void(const platform::StoreAnswer&)> handler);

  HttpLoop& loop_;
  ObjectStoreClient& client_;
  const GatewaySettings& settings_;
  Metrics& metrics_;
  Environment environment_;
  Clock clock_;
  StreamVersionDirectory directory_;
  VersionTablePlanner planner_;
  StreamRecordWriter record_writer_;
  bool started_ = false;
  bool reachable_ = true;  // The store answered the last call of this object.

  std::optional<List> list_;                    // The one in progress.
  bool list_scheduled_ = false;                 // Another one follows.
  Instant list_asked_at_;                       // The last one.
  std::vector<WaitingCaller> waiting_callers_;  // For the next list.

  // Of the table in the store; unset if it is not known.
  std::optional<StoreRevision> table_revision_;
  bool table_write_in_flight_ = false;
  bool plan_scheduled_ = false;
  bool records_scheduled_ = false;

  std::set<std::string, std::less<>> registered_;
  // By gateway with a record, but without a registration.
  std::map<std::string, UnregisteredRecord, std::less<>> unregistered_since_;
  // Expires with this object; callbacks check it before they use the object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAM_VERSIONS_STREAM_VERSION_DRIVER_H_
