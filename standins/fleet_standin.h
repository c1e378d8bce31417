// Stand-in for the users' platform as gateways see it: the metadata store, and servers that are
// registered there. All run in one process, each server at a port of its own.

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
  std::uint32_t engines = 2;
  std::uint32_t events = 10;  // Of each stream.
};

/**
 * Serves the store at the given address, with a configuration of two hosts' worth of routes:
 * `/orders/` (once), `/lookups/` (idempotent), `/prompts/` (streams that may be resumed) and
 * `/chats/` (streams that may not), all at the host `127.0.0.1` for the key `key-1`.
 *
 * `GET /runs` returns how often each request id ran. Faults, set by `POST /faults`: `store_down`
 * and `store_silent` (flags; a silent store never answers what it got meanwhile), `refuse`,
 * `lose_answers`, `cut_streams` (each for the next N requests) and `delay_ms`.
 */
class FleetStandin {
 public:
  FleetStandin(HttpLoop& loop, const FleetOptions& options, const Endpoint& listen);

  FleetStandin(const FleetStandin&) = delete;
  FleetStandin& operator=(const FleetStandin&) = delete;

  /** The servers go first: their handlers use the store's faults. */
  ~FleetStandin() { instances_.clear(); }

  std::uint16_t port() const { return metadata_store_.port(); }

 private:
  using Json = nlohmann::json;

  /** A server of one of the services. */
  struct Instance {
    std::string id;
    bool is_engine = false;
    std::uint64_t weight_version = 1;
    std::uint64_t command_count = 0;
    std::unique_ptr<StandinServer> server;
  };

  struct PendingWatch {
    ExchangeId exchange;
    std::string kind;
    std::uint64_t revision = 0;
  };

  void add_store_routes();
  void add_instance(const std::string& id, bool is_engine);
  void list_or_watch_objects(const StandinRequest& request);
  void create_object(const StandinRequest& request);
  void replace_object(const StandinRequest& request);
  void remove_object(const StandinRequest& request);
  void write_object(const std::string& kind, const std::string& name, Json spec);
  void answer_watch(const PendingWatch& watch);
  void complete_watches(const std::string& kind);
  bool apply_store_faults(const StandinRequest& request);
  Json object(const std::string& kind, const std::string& name) const;
  void register_instance(const Instance& instance);
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
  };
  struct ChangeEvent {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool removed = false;
    Json object;
  };

  FleetOptions options_;
  std::uint64_t revision_ = 0;
  std::map<std::string, std::map<std::string, Object>> objects_;  // By kind and name.
  std::vector<ChangeEvent> events_;
  std::vector<PendingWatch> pending_watches_;
  std::map<std::string, std::int64_t> executions_by_request_;  // By request id.
  std::vector<std::unique_ptr<Instance>> instances_;
  // The last member: when it is destroyed, no handler of the store runs any more.
  StandinServer metadata_store_;
};

/** Declares the options of the subcommand `fleet`. */
void add_fleet_options(CLI::App& command, FleetOptions& options);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_FLEET_STANDIN_H_
