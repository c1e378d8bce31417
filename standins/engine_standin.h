// HTTP interface of the model engine stand-in. docs/UPSTREAM-PROTOCOLS.md describes the protocol.

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

/** Serves an `EngineModel` over HTTP in real time. All state is confined to the HTTP thread. */
class EngineStandin {
 public:
  /** Starts to serve on `listen`; port 0 selects any free port. Appends the Unix time to the start
   * id, so that a restarted process has a different one. Throws `std::system_error` if the address
   * is in use. */
  EngineStandin(HttpLoop& loop, EngineOptions options, Endpoint listen = {"127.0.0.1", 0});

  /** The port on which the stand-in listens. */
  std::uint16_t port() const { return server_.port(); }

 private:
  void add_routes();

  // HTTP handlers.
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

  // Connects a stream of the model to the HTTP exchange that receives its events.
  void attach_stream(StreamId stream, ExchangeId exchange);
  void detach_stream(ExchangeId exchange);
  void deliver_event(const StreamEvent& event);
  void finish_weight_load(const FinishedWeightLoad& finished);

  // Advances the model to the current time, sends its events and schedules the next call.
  void pump();
  void schedule_pump();
  void publish_counters();

  Clock clock_;
  EngineModel model_;
  // Streamed responses in progress. Each map is the inverse of the other.
  std::unordered_map<StreamId, ExchangeId> exchanges_;
  std::unordered_map<ExchangeId, StreamId> streams_;
  std::unordered_map<WeightLoadId, ExchangeId> weight_loads_;  // Commands that wait for their load.
  std::optional<Instant> next_pump_;  // Time of the earliest scheduled `pump`.
  // Declared last, so that it is destroyed first and no handler uses a destroyed member.
  StandinServer server_;
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_ENGINE_STANDIN_H_
