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
  ~FleetStandin() { members_.clear(); }

  std::uint16_t port() const { return store_.port(); }

 private:
  using Json = nlohmann::json;

  /** A server of one of the services. */
  struct Member {
    std::string id;
    bool engine = false;
    std::uint64_t weight_version = 1;
    std::uint64_t commands = 0;
    std::unique_ptr<StandinServer> server;
  };

  struct Waiter {
    ExchangeId exchange;
    std::string kind;
    std::uint64_t revision = 0;
  };

  void add_store_routes();
  void add_member(const std::string& id, bool engine);
  void list_or_watch(const StandinRequest& request);
  void create(const StandinRequest& request);
  void replace(const StandinRequest& request);
  void remove(const StandinRequest& request);
  void put(const std::string& kind, const std::string& name, Json spec);
  void answer_watch(const Waiter& waiter);
  void notify(const std::string& kind);
  bool refuse_while_down(const StandinRequest& request);
  Json object(const std::string& kind, const std::string& name) const;
  void register_member(const Member& member);
  void write_config();

  void serve(Member& member, const StandinRequest& request);
  void run(Member& member, const StandinRequest& request);
  void stream(Member& member,
              ExchangeId exchange,
              const std::string& id,
              std::uint64_t next,
              std::uint64_t cut_at);
  void load_weights(Member& member, const StandinRequest& request);

  struct Object {
    std::uint64_t revision = 0;
    Json spec;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool removed = false;
    Json object;
  };

  FleetOptions options_;
  std::uint64_t revision_ = 0;
  std::map<std::string, std::map<std::string, Object>> objects_;  // By kind and name.
  std::vector<Event> events_;
  std::vector<Waiter> waiters_;
  std::map<std::string, std::int64_t> runs_;  // By request id.
  std::vector<std::unique_ptr<Member>> members_;
  // The last member: when it is destroyed, no handler of the store runs any more.
  StandinServer store_;
};

/** Declares the options of the subcommand `fleet`. */
void add_fleet_options(CLI::App& command, FleetOptions& options);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_FLEET_STANDIN_H_
