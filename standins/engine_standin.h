// HTTP side of the model engine stand-in, see docs/UPSTREAM-PROTOCOLS.md.

#ifndef BLUEBELLSTEP_STANDINS_ENGINE_STANDIN_H_
#define BLUEBELLSTEP_STANDINS_ENGINE_STANDIN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "http/http_loop.h"
#include "http/http_types.h"
#include "standins/engine_model.h"
#include "standins/standin_server.h"

namespace bluebellstep::standins {

/** Serves an `EngineModel` under the machine's clock. All state is on the HTTP thread. */
class EngineStandin {
 public:
  /** Starts to serve on `listen`; port 0 takes any free port. Unix time is appended to the start
   * id, so that a restarted process has another one. Throws `std::system_error` if the address is
   * not free. */
  EngineStandin(HttpLoop& loop, EngineOptions options, Endpoint listen = {"127.0.0.1", 0});

  /** The port that it listens on. */
  std::uint16_t port() const { return server_.port(); }

 private:
  void add_routes();
  void submit_completion(const StandinRequest& request);
  void resume(const StandinRequest& request);
  void cancel(const StandinRequest& request);
  void report_load(const StandinRequest& request);
  void list_events(const StandinRequest& request);
  void list_blocks(const StandinRequest& request);
  void export_block(const StandinRequest& request);
  void import_block(const StandinRequest& request);
  void run_command(const StandinRequest& request);
  void reply_to_command(const StandinRequest& request, const CommandResult& result);
  void set_faults(const nlohmann::json& faults);

  void attach_stream(StreamId stream, ExchangeId exchange);
  void detach_stream(ExchangeId exchange);
  void deliver_event(const StreamEvent& event);
  void finish_weight_load(const FinishedWeightLoad& finished);
  void pump();
  void schedule_pump();
  void publish_counters();

  Clock clock_;
  EngineModel model_;
  // Open responses; the maps are inverses of each other.
  std::unordered_map<StreamId, ExchangeId> exchanges_;
  std::unordered_map<ExchangeId, StreamId> streams_;
  std::unordered_map<WeightLoadId, ExchangeId> weight_loads_;
  std::optional<Instant> next_pump_;  // Earliest scheduled one.
  StandinServer server_;              // Last, so that no handler runs after the rest is gone.
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_ENGINE_STANDIN_H_
