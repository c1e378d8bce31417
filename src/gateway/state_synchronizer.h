// Keeps a gateway's view of the system up to date: configuration, upstreams, zones out of service,
// target weight versions and the other gateways.
//
// Changes come from watches of the platform's store. While the store does not answer this gateway,
// it queries its peers, whose watches may still work. State is never replaced by an older revision.

#ifndef BLUEBELLSTEP_GATEWAY_STATE_SYNCHRONIZER_H_
#define BLUEBELLSTEP_GATEWAY_STATE_SYNCHRONIZER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "gateway/cache_directory.h"
#include "gateway/cache_event_poller.h"
#include "gateway/follower_polls.h"
#include "gateway/forwarder.h"
#include "gateway/gateway_membership.h"
#include "gateway/object_changes.h"
#include "gateway/request_quota.h"
#include "gateway/store_source.h"
#include "gateway/store_watcher.h"
#include "gateway/upstream_pool.h"
#include "http/background_worker.h"
#include "http/http_client.h"
#include "http/http_loop.h"
#include "peer_queries/peer_queries.h"
#include "retained_objects/belief_format.h"
#include "retained_objects/retained_objects.h"
#include "settings/gateway_settings.h"
#include "store_history/object_store_client.h"

namespace bluebellstep {

/** Applies changes of the store's objects to routing. All members run on the HTTP thread. */
class StateSynchronizer {
 public:
  /** Interval between periodic tasks. */
  static constexpr Duration kTaskInterval{500};
  /** Limit on each query to a peer. */
  static constexpr Duration kPeerQueryTimeout{400};
  /** How long a reader may hold a poll of this gateway while nothing changes. */
  static constexpr Duration kFollowWait{700};
  /** Limit on connecting to a reader, and on its answer after that wait. */
  static constexpr Duration kFollowTimeout{300};
  /** Delay between polls, so that a series of changes takes few polls. */
  static constexpr Duration kFollowDelay{50};
  /** Interval between polls that check whether there is a reader to follow. */
  static constexpr Duration kReaderCheckInterval{1000};
  /** How long the store may hold a watch of the configuration of a gateway that others follow, so
   * that it notices early that it has lost the store. */
  static constexpr Duration kReaderWatchWait{900};
  /** A gateway without an answer of the store for this long has outdated objects. */
  static constexpr Duration kMaxAnswerAge{1400};
  /** The same for a gateway that follows another one. */
  static constexpr Duration kMaxFollowedAnswerAge{2300};
  /** Longest time between two calls that probe an unreachable store: a retry follows a failed call
   * by `kRetryDelay`, and a call takes no longer than this. */
  static constexpr Duration kMaxProbeInterval =
      StoreWatcher::kRetryDelay + StoreWatcher::kProbeWait + StoreWatcher::kCallTimeout;
  /** A gateway is followed until it had no poll for this long. */
  static constexpr Duration kFollowerTimeout{5000};
  /** Delay between attempts to register this gateway. */
  static constexpr Duration kRegistrationRetryDelay{1000};
  /** After a restore of the store, all gateways list its objects within this time for each
   * registered gateway, so that the store need not answer them all at once. */
  static constexpr Duration kListSpreadPerGateway{2};
  /** Interval between checks for registrations of gateways that no longer exist. */
  static constexpr Duration kMembershipCheckInterval{10'000};

  StateSynchronizer(HttpLoop& loop,
                    HttpClient& client,
                    ObjectStoreClient& store_client,
                    const GatewaySettings& settings,
                    UpstreamPool& pool,
                    RequestQuota& quota,
                    CacheDirectory& cache,
                    Forwarder& forwarder);
  StateSynchronizer(const StateSynchronizer&) = delete;
  StateSynchronizer& operator=(const StateSynchronizer&) = delete;
  ~StateSynchronizer();

  /** Starts the watches and registers this gateway. Call once, after the callbacks are set. */
  void start();

  /** Sets the gateways to query before the registrations of all gateways have been received. */
  void set_first_peers(std::vector<Endpoint> peers);

  /** Sets the callback for changes of upstreams and of target weight versions. */
  void on_weights_changed(std::function<void()> callback) {
    on_weights_changed_ = std::move(callback);
  }

  /** Sets the callback for changes of the configuration, of upstreams, and of roll-out orders and
   * decisions on them. */
  void on_rollouts_changed(std::function<void()> callback) {
    on_rollouts_changed_ = std::move(callback);
  }

  /** Sets the callback for changes of the configuration. */
  void on_config_changed(std::function<void()> callback) {
    on_config_changed_ = std::move(callback);
  }

  /** Sets the callback for changes of the registered gateways, which receives their names. */
  void on_gateways_changed(
      std::function<void(const std::set<std::string, std::less<>>& names)> callback) {
    on_gateways_changed_ = std::move(callback);
  }

  /** Sets the callback for the removal of this gateway's registration. */
  void on_registration_lost(std::function<void()> callback) {
    on_registration_lost_ = std::move(callback);
  }

  /** Sets what this gateway tells peers of the versions of streams, and what it does with what they
   * tell; see `StreamVersionDriver::encoded_table`. */
  void set_version_table_callbacks(std::function<std::string()> encode,
                                   std::function<void(std::string_view)> apply) {
    encode_version_table_ = std::move(encode);
    apply_version_table_ = std::move(apply);
  }

  /** Sets the callback for changes of the other gateways, which receives their addresses. */
  void on_peers_changed(std::function<void(std::vector<Endpoint>)> callback) {
    on_peers_changed_ = std::move(callback);
  }

  /** Sets the callback for changes of the other gateways of this zone, which receives their
   * addresses. */
  void on_zone_peers_changed(std::function<void(std::vector<Endpoint>)> callback) {
    on_zone_peers_changed_ = std::move(callback);
  }

  /** Follows the cache nodes. */
  CacheEventPoller& cache_event_poller() { return cache_event_poller_; }

  /** Whether requests can be served: a configuration and at least one upstream are known. */
  bool ready() const { return forwarder_.config() != nullptr && pool_.size() > 0; }

  /** The objects of a watched kind, as last received. */
  const ObjectReplica& replica(platform::ObjectKind kind) const;

  /** The objects of a watched kind as they count at present: as last received, except for what is
   * retained after a restore of the store. */
  const ObjectReplica::Objects& objects(platform::ObjectKind kind) const;

  /** When the objects of a kind were last known to be current; the start of the clock if never.
   * Lists of peers do not count, since they may be old. */
  Instant current_at(platform::ObjectKind kind) const;

  /** Whether the store answered the last call. */
  bool store_reachable() const { return store_reachable_; }

  /** When the store last answered this gateway or the one that it follows. */
  Instant store_answered_at() const { return store_answered_at_; }

  /** Asks another gateway for newer objects, unless one is being asked. */
  void ask_peer() { query_peer(); }

  /** Records that a load report of another gateway was received. */
  void on_gateway_report(std::string_view gateway) { membership_.on_report(gateway, clock_.now()); }

  /** Rank of this gateway for the lease of rollouts; see `LeaseCandidacy`. */
  std::size_t lease_rank() const;

  /** Whether this gateway reads the store's objects from another gateway at present. */
  bool following() const { return following_; }

  /** Answers a request of a peer for objects: `respond` is called once, at once or when there are
   * changes. */
  void on_peer_request(std::string_view path, std::function<void(std::string)> respond);

 private:
  static std::string_view name_of(platform::ObjectKind kind);  // For the log.
  void add_watcher(platform::ObjectKind kind);
  void on_changes(platform::ObjectKind kind, ObjectReplica::Changes changes, bool restored);
  // Acts on the changes that are not held back.
  void apply_object_changes(platform::ObjectKind kind,
                            const ObjectReplica::Changes& changes,
                            bool restored);
  // Ends what is retained no longer.
  void release_retained();
  // What this gateway retains, to pass on to other gateways.
  std::vector<KindBeliefs> beliefs() const;
  // The part of it that keeps upstreams from use.
  std::vector<KindBeliefs> beliefs_on_unused_upstreams() const;
  void adopt_beliefs(const std::vector<KindBeliefs>& kinds);
  void on_configs(const ObjectReplica::Changes& changes);
  void on_config(platform::DecodeResult<ServingConfig>&& decoded);
  // Puts the received configuration into force once the lists that restrict the choice of upstreams
  // have been received.
  void apply_config();
  void on_upstream(const platform::ObjectChange& change);
  void on_zones_out_of_service();
  void on_target_weights(const platform::StoredObject& object);
  void on_gateways();
  void check_registrations();
  void update_cache_nodes();
  void free_outdated_segments();
  void on_call_ended(platform::ObjectKind kind, bool reachable, Instant sent_at);
  bool may_probe(platform::ObjectKind kind);
  // Writes this gateway's registration over the object's `revision`; an absent one creates the
  // object.
  void write_registration(const StoreRevision& revision);
  void run_periodic_tasks();
  // Returns, as JSON, the objects of each kind whose revision here is newer than the peer's.
  // `query` is the requested path with the peer's revisions, see `peer_query_path`.
  std::string answer_peer_query(std::string_view query);
  KnownRevisions known_revisions() const;
  // Whether all objects are of the newest era of the store that this gateway knows of.
  bool in_newest_era() const;
  // The store was restored: reads all objects anew.
  void on_era_raised();
  // A message of another gateway names these revisions.
  void record_heard(const KnownRevisions& known);
  // The view of the zones to pass on to other gateways; nothing if it is out of date.
  std::optional<PassedView> valid_view() const;
  // Another gateway has passed on its view, and the zones that were back in service.
  // @param answered_at  When the view was passed on, at the earliest.
  void record_passed_view(const std::optional<PassedView>& view,
                          Instant answered_at,
                          Duration validity,
                          const std::vector<ReturnedZone>& returned_zones);
  bool has_changes_since(const KnownRevisions& known) const;
  // Until when the objects of this gateway are current without a further answer of the store.
  Instant current_until() const;
  ChangesAnswer changes_since(const KnownRevisions& known) const;
  // Polls the gateway that `source_` selects, again and again.
  void follow_reader();
  // @param due  When the reader has answered, unless the call took long.
  void on_reader_answer(const Endpoint& reader, Instant due, std::optional<ChangesAnswer> answer);
  void apply_changes(ChangesAnswer answer, Instant due);
  // Shortens the watches of the configuration while other gateways follow this one.
  void update_watch_wait();
  void set_following(bool following, std::string_view reason);
  StoreWatcher* find_watcher(platform::ObjectKind kind) const;
  // Queries peers one after the other until the store answers.
  void query_peer();
  std::string peer_query_path() const;
  // Returns the time since the store answered the peer; nothing if it is not known.
  std::optional<Duration> apply_peer_answer(const HttpClient::Response& response, Instant asked_at);
  void run_after(Duration delay, std::function<void()> task);

  HttpLoop& loop_;
  HttpClient& client_;
  ObjectStoreClient& store_client_;
  const GatewaySettings& settings_;
  UpstreamPool& pool_;
  RequestQuota& quota_;
  CacheDirectory& cache_;
  CacheEventPoller cache_event_poller_;
  Forwarder& forwarder_;
  Clock clock_;
  std::function<void()> on_weights_changed_;
  std::function<void()> on_rollouts_changed_;
  std::function<void()> on_config_changed_;
  std::function<void(const std::set<std::string, std::less<>>&)> on_gateways_changed_;
  std::function<void()> on_registration_lost_;
  std::function<std::string()> encode_version_table_;
  std::function<void(std::string_view)> apply_version_table_;
  std::function<void(std::vector<Endpoint>)> on_peers_changed_;
  std::function<void(std::vector<Endpoint>)> on_zone_peers_changed_;
  BackgroundWorker worker_;  // Decodes what would delay the event loop.
  std::vector<std::unique_ptr<StoreWatcher>> watchers_;
  std::map<platform::ObjectKind, RetainedObjects> retained_;  // Not of all watched kinds.
  PeerQueries peer_queries_;
  GatewayMembership membership_;
  StoreSource source_;
  FollowerPolls follower_polls_;
  bool following_ = false;
  std::map<platform::ObjectKind, Instant> current_at_;
  // A call to the store was answered, by this gateway or the one that it follows.
  Instant store_answered_at_;
  // While a peer's objects are taken in: `UpstreamPool::left_upstreams` of the peer.
  std::vector<std::string> left_at_peer_;
  Instant probed_at_;                 // When a retry was last allowed after a failed call.
  std::optional<Instant> polled_at_;  // By a follower.
  Instant membership_checked_at_;
  bool store_reachable_ = true;
  bool peer_query_pending_ = false;  // A query is in flight, or the delay after it lasts.
  // By model: the version below which this gateway has freed segments in stores.
  std::map<std::string, std::uint64_t> freed_below_version_;
  std::optional<ServingConfig> received_config_;  // Not yet in force.
  // Era of the store in which this gateway has written its registration.
  std::optional<std::uint64_t> registered_era_;
  bool target_weights_listed_ = false;  // The first list of target weight versions was applied.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_STATE_SYNCHRONIZER_H_
