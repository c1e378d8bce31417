// Stand-in for the rate-limited weight store.

#ifndef BLUEBELLSTEP_STANDINS_WEIGHTS_STANDIN_H_
#define BLUEBELLSTEP_STANDINS_WEIGHTS_STANDIN_H_

#include <CLI/CLI.hpp>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "http/http_loop.h"
#include "standins/standin_server.h"

namespace bluebellstep {

/** Options of `WeightsStandin`. */
struct WeightsStandinOptions {
  Endpoint listen = {"127.0.0.1", 0};
  double requests_per_s = 4;         // Requests over this rate are answered with status 429.
  double burst = 2;                  // Requests that may come at once.
  std::size_t weight_bytes = 65536;  // Size of the answer.
};

/** A weight store. Any model and version exists; the weights are a pattern derived from both. */
class WeightsStandin {
 public:
  /** Starts to serve. Throws `std::system_error` if the address is not free. */
  WeightsStandin(HttpLoop& loop, const WeightsStandinOptions& options);

  std::uint16_t port() const { return server_.port(); }

 private:
  void serve_weights(const StandinRequest& request);

  WeightsStandinOptions options_;
  Clock clock_;
  double bucket_tokens_;  // Token bucket of the rate limit.
  Instant refilled_at_;
  // The last member: when it is destroyed, no handler runs any more.
  StandinServer server_;
};

/** Adds the subcommand `weights`. */
void add_weights_command(CLI::App& app);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_WEIGHTS_STANDIN_H_
