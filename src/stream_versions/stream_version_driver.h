// Makes the calls to the platform's store that `StreamVersionDirectory` and `BegunStreams` need.
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
#include "http/http_client.h"
#include "http/http_loop.h"
#include "metrics/metrics.h"
#include "platform/object_format.h"
#include "settings/gateway_settings.h"
#include "stream_versions/stream_version_directory.h"
#include "stream_versions/stream_versions.h"

namespace bluebellstep {

/** Keeps the table of versions and this gateway's record of streams in the platform's store. All
 * members run on the HTTP thread. Makes no call before a service with resumable streams is known. */
class StreamVersionDriver : public StreamVersions {
 public:
  /** Limit on each call to the store. Callers wait for it. */
  static constexpr Duration kCallTimeout{500};
  /** Delay before the retry of a failed call. Refused calls are charged too. */
  static constexpr Duration kRetryDelay{400};
  /** Minimum time between two writes of the record. Prefills take longer, so that most streams do
   * not wait for it. */
  static constexpr Duration kWriteInterval{100};
  /** The same for each gateway of the system: together they make at most 250 writes a second, since
   * the store bears a few hundred. */
  static constexpr Duration kWriteIntervalPerGateway{4};
  /** Interval between checks whether the table has to change, besides those on each change of the
   * upstreams. */
  static constexpr Duration kPlanInterval{2000};
  /** Gateways change the table in the order of their ranks, so that most find it changed. */
  static constexpr Duration kPlanDelayPerRank{60};
  static constexpr Duration kMaxPlanDelay{1500};

  /** What the driver asks of the rest of the gateway. */
  struct Gateway {
    /** Returns the registered upstreams by service. */
    std::function<std::map<std::string, VersionCounts, std::less<>>()> count_versions;
    /** Whether the store answered the last call of this gateway. */
    std::function<bool()> store_reachable;
    /** Rank of this gateway among all, from 0. */
    std::function<std::size_t()> rank;
    /** Tells the other gateways the epoch of the known table soon. */
    std::function<void()> report_soon;
  };

  StreamVersionDriver(HttpLoop& loop,
                      HttpClient& client,
                      const GatewaySettings& settings,
                      Metrics& metrics,
                      Gateway gateway);
  StreamVersionDriver(const StreamVersionDriver&) = delete;
  StreamVersionDriver& operator=(const StreamVersionDriver&) = delete;

  /** Sets the services with resumable streams. */
  void set_services(std::set<std::string, std::less<>> services);
  /** The registered upstreams have changed. */
  void refresh();

  /** Epoch of the known table, for reports to the other gateways. */
  std::uint64_t epoch() const { return directory_.table().epoch; }
  /** Another gateway reported that it knows the table of `epoch`. */
  void on_report(std::string_view gateway, std::uint64_t epoch);

  /** The registration of a gateway that no longer exists was removed: removes its record too, unless
   * it changes meanwhile. */
  void forget_gateway(const std::string& name);

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
  void record_begun(StreamKey stream, std::string_view version, Instant expires_at) override;
  void find_version(std::string_view service,
                    std::optional<StreamKey> stream,
                    std::function<void(StreamBelief)> on_result) override;

 private:
  struct WaitingRecord {
    BegunStreams::Sequence sequence = 0;
    std::function<void(bool)> on_result;
  };
  struct WaitingCaller {
    std::string service;
    std::optional<StreamKey> stream;
    std::function<void(StreamBelief)> on_result;
  };
  // The object that another call may have changed meanwhile: its revision in the store, 0 if it
  // does not exist, unset if that is not known.
  using KnownRevision = std::optional<std::uint64_t>;

  static std::string record_name(std::string_view gateway);
  bool can_record() const;
  // Reads the list of the objects, or once more if one is being read.
  void read_list();
  void send_list_call(std::string after);
  void on_list_page(platform::PageResult result);
  void apply_list();
  void fail_list(const PlatformUnavailable& fault);
  void answer_waiting_callers(const StreamSnapshot* snapshot);
  void plan_periodically();
  void plan_table();
  void write_table(const VersionTable& table);
  void apply_table(const VersionTable& table);
  // Writes the record if it has to be, now or when the interval has passed.
  void write_record();
  void send_record();
  void on_record_written(const PlatformClient::WriteResult& result);
  void answer_waiting_records();
  void fail_waiting_records();
  void run_after(Duration delay, std::function<void()> task);
  void send(HttpCall call, std::function<void(const HttpClient::Response&)> handler);

  HttpLoop& loop_;
  HttpClient& client_;
  const GatewaySettings& settings_;
  Metrics& metrics_;
  Gateway gateway_;
  Clock clock_;
  StreamVersionDirectory directory_;
  VersionTablePlanner planner_;
  BegunStreams begun_streams_;
  bool started_ = false;

  // The list in progress, and whether another one has to follow it.
  bool list_in_flight_ = false;
  bool list_again_ = false;
  Instant list_asked_at_;
  StreamSnapshot listed_;
  KnownRevision listed_record_revision_;
  std::optional<StreamVersionMap> listed_record_;
  std::map<std::string, std::uint64_t, std::less<>> record_revisions_;  // By gateway.
  KnownRevision listed_table_revision_;
  // Those that came before the list in progress was asked for, and those that wait for the next.
  std::vector<WaitingCaller> waiting_callers_;
  std::vector<WaitingCaller> later_callers_;

  KnownRevision table_revision_;
  bool table_write_in_flight_ = false;
  std::optional<Instant> plan_due_;

  KnownRevision record_revision_;
  bool record_write_in_flight_ = false;
  bool record_write_scheduled_ = false;
  Instant record_sent_at_;
  Instant record_held_until_;  // Streams begin without a record until then, after a failed write.
  std::vector<WaitingRecord> waiting_records_;
  // Expires with this object; callbacks check it before they use the object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAM_VERSIONS_STREAM_VERSION_DRIVER_H_
