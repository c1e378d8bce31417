// Stand-in for a plain service: orders, reservations, lookups. Counts the executions of each key.

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

/** A plain service. Each request but those about executions executes, whatever its key. */
class OrdersStandin {
 public:
  /** Starts to serve. Throws `std::system_error` if the address is not free. */
  OrdersStandin(HttpLoop& loop, const OrdersStandinOptions& options);

  std::uint16_t port() const { return server_.port(); }

 private:
  void serve(const StandinRequest& request);
  void execute(const StandinRequest& request);
  void report_key(const StandinRequest& request);
  void report_totals(const StandinRequest& request);

  std::unordered_map<std::string, std::int64_t> executions_;  // By idempotency key.
  std::int64_t total_executions_ = 0;
  std::int64_t max_executions_per_key_ = 0;  // The most executions that any key has.
  // The last member: when it is destroyed, no handler runs any more.
  StandinServer server_;
};

/** Adds the subcommand `orders`. */
void add_orders_command(CLI::App& app);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_ORDERS_STANDIN_H_
