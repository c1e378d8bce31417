// Executes requests and counts the executions by idempotency key.

#include "standins/orders_standin.h"

#include <algorithm>
#include <memory>

#include "standins/standin_process.h"

namespace bluebellstep {

OrdersStandin::OrdersStandin(HttpLoop& loop, const OrdersStandinOptions& options) : server_(loop) {
  server_.route("GET", "/executions", [this](const StandinRequest& r) { report_totals(r); });
  server_.route("GET", "/executions/{*}", [this](const StandinRequest& r) { report_key(r); });
  server_.route("*", "/{*}", [this](const StandinRequest& r) { serve(r); });
  server_.start({.listen = options.listen});
}

void OrdersStandin::serve(const StandinRequest& request) {
  server_.count("requests");
  if (server_.fault_flag("refuse")) {
    server_.reply_error(request.exchange, 503, "refused");
    return;
  }
  if (server_.consume_fault("break_before_execution")) {
    server_.http().abort(request.exchange);
    return;
  }
  const Duration delay{static_cast<std::int64_t>(server_.fault_number("delay_ms"))};
  if (delay <= Duration{0}) {
    execute(request);
    return;
  }
  server_.run_after(delay, [this, request] { execute(request); });
}

void OrdersStandin::execute(const StandinRequest& request) {
  const std::string key(
      find_header(request.http.headers, "idempotency-key").value_or(std::string_view()));
  std::int64_t execution = 1;
  ++total_executions_;
  if (!key.empty()) {
    execution = ++executions_[key];
    max_executions_per_key_ = std::max(max_executions_per_key_, execution);
  }
  server_.count("executions");
  if (server_.consume_fault("break_after_execution")) {
    server_.http().abort(request.exchange);
    return;
  }
  if (server_.fault_flag("silent")) {
    return;
  }
  server_.reply_json(request.exchange, 200,
                     {{"key", key},
                      {"execution", execution},
                      {"reference", "ref-" + std::to_string(total_executions_)}});
}

void OrdersStandin::report_key(const StandinRequest& request) {
  const auto found = executions_.find(request.captures.at(0));
  server_.reply_json(request.exchange, 200,
                     {{"executions", found == executions_.end() ? 0 : found->second}});
}

void OrdersStandin::report_totals(const StandinRequest& request) {
  server_.reply_json(request.exchange, 200,
                     {{"keys", executions_.size()},
                      {"max", max_executions_per_key_},
                      {"total", total_executions_}});
}

void add_orders_command(CLI::App& app) {
  CLI::App* command = app.add_subcommand("orders", "plain service: orders and lookups");
  const auto options = std::make_shared<OrdersStandinOptions>();
  add_listen_options(*command, options->listen);
  command->callback([options] {
    HttpLoop loop;
    const OrdersStandin standin(loop, *options);
    serve_until_stopped(standin.port());
  });
}

}  // namespace bluebellstep
