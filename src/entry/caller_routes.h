// HTTP routes of an entry instance: validates and starts callers' requests, and serves the routes
// for operators.

#ifndef BLUEBELLSTEP_ENTRY_CALLER_ROUTES_H_
#define BLUEBELLSTEP_ENTRY_CALLER_ROUTES_H_

#include <cstdint>
#include <memory>
#include <string_view>
#include <variant>

#include "bundle/bundle.h"
#include "entry/account_table.h"
#include "entry/request_runner.h"
#include "entry/upstream_links.h"
#include "http/http_server.h"
#include "metrics/metrics.h"
#include "orders/order_tables.h"
#include "process/operator_routes.h"
#include "process/process_state.h"

namespace bluebellstep {

/** Sends a refusal as an HTTP response, with the run state and retry time as headers. */
void respond_verdict(HttpServer& server, ExchangeId exchange, const Verdict& verdict);

/** Dispatches HTTP requests by method and path. Lives on the control thread; all references must
 * outlive it. */
class CallerRoutes {
 public:
  CallerRoutes(HttpServer& server,
               ProcessState& state,
               UpstreamLinks& links,
               RequestRunner& runner,
               Metrics& metrics);

  /** Handles a request, which is answered immediately or later by the `RequestRunner`. */
  void handle(ExchangeId exchange, HttpRequest request);

  /** Replaces the configuration by that of a new bundle. Before the first call, requests of callers
   * are refused. */
  void apply_bundle(const Bundle& bundle);

  /** Sets whether the readiness route reports the instance as ready. It never does before the first
   * bundle. */
  void set_ready(bool ready) { ready_ = ready; }

 private:
  void handle_completion(ExchangeId exchange, HttpRequest request);
  void handle_service(ExchangeId exchange, HttpRequest request);
  void handle_models(ExchangeId exchange, const HttpRequest& request);
  void handle_explain(ExchangeId exchange, std::string_view query);
  std::variant<RequestSpec, Verdict> make_prompt_spec(ExchangeId exchange, HttpRequest& request);
  std::variant<RequestSpec, Verdict> make_service_spec(ExchangeId exchange, HttpRequest& request);
  std::variant<RequestSpec, Verdict> make_base_spec(ExchangeId exchange,
                                                    const HttpRequest& request);
  std::optional<Verdict> fill_order_fields(RequestSpec& spec, const HttpRequest& request) const;

  HttpServer& server_;
  UpstreamLinks& links_;
  RequestRunner& runner_;
  OperatorRoutes operator_routes_;
  Clock clock_;
  // All taken from the same bundle; null and empty before the first one.
  std::shared_ptr<const Bundle> bundle_;
  AccountTable accounts_;
  OrderTables order_tables_;
  bool ready_ = true;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_CALLER_ROUTES_H_
