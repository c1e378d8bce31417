// HTTP side of the cache store stand-in, see docs/UPSTREAM-PROTOCOLS.md.

#ifndef BLUEBELLSTEP_STANDINS_STORE_STANDIN_H_
#define BLUEBELLSTEP_STANDINS_STORE_STANDIN_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/clock.h"
#include "http/http_loop.h"
#include "http/http_types.h"
#include "standins/standin_server.h"
#include "standins/store_model.h"

namespace bluebellstep::standins {

/** Serves a `StoreModel` under the machine's clock. All state is on the HTTP thread. */
class StoreStandin {
 public:
  /** Starts to serve on `listen`; port 0 takes any free port. Throws `std::system_error` if the
   * address is not free. */
  StoreStandin(HttpLoop& loop, StoreOptions options, Endpoint listen = {"127.0.0.1", 0});

  /** The port that it listens on. */
  std::uint16_t port() const { return server_.port(); }

 private:
  void handle_block(const StandinRequest& request);
  void report_status(const StandinRequest& request);
  void set_faults(const nlohmann::json& faults);
  void answer(const StoreResult& result);
  void pump();
  void schedule_pump();
  void publish_counters();

  Clock clock_;
  StoreModel model_;
  std::unordered_map<StoreCallId, ExchangeId> calls_;  // Under way.
  std::optional<Instant> next_pump_;                   // Earliest scheduled one.
  StandinServer server_;  // Last, so that no handler runs after the rest is gone.
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_STORE_STANDIN_H_
