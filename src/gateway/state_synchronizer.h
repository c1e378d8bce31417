// What a gateway knows of the system: configuration, upstreams, zones that are out, wanted weights
// and the other gateways.
//
// The platform's store is followed by watches. A gateway that the store does not answer asks its
// peers, which are told by their own watches. Nothing goes back to an earlier state.

#ifndef BLUEBELLSTEP_GATEWAY_STATE_SYNCHRONIZER_H_
#define BLUEBELLSTEP_GATEWAY_STATE_SYNCHRONIZER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "gateway/cache_directory.h"
#include "gateway/cache_follower.h"
#include "gateway/forwarder.h"
#include "gateway/gateway_membership.h"
#include "gateway/store_watcher.h"
#include "gateway/upstream_pool.h"
#include "http/http_client.h"
#include "http/http_loop.h"
#include "settings/gateway_settings.h"

namespace bluebellstep {

/** Runs on the HTTP thread. */
class StateSynchronizer {
 public:
  /** Pause between two questions to peers while the store does not answer. */
  static constexpr Duration kPeerPause{500};
  static constexpr Duration kPeerTimeout{400};
  /** Pause between two attempts to register this gateway. */
  static constexpr Duration kRegisterPause{1000};
  /** Pause between two checks for registrations of gateways that are gone. */
  static constexpr Duration kRosterPause{10'000};

  StateSynchronizer(HttpLoop& loop,
                    HttpClient& client,
                    const GatewaySettings& settings,
                    UpstreamPool& pool,
                    CacheDirectory& cache,
                    Forwarder& forwarder);
  StateSynchronizer(const StateSynchronizer&) = delete;
  StateSynchronizer& operator=(const StateSynchronizer&) = delete;
  ~StateSynchronizer();

  void start();

  /** Sets some gateways to ask until the store has told of all. */
  void set_first_peers(std::vector<Endpoint> peers);

  /** Called after the set of upstreams or the wanted weights changed. */
  void on_weights_changed(std::function<void()> callback) {
    weights_changed_ = std::move(callback);
  }

  /** Called with the other gateways' addresses when they change. */
  void on_peers_changed(std::function<void(std::vector<Endpoint>)> callback) {
    peers_changed_ = std::move(callback);
  }

  /** Whether requests can be served. */
  bool ready() const { return forwarder_.config() != nullptr && pool_.size() > 0; }

  bool store_reachable() const { return store_reachable_; }

  /** A report of another gateway came. */
  void heard(std::string_view gateway) { roster_.heard(gateway, clock_.now()); }

  /** Answers a peer that knows the kinds up to `query`, see `peer_path`. */
  std::string answer_peer(std::string_view query) const;

 private:
  void add_follower(platform::ObjectKind kind);
  void on_changes(platform::ObjectKind kind, ObjectReplica::Changes changes);
  void on_config(const platform::StoredObject& object);
  void on_upstream(const platform::ObjectChange& change);
  void on_zones_out();
  void on_wanted_weights(const platform::StoredObject& object);
  void on_gateways();
  void check_registrations();
  void update_cache_sources();
  void free_older_parts();
  void on_contact(platform::ObjectKind kind, bool reachable);
  bool may_probe(platform::ObjectKind kind) const;
  const ObjectReplica& mirror(platform::ObjectKind kind) const;
  void register_gateway();
  void write_registration(std::uint64_t revision);
  void tick();
  void ask_peer();
  std::string peer_path() const;
  void take_peer_answer(const HttpClient::Response& response);
  void after(Duration delay, std::function<void()> task);

  HttpLoop& loop_;
  HttpClient& client_;
  const GatewaySettings& settings_;
  UpstreamPool& pool_;
  CacheDirectory& cache_;
  CacheFollower cache_follower_;
  Forwarder& forwarder_;
  Clock clock_;
  Random random_;
  std::function<void()> weights_changed_;
  std::function<void(std::vector<Endpoint>)> peers_changed_;
  std::vector<std::unique_ptr<StoreWatcher>> followers_;
  std::vector<Endpoint> peers_;
  GatewayMembership roster_;
  Instant registrations_checked_;
  bool store_reachable_ = true;
  bool asking_peer_ = false;
  std::map<std::string, std::uint64_t> freed_before_;  // By model.
  bool weights_listed_ = false;  // The first list of wanted weights has been taken.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_STATE_SYNCHRONIZER_H_
