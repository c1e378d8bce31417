// HTTP routes for operators that every process has.

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
  /** What differs between the roles. */
  struct Listener {
    /** Whether the process takes new work. */
    std::function<bool()> is_ready;

    /** Sets the gauges that are read at the time of a scrape. */
    std::function<void(Metrics&)> update_metrics;

    /** JSON document of the role's own status, or nothing. */
    std::function<std::string()> role_status;
  };

  OperatorRoutes(HttpServer& server, ProcessState& state, Metrics& metrics, Listener listener);

  /** Answers the request if it is for one of the routes; returns whether it was. */
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
