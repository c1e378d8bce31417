// Stand-in for the platform that gateways run on: its metadata store and the servers that are
// registered there. All run in one process, each server on its own port.

#ifndef BLUEBELLSTEP_STANDINS_FLEET_STANDIN_H_
#define BLUEBELLSTEP_STANDINS_FLEET_STANDIN_H_

#include <CLI/CLI.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/http_loop.h"
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
 * Counters `calls_KIND` count the calls to the store for objects of a kind.
 *
 * `GET /runs` returns the number of executions by request id.
 *
 * Faults, set by `POST /faults` of the store:
 * - `store_down` (flag): the store answers with status 503.
 * - `store_silent` (flag): the store never answers requests that arrive while this is set.
 * - `refuse` (N): the servers refuse the next N requests with status 503.
 * - `lose_answers` (N): the servers execute the next N requests without a response.
 * - `cut_streams` (N): the servers cut off the next N streams in the middle.
 * - `delay_ms`: the servers delay each request by this time.
 */
class FleetStandin {
 public:
  /** Starts the servers, and the metadata store at `listen`. Throws `std::system_error` if the
   * address is in use. */
  FleetStandin(HttpLoop& loop, const FleetOptions& options, const Endpoint& listen);

  FleetStandin(const FleetStandin&) = delete;
  FleetStandin& operator=(const FleetStandin&) = delete;

  /** Destroys the servers before the store, because their handlers read the faults of the store. */
  ~FleetStandin() { instances_.clear(); }

  /** The port on which the metadata store listens. */
  std::uint16_t port() const { return metadata_store_.port(); }

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
    std::unique_ptr<StandinServer> server;

    std::string_view service() const;
  };

  /** A watch request that waits for a change of an object of its kind. */
  struct PendingWatch {
    ExchangeId exchange;
    std::string kind;
    std::uint64_t revision = 0;  // Waits for a later revision than this.
  };

  void add_store_routes();
  void add_instance(const std::string& id, bool is_engine);
  void register_version(const StandinRequest& request);
  void write_status(const StandinRequest& request);
  void stop_other_versions(const std::string& service, const std::string& version);
  void remove_from_service(Instance& instance, bool stop);
  void unregister_object(const std::string& kind, const std::string& name);
  void list_or_watch_objects(const StandinRequest& request);
  void create_object(const StandinRequest& request);
  void replace_object(const StandinRequest& request);
  void remove_object(const StandinRequest& request);
  void write_object(const std::string& kind, const std::string& name, Json spec);
  void answer_watch(const PendingWatch& watch);
  void complete_watches(const std::string& kind);
  // Returns true if an injected fault of the store prevents the normal handling of the request.
  bool apply_store_faults(const StandinRequest& request);
  void count_store_call(const StandinRequest& request);
  // Returns the object in its JSON representation; null if it does not exist.
  Json object(const std::string& kind, const std::string& name) const;
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

  struct Object {
    std::uint64_t revision = 0;
    Json spec;
    Json status = nullptr;
    std::uint64_t created = 0;  // Revision of the store at the creation.
  };
  struct ChangeEvent {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool removed = false;
    Json object;
  };

  FleetOptions options_;
  std::uint64_t revision_ = 0;  // Of the last change to any object.
  std::map<std::string, std::map<std::string, Object>> objects_;  // By kind and name.
  std::vector<ChangeEvent> events_;
  std::vector<PendingWatch> pending_watches_;
  std::map<std::string, std::int64_t> executions_by_request_;  // Key: request id.
  std::vector<std::unique_ptr<Instance>> instances_;
  // Declared last, so that it is destroyed first and no handler uses a destroyed member.
  StandinServer metadata_store_;
};

/** Adds the options of the subcommand `fleet` to `command`. Parsing writes to `options`, which must
 * outlive `command`. */
void add_fleet_options(CLI::App& command, FleetOptions& options);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_FLEET_STANDIN_H_
