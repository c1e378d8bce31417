// HTTP interface of the cache store stand-in. docs/UPSTREAM-PROTOCOLS.md describes the protocol.

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

/** Serves a `StoreModel` over HTTP in real time. All state is confined to the HTTP thread. */
class StoreStandin {
 public:
  /** Starts to serve on `listen`; port 0 selects any free port. Throws `std::system_error` if the
   * address is in use. */
  StoreStandin(HttpLoop& loop, StoreOptions options, Endpoint listen = {"127.0.0.1", 0});

  /** The port on which the stand-in listens. */
  std::uint16_t port() const { return server_.port(); }

 private:
  void handle_block(const StandinRequest& request);
  void report_status(const StandinRequest& request);
  void set_faults(const nlohmann::json& faults);
  void answer(const StoreResult& result);

  // Advances the model to the current time, sends its results and schedules the next call.
  void pump();
  void schedule_pump();
  void publish_counters();

  Clock clock_;
  StoreModel model_;
  std::unordered_map<StoreCallId, ExchangeId> calls_;  // Calls in progress.
  std::optional<Instant> next_pump_;                   // Time of the earliest scheduled `pump`.
  // Declared last, so that it is destroyed first and no handler uses a destroyed member.
  StandinServer server_;
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_STORE_STANDIN_H_
