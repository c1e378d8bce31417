// Tells the other gateways by datagrams what this one has in flight, and hears theirs.

#ifndef BLUEBELLSTEP_GATEWAY_LOAD_REPORT_EXCHANGE_H_
#define BLUEBELLSTEP_GATEWAY_LOAD_REPORT_EXCHANGE_H_

#include <h2o.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/load_aggregator.h"
#include "gateway/report_pacer.h"
#include "http/http_loop.h"
#include "http/http_types.h"

namespace bluebellstep {

/** Runs on the HTTP thread. */
class LoadReportExchange {
 public:
  /** Sends what `report` returns, in the name of the gateway, and passes on what others tell.
   * Throws `std::system_error` if `listen` is in use. */
  LoadReportExchange(HttpLoop& loop,
                     const Endpoint& listen,
                     std::string name,
                     std::function<LoadReport()> report,
                     std::function<void(LoadReport)> on_report);
  LoadReportExchange(const LoadReportExchange&) = delete;
  LoadReportExchange& operator=(const LoadReportExchange&) = delete;
  ~LoadReportExchange();

  /** Sets whom to tell. */
  void set_peers(std::vector<Endpoint> peers);

  /** A prompt was sent of which the engine must read this many tokens. */
  void record_sent(std::uint32_t uncached_tokens);

 private:
  static void on_readable(h2o_socket_t* socket, const char* error);
  void read_all();
  void send_report();
  void schedule_report();

  HttpLoop& loop_;
  std::string name_;
  std::function<LoadReport()> make_report_;
  std::function<void(LoadReport)> on_report_;
  std::vector<Endpoint> peers_;
  ReportPacer pacer_;
  std::optional<Instant> scheduled_for_;
  Clock clock_;
  int fd_ = -1;
  h2o_socket_t* socket_ = nullptr;  // Owns `fd_`.
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  bool last_report_was_empty_ = false;  // The last report was empty.
  Instant last_sent_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_LOAD_REPORT_EXCHANGE_H_
