// Routes for health, readiness, metrics, status and zone notices.

#include "process/operator_routes.h"

#include <utility>

namespace bluebellstep {
namespace {

void respond_text(HttpServer& server, ExchangeId exchange, int status, std::string body) {
  server.respond(exchange, status, {{"content-type", "text/plain; version=0.0.4"}},
                 std::move(body));
}

}  // namespace

std::string_view path_without_query(std::string_view path) {
  return path.substr(0, path.find('?'));
}

void respond_json(HttpServer& server, ExchangeId exchange, int status, std::string body) {
  server.respond(exchange, status, {{"content-type", "application/json"}}, std::move(body));
}

OperatorRoutes::OperatorRoutes(HttpServer& server,
                               ProcessState& state,
                               Metrics& metrics,
                               Listener listener)
    : server_(server), state_(state), metrics_(metrics), listener_(std::move(listener)) {}

bool OperatorRoutes::handle(ExchangeId exchange, const HttpRequest& request) {
  const std::string_view path = path_without_query(request.path);
  if (path == "/admin/zone-notice" && request.method == "POST") {
    ZoneNoticeAnswer answer = state_.apply_zone_notice(request.body);
    respond_json(server_, exchange, answer.status, std::move(answer.body));
    return true;
  }
  if (request.method != "GET") {
    return false;
  }
  if (path == "/healthz") {
    respond_text(server_, exchange, 200, "ok\n");
    return true;
  }
  if (path == "/readyz") {
    const bool ready = state_.tracker().ready() && listener_.is_ready();
    respond_text(server_, exchange, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    return true;
  }
  if (path == "/metrics") {
    metrics_.set("bluebellstep_bundle_generation",
                 static_cast<double>(state_.tracker().generation()));
    listener_.update_metrics(metrics_);
    respond_text(server_, exchange, 200, metrics_.text());
    return true;
  }
  if (path == "/admin/status") {
    respond_json(server_, exchange, 200, state_.status_document(listener_.role_status()));
    return true;
  }
  return false;
}

}  // namespace bluebellstep
