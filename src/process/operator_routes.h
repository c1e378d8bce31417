// HTTP routes for operators, which are the same in entry instances and sidecars.

#ifndef BLUEBELLSTEP_PROCESS_OPERATOR_ROUTES_H_
#define BLUEBELLSTEP_PROCESS_OPERATOR_ROUTES_H_

#include <functional>
#include <string>

#include "http/http_server.h"
#include "metrics/metrics.h"
#include "process/process_state.h"

namespace bluebellstep {

/**
 * Serves `/healthz`, `/readyz`, `/metrics`, `/admin/status` and `/admin/zone-notice`. Lives on the
 * control thread; all references must outlive it.
 */
class OperatorRoutes {
 public:
  /** Callbacks for the parts that depend on the role of the process. */
  struct Listener {
    /** Returns whether the process accepts new requests. */
    std::function<bool()> is_ready;

    /** Updates the gauges. Called for each scrape of the metrics. */
    std::function<void(Metrics&)> update_metrics;

    /** Returns a JSON document with the status of the role, such as an entry instance's open
     * requests. */
    std::function<std::string()> role_status;
  };

  OperatorRoutes(HttpServer& server, ProcessState& state, Metrics& metrics, Listener listener);

  /** Answers a request for one of the routes above. Returns false and does nothing for any other
   * request. */
  bool handle(ExchangeId exchange, const HttpRequest& request);

 private:
  HttpServer& server_;
  ProcessState& state_;
  Metrics& metrics_;
  Listener listener_;
};

/** Returns the path without the query string. */
std::string_view path_without_query(std::string_view path);

/** Sends a JSON response. */
void respond_json(HttpServer& server, ExchangeId exchange, int status, std::string body);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PROCESS_OPERATOR_ROUTES_H_
