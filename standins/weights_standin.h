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
  double requests_per_s = 4;         // Requests above this rate get status 429.
  double burst = 2;                  // Capacity of the token bucket in requests.
  std::size_t weight_bytes = 65536;  // Size of each response body.
};

/** A weight store. Every model and version exists; the weights are a byte pattern derived from both
 * names. */
class WeightsStandin {
 public:
  /** Starts to serve. Throws `std::system_error` if the address is in use. */
  WeightsStandin(HttpLoop& loop, const WeightsStandinOptions& options);

  /** The port on which the stand-in listens. */
  std::uint16_t port() const { return server_.port(); }

 private:
  void serve_weights(const StandinRequest& request);

  WeightsStandinOptions options_;
  Clock clock_;
  double bucket_tokens_;  // Tokens in the bucket of the rate limit at `refilled_at_`.
  Instant refilled_at_;
  // Declared last, so that it is destroyed first and no handler uses a destroyed member.
  StandinServer server_;
};

/** Adds the subcommand `weights`. */
void add_weights_command(CLI::App& app);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_WEIGHTS_STANDIN_H_
