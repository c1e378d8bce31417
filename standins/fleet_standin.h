// Stand-in for the platform that gateways run on: its metadata store (`FleetStore`) and the servers
// that are registered there. All run in one process, each server on its own port.

#ifndef BLUEBELLSTEP_STANDINS_FLEET_STANDIN_H_
#define BLUEBELLSTEP_STANDINS_FLEET_STANDIN_H_

#include <CLI/CLI.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/http_loop.h"
#include "standins/fleet_store.h"
#include "standins/standin_server.h"

namespace bluebellstep {

/** Options of `FleetStandin`. */
struct FleetOptions {
  std::uint32_t plain_servers = 2;
  std::uint32_t spare_servers = 4;  // Of the plain service; registered by `POST /versions`.
  std::uint32_t engines = 2;
  std::uint32_t spare_engines = 4;         // Like `spare_servers`, for the service of the engines.
  std::uint32_t events = 10;               // In each stream.
  std::uint32_t max_body_bytes = 100'000;  // Limit of the stored configuration.
  bool check_fences = false;               // Engines refuse load commands with a lower fence.
};

/**
 * Serves the metadata store and two services, a plain one and one of model engines. The stored
 * configuration has four routes for the host `127.0.0.1`: `/orders/` (executed at most once) and
 * `/lookups/` (idempotent) for the plain service, `/prompts/` (streams that may be resumed) and
 * `/chats/` (streams that may not) for the engines. The only API key is `key-1`.
 *
 * `POST /versions` registers `count` spare servers of `service` (by default the plain one) with
 * `version`; `fail_percent` of their answers are errors. The servers of the version `replaces`
 * leave the service, and if `stop` is set, they stop at once. When the status `succeeded` is
 * written to an object of the kind `rollouts`, the servers of other versions stop at once; the
 * counter `cut_off` counts the requests that they were executing or received afterwards. Counters
 * `runs_VERSION` count the executions. The data of each event of a stream ends with the version of
 * the engine that sent it, also where an engine continues the stream of another version.
 *
 * `POST /leave`: the server `id` reports that it is draining, or is removed from the store if
 * `removed`. If `stopped`, it does not write this again to a store that has lost it. The counter
 * `late_requests` counts the requests that reach such servers more than `kDrainTime` later.
 *
 * `GET /loads` returns all commands to load weights: `server`, `holder`, `fence`, `status`,
 * `at_ms`.
 *
 * Counters `calls_KIND` count the calls to the store for objects of a kind.
 *
 * `GET /runs` returns the number of executions by request id.
 *
 * Faults, set by `POST /faults` of the store:
 * - `store_down` (flag): the store answers with status 503.
 * - `store_silent` (flag): the store never answers requests that arrive while this is set.
 * - `no_era` (flag): the store does not state its era.
 * - `refuse` (N): the servers refuse the next N requests with status 503.
 * - `lose_answers` (N): the servers execute the next N requests without a response.
 * - `cut_streams` (N): the servers cut off the next N streams in the middle.
 * - `delay_ms`: the servers delay each request by this time.
 */
class FleetStandin {
 public:
  /** A server that leaves serves requests for this time at least. */
  static constexpr Duration kDrainTime{2000};

  /** Starts the servers, and the metadata store at `listen`. Throws `std::system_error` if the
   * address is in use. */
  FleetStandin(HttpLoop& loop, const FleetOptions& options, const Endpoint& listen);

  FleetStandin(const FleetStandin&) = delete;
  FleetStandin& operator=(const FleetStandin&) = delete;

  /** Destroys the servers before the store, because their handlers read the faults of the store. */
  ~FleetStandin() { instances_.clear(); }

  /** The port on which the metadata store listens. */
  std::uint16_t port() const { return store_.port(); }

 private:
  using Json = nlohmann::json;

  /** A server of the plain service or a model engine. */
  struct Instance {
    std::string id;
    bool is_engine = false;
    std::string version = "v1";
    std::uint64_t fail_percent = 0;
    std::uint64_t executions = 0;
    bool registered = false;
    bool stopped = false;
    std::uint64_t weight_version = 1;
    // Number of executed weight loads. A load with a different value in `expect` is refused.
    std::uint64_t command_count = 0;
    std::uint64_t highest_fence = 0;  // Of all commands.
    std::optional<Instant> left_at;   // When it reported that it is draining, or was removed.
    bool removed = false;
    std::unique_ptr<StandinServer> server;

    std::string_view service() const;
  };

  void add_routes();
  void add_instance(const std::string& id, bool is_engine);
  void register_version(const StandinRequest& request);
  void leave(const StandinRequest& request);
  void stop_other_versions(const std::string& service, const std::string& version);
  void remove_from_service(Instance& instance, bool stop);
  void register_instance(Instance& instance);
  void write_config();

  void serve(Instance& instance, const StandinRequest& request);
  void execute(Instance& instance, const StandinRequest& request);
  void send_event(Instance& instance,
                  ExchangeId exchange,
                  const std::string& id,
                  std::uint64_t next_event_id,
                  std::uint64_t cut_event_id);
  void load_weights(Instance& instance, const StandinRequest& request);
  // Handles a load command and returns the status of the response.
  int answer_load(Instance& instance, const Json& command);

  FleetOptions options_;
  Clock clock_;
  std::map<std::string, std::int64_t> executions_by_request_;  // Key: request id.
  Json loads_ = Json::array();                                 // In the order of arrival.
  std::vector<std::unique_ptr<Instance>> instances_;
  // Declared last, so that it is destroyed first and no handler uses a destroyed member.
  FleetStore store_;
};

/** Adds the options of the subcommand `fleet` to `command`. Parsing writes to `options`, which must
 * outlive `command`. */
void add_fleet_options(CLI::App& command, FleetOptions& options);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_FLEET_STANDIN_H_
