// Exchange of load reports between gateways by UDP datagrams.

#ifndef BLUEBELLSTEP_GATEWAY_LOAD_REPORT_EXCHANGE_H_
#define BLUEBELLSTEP_GATEWAY_LOAD_REPORT_EXCHANGE_H_

#include <h2o.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cold_limit/quota_lending.h"
#include "gateway/cache_update.h"
#include "gateway/load_aggregator.h"
#include "gateway/report_pacer.h"
#include "gateway/segment_quarantine.h"
#include "http/http_loop.h"
#include "http/http_types.h"
#include "http/socket_address.h"
#include "overload/overload_policy.h"
#include "service_rollout/version_evidence.h"

namespace bluebellstep {

/** Sends the load reports of this gateway to all others and receives theirs.
 *
 * Runs on the HTTP thread. Lost datagrams are not resent: each report replaces the previous one.
 */
class LoadReportExchange {
 public:
  /** Starts to send and receive. Throws `std::system_error` if `listen` cannot be bound.
   *
   * @param name         Name of this gateway.
   * @param make_report  Makes the next report; the exchange sets name, sequence and incarnation.
   * @param on_report    Called with each report received.
   */
  LoadReportExchange(HttpLoop& loop,
                     const Endpoint& listen,
                     std::string name,
                     std::function<LoadReport()> make_report,
                     std::function<void(LoadReport)> on_report);
  LoadReportExchange(const LoadReportExchange&) = delete;
  LoadReportExchange& operator=(const LoadReportExchange&) = delete;
  ~LoadReportExchange();

  /** Sets the gateways to which reports are sent. */
  void set_peers(std::vector<Endpoint> peers);

  /** Sets the gateways of the same zone. */
  void set_zone_peers(std::vector<Endpoint> peers) { zone_peers_ = std::move(peers); }

  /** Sends an update to the gateways of the same zone. */
  void send_to_zone(const CacheUpdate& update);

  /** Sets the function to call with each update received. */
  void on_cache_update(std::function<void(const CacheUpdate&)> callback) {
    on_cache_update_ = std::move(callback);
  }

  /** Sends a report about the roll-out of a service to all gateways. Sets its name, sequence and
   * incarnation. */
  void send_version_report(VersionReport report);

  /** Sets the function to call with each such report received. */
  void on_version_report(std::function<void(const VersionReport&)> callback) {
    on_version_report_ = std::move(callback);
  }

  /** Sets the quarantine whose reports are sent along with the load reports and whose reminders go
   * to one gateway after the other. It must outlive this object. */
  void set_quarantine(SegmentQuarantine& quarantine) { quarantine_ = &quarantine; }

  /** Sets where requests to borrow and to lend parts of limits come from and go to; see
   * `QuotaLending`. */
  struct QuotaCallbacks {
    std::function<std::optional<QuotaRequest>()> make_request;
    std::function<QuotaGrant(const QuotaRequest&)> answer;
    std::function<void(const QuotaGrant&)> apply;
  };
  void set_quota_callbacks(QuotaCallbacks callbacks) { quota_callbacks_ = std::move(callbacks); }
  /** Sets the policy that learns from the other gateways what accounts ask of services. It must
   * outlive this object. */
  void set_overload_policy(OverloadPolicy& policy) { overload_policy_ = &policy; }

  /** Sends a report soon, since the state of an upstream has changed. */
  void report_soon();
  /** A prompt was sent to an engine that must prefill `uncached_tokens` of its tokens. A large
   * number causes an immediate report. */
  void record_sent(std::uint32_t uncached_tokens);

 private:
  static void on_readable(h2o_socket_t* socket, const char* error);
  void read_all();
  void send(std::string_view bytes, const std::vector<Endpoint>& peers) const;
  void send_report();
  void send_quarantine_report();
  void send_quota_request();
  // Handles a datagram about loans; `sender` receives the answer.
  void on_quota_datagram(std::span<const std::uint8_t> bytes, const SocketAddress& sender);
  void send_account_work();
  void schedule_report();

  HttpLoop& loop_;
  std::string name_;
  std::function<LoadReport()> make_report_;
  std::function<void(LoadReport)> on_report_;
  std::function<void(const CacheUpdate&)> on_cache_update_;
  std::function<void(const VersionReport&)> on_version_report_;
  std::vector<Endpoint> peers_;
  std::vector<Endpoint> zone_peers_;
  SegmentQuarantine* quarantine_ = nullptr;
  OverloadPolicy* overload_policy_ = nullptr;
  Instant reminded_at_;
  std::size_t reminded_peers_ = 0;
  QuotaCallbacks quota_callbacks_;
  std::size_t asked_peers_ = 0;  // Requests to borrow go to the peers in turn.
  ReportPacer pacer_;
  std::optional<Instant> scheduled_for_;
  Clock clock_;
  int fd_ = -1;
  h2o_socket_t* socket_ = nullptr;  // Owns `fd_`.
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  std::uint64_t version_report_sequence_ = 0;
  bool last_report_was_empty_ = false;
  std::uint64_t last_versions_epoch_ = 0;
  Instant last_sent_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_LOAD_REPORT_EXCHANGE_H_
