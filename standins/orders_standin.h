// Stand-in for a plain service such as orders, reservations or lookups. Counts the executions of
// each idempotency key.

#ifndef BLUEBELLSTEP_STANDINS_ORDERS_STANDIN_H_
#define BLUEBELLSTEP_STANDINS_ORDERS_STANDIN_H_

#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "http/http_loop.h"
#include "standins/standin_server.h"

namespace bluebellstep {

/** Options of `OrdersStandin`. */
struct OrdersStandinOptions {
  Endpoint listen = {"127.0.0.1", 0};
};

/** A plain service without deduplication: it executes every request, also if the idempotency key
 * was used before. `GET /executions` and `GET /executions/KEY` report the executions and are not
 * executed themselves. */
class OrdersStandin {
 public:
  /** Starts to serve. Throws `std::system_error` if the address is in use. */
  OrdersStandin(HttpLoop& loop, const OrdersStandinOptions& options);

  /** The port on which the stand-in listens. */
  std::uint16_t port() const { return server_.port(); }

 private:
  void serve(const StandinRequest& request);
  void execute(const StandinRequest& request);
  void report_key(const StandinRequest& request);
  void report_totals(const StandinRequest& request);

  std::unordered_map<std::string, std::int64_t> executions_;  // By idempotency key.
  std::int64_t total_executions_ = 0;
  std::int64_t max_executions_per_key_ = 0;
  // Declared last, so that it is destroyed first and no handler uses a destroyed member.
  StandinServer server_;
};

/** Adds the subcommand `orders`. */
void add_orders_command(CLI::App& app);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_ORDERS_STANDIN_H_
