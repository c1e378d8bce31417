// Stand-in for the metadata store of the platform: objects by kind and name, and watches.
//
// The store can be restored from a copy of itself. What gateways wrote since the copy is then gone.
// What the operator and the servers wrote is written again after a while, except by servers that
// have stopped. Kinds whose name starts with `kGatewayKinds` are written by gateways.

#ifndef BLUEBELLSTEP_STANDINS_FLEET_STORE_H_
#define BLUEBELLSTEP_STANDINS_FLEET_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "http/http_loop.h"
#include "standins/standin_server.h"

namespace bluebellstep {

/**
 * The metadata store; see `FleetStandin` for its faults. All answers on `/objects` state the era in
 * the header `Store-Era`, which starts at 1.
 *
 * - `POST /copy` keeps a copy of the store.
 * - `POST /restore` is answered at once. The store is away for `down_ms`: it answers with status
 *   503, or not at all if `silent`. Then it is restored from the copy and its era rises.
 * `rewrite_ms` (default 1500) later the operator and the servers write again what it has lost. The
 * counter `restores` counts the restores that have ended.
 */
class FleetStore {
 public:
  using Json = nlohmann::json;

  static constexpr std::string_view kGatewayKinds = "bluebellstep-";

  /** Called after the status of an object was written. */
  using StatusCallback =
      std::function<void(const std::string& kind, const std::string& name, const Json& status)>;

  FleetStore(HttpLoop& loop, StatusCallback on_status);
  FleetStore(const FleetStore&) = delete;
  FleetStore& operator=(const FleetStore&) = delete;

  /** The server of the store, for further routes, counters and faults. */
  StandinServer& server() { return server_; }

  /** The port on which the store listens. Valid after its server has started. */
  std::uint16_t port() const { return server_.port(); }

  /** Returns the object in its JSON representation; null if it does not exist. */
  Json object(const std::string& kind, const std::string& name) const;

  /** Creates or replaces an object. */
  void write(const std::string& kind, const std::string& name, Json spec);

  /** Removes an object if it exists. */
  void remove(const std::string& kind, const std::string& name);

  /** What the store loses of this object is not written again, since its writer has stopped. */
  void stop_rewriting(const std::string& kind, const std::string& name) {
    stopped_writers_.emplace(kind, name);
  }

 private:
  /** A watch request that waits for a change of an object of its kind. */
  struct PendingWatch {
    ExchangeId exchange;
    std::string kind;
    std::uint64_t revision = 0;  // Waits for a later revision than this.
  };

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
  /** What a copy holds. */
  struct Content {
    std::uint64_t revision = 0;                                    // Of the last change.
    std::map<std::string, std::map<std::string, Object>> objects;  // By kind and name.
    std::vector<ChangeEvent> events;
  };
  using ObjectKey = std::pair<std::string, std::string>;  // Kind and name.

  void add_routes();
  // Returns true if a fault of the store prevents the normal handling of the request.
  bool apply_faults(const StandinRequest& request);
  void count_call(const StandinRequest& request);
  void list_or_watch(const StandinRequest& request);
  void answer_watch(const PendingWatch& watch);
  void complete_watches(const std::string& kind);
  void expire_watch(ExchangeId exchange);
  void create(const StandinRequest& request);
  void replace(const StandinRequest& request);
  void write_status(const StandinRequest& request);
  void remove(const StandinRequest& request);
  void restore(const StandinRequest& request);
  void rewrite();
  void state_era();

  StatusCallback on_status_;
  Content content_;
  Content copy_;
  std::uint64_t era_ = 1;
  bool away_ = false;  // A restore is in progress.
  bool silent_ = false;
  // What the operator and the servers last wrote, by kind and name; nothing if they removed it.
  std::map<ObjectKey, std::optional<Json>> written_;
  std::set<ObjectKey> stopped_writers_;
  std::vector<PendingWatch> pending_watches_;
  // Declared last, so that it is destroyed first and no handler uses a destroyed member.
  StandinServer server_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_FLEET_STORE_H_
