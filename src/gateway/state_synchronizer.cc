// Applies changes from the store and from peers to routing, and maintains gateway registrations.

#include "gateway/state_synchronizer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/hash.h"
#include "base/json_text.h"
#include "base/log_event.h"
#include "base/overloaded.h"
#include "http/socket_address.h"

namespace bluebellstep {
namespace {

using platform::ObjectKind;

constexpr ObjectKind kWatchedKinds[] = {ObjectKind::kConfiguration, ObjectKind::kUpstreams,
                                        ObjectKind::kZonesOutOfService, ObjectKind::kTargetWeights,
                                        ObjectKind::kGateways};
// Watched only in deployments with roll-outs of software versions.
constexpr ObjectKind kRolloutKinds[] = {ObjectKind::kRollouts, ObjectKind::kRolloutDecisions};
// Interval between the turns of two gateways to free cached segments. Longer than the interval
// between polls, so that each gateway knows what the previous one freed.
constexpr Duration kFreeTurnInterval{1500};
constexpr std::string_view kLeaseRankKey = "rollout lease";

std::string registration_json(const GatewaySettings& settings) {
  return nlohmann::json{{"peers", to_string(settings.peers)},
                        {"zone", settings.zone},
                        {"link_mbps", settings.link_mbps}}
      .dump();
}

// Decodes a registration. Those of earlier versions have no zone.
std::optional<StoreSource::Gateway> decode_registration(const platform::StoredObject& object) {
  const auto json = parse_json(object.content);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    const auto endpoint = platform::decode_endpoint(json.value("peers", std::string()));
    if (!endpoint) {
      return std::nullopt;
    }
    return StoreSource::Gateway{.name = object.name,
                                .zone = json.value("zone", std::string()),
                                .endpoint = *endpoint,
                                .link_mbps = json.value("link_mbps", 0.0)};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

StateSynchronizer::StateSynchronizer(HttpLoop& loop,
                                     HttpClient& client,
                                     ObjectStoreClient& store_client,
                                     const GatewaySettings& settings,
                                     UpstreamPool& pool,
                                     RequestQuota& quota,
                                     CacheDirectory& cache,
                                     Forwarder& forwarder)
    : loop_(loop),
      client_(client),
      store_client_(store_client),
      settings_(settings),
      pool_(pool),
      quota_(quota),
      cache_(cache),
      cache_event_poller_(loop,
                          client,
                          cache,
                          CachePollScheduler(settings.name, settings.zone, settings.link_mbps)),
      forwarder_(forwarder),
      worker_(loop),
      peer_queries_(hash64(settings.name)),
      membership_(settings.name),
      source_(settings.name, settings.zone),
      follower_polls_([this](const KnownRevisions& known) { return has_changes_since(known); }) {
  for (const ObjectKind kind : kWatchedKinds) {
    add_watcher(kind);
    retained_.try_emplace(kind, kind, name_of(kind));
  }
  set_first_peers(settings.first_peers);
  // Other gateways may tell of upstreams before the store tells of the zones.
  pool_.cold_limit().record_view_lost(clock_.now());
  if (settings.bounds.expose_share > 0) {
    for (const ObjectKind kind : kRolloutKinds) {
      add_watcher(kind);
    }
  }
}

StateSynchronizer::~StateSynchronizer() = default;

std::string_view StateSynchronizer::name_of(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kConfiguration:
      return "configuration";
    case ObjectKind::kUpstreams:
      return "upstreams";
    case ObjectKind::kZonesOutOfService:
      return "zones_out";
    case ObjectKind::kTargetWeights:
      return "wanted_weights";
    case ObjectKind::kGateways:
      return "gateways";
    case ObjectKind::kLeases:
      return "leases";
    case ObjectKind::kRollouts:
      return "rollouts";
    case ObjectKind::kRolloutDecisions:
      return "rollout_decisions";
    case ObjectKind::kStreamVersions:
      return "stream_versions";
  }
  return {};
}

void StateSynchronizer::set_first_peers(std::vector<Endpoint> peers) {
  if (replica(ObjectKind::kGateways).objects().empty()) {
    std::erase(peers, settings_.peers);
    peer_queries_.set_peers(std::move(peers));
  }
}

void StateSynchronizer::add_watcher(ObjectKind kind) {
  watchers_.push_back(std::make_unique<StoreWatcher>(
      loop_, store_client_, worker_, settings_.store, kind,
      StoreWatcher::Listener{.on_changes =
                                 [this, kind](ObjectReplica::Changes changes, bool restored) {
                                   on_changes(kind, std::move(changes), restored);
                                 },
                             .on_current =
                                 [this, kind](Instant as_of) {
                                   current_at_[kind] = clock_.now();
                                   if (kind == ObjectKind::kZonesOutOfService) {
                                     const Instant now = clock_.now();
                                     pool_.cold_limit().record_view(
                                         {.since = now, .as_of = as_of},
                                         as_of + ColdLimit::kViewValidity, now);
                                   }
                                 },
                             .on_call_ended =
                                 [this, kind](bool reachable, Instant sent_at) {
                                   on_call_ended(kind, reachable, sent_at);
                                 },
                             .may_probe = [this, kind] { return may_probe(kind); }}));
}

void StateSynchronizer::start() {
  for (const auto& watcher : watchers_) {
    watcher->start();
  }
  store_client_.on_era_raised([this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      on_era_raised();
    }
  });
  write_registration({});
  run_periodic_tasks();
  // Another gateway may know of zones that were back in service just before this one started.
  query_peer();
  follow_reader();
}

void StateSynchronizer::on_era_raised() {
  const auto gateways = static_cast<std::int64_t>(replica(ObjectKind::kGateways).objects().size());
  const Duration spread = kListSpreadPerGateway * gateways;
  const auto place = static_cast<std::int64_t>(hash64(settings_.name) % 1024);
  const Duration delay = spread * place / 1024;
  for (const auto& watcher : watchers_) {
    watcher->on_era_raised(delay);
  }
  if (registered_era_ && *registered_era_ < store_client_.era().number()) {
    // The copy may lack the registration; a list tells of it only if the gateway was in an earlier
    // one.
    run_after(delay, [this] { write_registration({}); });
  }
  // Their objects are outdated until the list.
  follower_polls_.answer_all();
  // Another gateway may have heard of changes that the store has lost. It tells what it retains of
  // them once it has listed the objects.
  run_after(spread + kTaskInterval, [this] { query_peer(); });
}

void StateSynchronizer::run_after(Duration delay, std::function<void()> task) {
  loop_.post_after(delay, [alive = std::weak_ptr<bool>(alive_), task = std::move(task)] {
    if (!alive.expired()) {
      task();
    }
  });
}

// While the store does not answer, calls for one kind are enough to detect its recovery. A kind
// that was never listed is asked for all the same, since requests wait for it. Another kind takes
// over while a long watch for the first one, from before the outage, has not failed yet.
bool StateSynchronizer::may_probe(ObjectKind kind) {
  const Instant now = clock_.now();
  const bool may_probe = store_reachable_ || kind == ObjectKind::kConfiguration ||
                         replica(kind).revision().is_absent() ||
                         now >= probed_at_ + kMaxProbeInterval;
  if (may_probe) {
    probed_at_ = now;
  }
  return may_probe;
}

void StateSynchronizer::on_call_ended(ObjectKind kind, bool reachable, Instant sent_at) {
  target_weights_listed_ =
      target_weights_listed_ ||
      (kind == ObjectKind::kTargetWeights && reachable && !replica(kind).revision().is_absent());
  if (reachable != store_reachable_) {
    LogEvent(reachable ? "store_regained" : "store_lost", LogEvent::Severity::kWarning)
        .field("kind", name_of(kind))
        .field("revision", to_string(replica(kind).revision()));
  }
  const Instant now = clock_.now();
  if (reachable) {
    store_answered_at_ = now;
    pool_.registration_grace().record_store_answer(now, now);
  } else {
    pool_.registration_grace().record_failed_call(sent_at);
  }
  const bool lost = store_reachable_ && !reachable;
  store_reachable_ = reachable;
  if (lost) {
    pool_.cold_limit().record_view_lost(clock_.now());
    follower_polls_.answer_all();
    query_peer();
  }
  apply_config();
}

Instant StateSynchronizer::current_at(ObjectKind kind) const {
  const auto found = current_at_.find(kind);
  return found == current_at_.end() ? Instant{} : found->second;
}

const ObjectReplica& StateSynchronizer::replica(ObjectKind kind) const {
  return find_watcher(kind)->replica();
}

void StateSynchronizer::on_changes(ObjectKind kind, ObjectReplica::Changes changes, bool restored) {
  if (const auto retained = retained_.find(kind); retained != retained_.end()) {
    changes = retained->second.apply(std::move(changes), restored, replica(kind), clock_.now());
  }
  apply_object_changes(kind, changes, restored);
}

void StateSynchronizer::apply_object_changes(ObjectKind kind,
                                             const ObjectReplica::Changes& changes,
                                             bool restored) {
  for (const platform::ObjectChange& change : changes) {
    LogEvent("object_changed")
        .field("kind", name_of(kind))
        .field("name", change.object.name)
        .field("revision", to_string(change.object.revision))
        .field("removed", change.removed)
        .field("restored", restored)
        .field("source", find_watcher(kind)->change_source());
    if (kind == ObjectKind::kUpstreams) {
      on_upstream(change);
    } else if (kind == ObjectKind::kTargetWeights && !change.removed) {
      on_target_weights(change.object);
    } else if (kind == ObjectKind::kZonesOutOfService && change.removed) {
      // The zone may have been taken out of service by a change of the same answer.
      pool_.cold_limit().record_returned_zone(change.object.name, clock_.now());
    }
  }
  if (kind == ObjectKind::kConfiguration) {
    on_configs(changes);
  } else if (kind == ObjectKind::kUpstreams) {
    update_cache_nodes();
  }
  const bool is_rollout = kind == ObjectKind::kRollouts || kind == ObjectKind::kRolloutDecisions;
  if ((is_rollout || kind == ObjectKind::kUpstreams) && on_rollouts_changed_) {
    on_rollouts_changed_();
  }
  if (kind == ObjectKind::kZonesOutOfService) {
    on_zones_out_of_service();
  } else if (kind == ObjectKind::kGateways) {
    on_gateways();
  } else if (kind != ObjectKind::kConfiguration && !is_rollout && on_weights_changed_) {
    on_weights_changed_();
  }
  follower_polls_.on_changes();
}

void StateSynchronizer::on_configs(const ObjectReplica::Changes& changes) {
  // Each change contains the complete configuration, so only the last one is decoded.
  const auto last =
      std::find_if(changes.rbegin(), changes.rend(), [](const platform::ObjectChange& change) {
        return !change.removed && change.object.name == platform::config_object_name();
      });
  if (last == changes.rend()) {
    return;
  }
  const std::string& content = last->object.content;
  if (content.size() < StoreWatcher::kMinBackgroundBytes) {
    on_config(platform::decode_config(content));
    return;
  }
  worker_.run(
      [content] { return platform::decode_config(content); },
      [this](platform::DecodeResult<ServingConfig>&& decoded) { on_config(std::move(decoded)); });
}

void StateSynchronizer::on_config(platform::DecodeResult<ServingConfig>&& decoded) {
  if (const auto* fault = std::get_if<platform::DecodeError>(&decoded)) {
    LogEvent("config_not_understood", LogEvent::Severity::kError).field("why", fault->reason);
    return;
  }
  auto& config = std::get<ServingConfig>(decoded);
  const auto& current = forwarder_.config();
  if ((current != nullptr && config.version <= current->version) ||
      (received_config_ && config.version <= received_config_->version)) {
    return;
  }
  received_config_ = std::move(config);
  apply_config();
}

void StateSynchronizer::apply_config() {
  // Without these lists, requests would reach zones that are out of service and engines whose
  // weights are too old.
  const bool lists_received = !replica(ObjectKind::kZonesOutOfService).revision().is_absent() &&
                              !replica(ObjectKind::kTargetWeights).revision().is_absent();
  if (!received_config_ || !lists_received) {
    return;
  }
  ServingConfig config = *std::exchange(received_config_, std::nullopt);
  config.set_urgent_goals();
  LogEvent("config_in_force")
      .field("version", config.version)
      .field("routes", static_cast<std::uint64_t>(config.routes.size()))
      .field("accounts", static_cast<std::uint64_t>(config.accounts.size()));
  forwarder_.set_config(std::make_shared<const ServingConfig>(std::move(config)));
  if (on_config_changed_) {
    on_config_changed_();
  }
  if (on_rollouts_changed_) {
    on_rollouts_changed_();
  }
  update_cache_nodes();
}

void StateSynchronizer::on_upstream(const platform::ObjectChange& change) {
  const Instant now = clock_.now();
  if (change.removed) {
    const bool left = std::find(left_at_peer_.begin(), left_at_peer_.end(), change.object.name) !=
                      left_at_peer_.end();
    if (left) {
      pool_.remove_left(change.object.name, now);
    } else {
      pool_.remove(change.object.name, now);
    }
    return;
  }
  auto decoded = platform::decode_upstream(change.object.name, change.object.content);
  if (const auto* fault = std::get_if<platform::DecodeError>(&decoded)) {
    LogEvent("upstream_not_understood", LogEvent::Severity::kWarning)
        .field("upstream", change.object.name)
        .field("why", fault->reason);
    pool_.discard(change.object.name, now);
    return;
  }
  pool_.put(std::move(std::get<UpstreamRegistration>(decoded)), now);
}

void StateSynchronizer::on_zones_out_of_service() {
  std::set<std::string, std::less<>> zones;
  for (const auto& [name, object] : objects(ObjectKind::kZonesOutOfService)) {
    zones.insert(name);
  }
  pool_.set_zones_out_of_service(std::move(zones), clock_.now());
}

void StateSynchronizer::on_target_weights(const platform::StoredObject& object) {
  auto decoded = platform::decode_target_weights(object.content);
  if (const auto* fault = std::get_if<platform::DecodeError>(&decoded)) {
    LogEvent("weights_not_understood", LogEvent::Severity::kWarning).field("why", fault->reason);
    return;
  }
  // The first list does not say how long ago its versions were set as the target.
  const bool set_before_start = !target_weights_listed_;
  pool_.set_target_weights(std::get<TargetWeights>(decoded), set_before_start, clock_.now());
}

void StateSynchronizer::on_gateways() {
  std::vector<Endpoint> peers;
  std::vector<Endpoint> zone_peers;
  std::vector<std::string> zone_names;
  std::vector<StoreSource::Gateway> gateways;
  const auto& registrations = objects(ObjectKind::kGateways);
  for (const auto& [name, object] : registrations) {
    auto gateway = decode_registration(object);
    if (!gateway) {
      continue;
    }
    const bool is_peer = gateway->endpoint != settings_.peers;
    if (is_peer) {
      peers.push_back(gateway->endpoint);
    }
    if (is_peer && gateway->zone == settings_.zone) {
      zone_peers.push_back(gateway->endpoint);
      zone_names.push_back(gateway->name);
    }
    gateways.push_back(std::move(*gateway));
  }
  source_.set_gateways(gateways);
  cache_event_poller_.set_zone_gateways(zone_names);
  if (on_zone_peers_changed_) {
    on_zone_peers_changed_(std::move(zone_peers));
  }
  std::set<std::string, std::less<>> names;
  for (const auto& [name, object] : registrations) {
    names.insert(name);
  }
  quota_.set_registered(names);
  membership_.set_registered(names, clock_.now());
  if (on_gateways_changed_) {
    on_gateways_changed_(names);
  }
  if (!peers.empty()) {
    peer_queries_.set_peers(peers);
    if (on_peers_changed_) {
      on_peers_changed_(std::move(peers));
    }
  }
  if (membership_.own_registration_lost()) {
    LogEvent("registration_lost", LogEvent::Severity::kWarning).field("name", settings_.name);
    write_registration({});
    if (on_registration_lost_) {
      on_registration_lost_();
    }
  }
}

std::size_t StateSynchronizer::lease_rank() const {
  return membership_.own_rank(hash64(kLeaseRankKey));
}

void StateSynchronizer::update_cache_nodes() {
  const auto& config = forwarder_.config();
  if (config == nullptr) {
    return;
  }
  // The maximum over all models, so that transfer times are not underestimated.
  double bytes_per_token = 0;
  for (const auto& [name, service] : config->services) {
    bytes_per_token =
        std::max(bytes_per_token, service.engine ? service.engine->kv_bytes_per_token : 0);
  }
  const auto tokens_per_ms = [bytes_per_token](double link_bytes_per_ms) {
    return link_bytes_per_ms > 0 && bytes_per_token > 0 ? link_bytes_per_ms / bytes_per_token
                                                        : CacheNode{}.tokens_per_ms;
  };
  std::vector<CacheNode> cache_nodes;
  pool_.visit_registrations([&](const UpstreamRegistration& upstream) {
    const ServiceInfo* service = config->find_service(upstream.service);
    if (service != nullptr && service->engine) {
      cache_nodes.push_back({.name = upstream.id,
                             .endpoint = upstream.endpoint,
                             .zone = upstream.zone,
                             .started_ms = upstream.started_ms,
                             .tokens_per_ms = tokens_per_ms(service->engine->link_bytes_per_ms)});
    }
  });
  for (const auto& [name, service] : config->services) {
    if (service.store) {
      cache_nodes.push_back({.name = name,
                             .endpoint = service.store->endpoint,
                             .zone = service.store->zone,
                             .is_store = true,
                             .capacity_tokens = service.store->capacity_tokens,
                             .transfer_setup_ms = service.store->transfer_setup_ms,
                             .tokens_per_ms = tokens_per_ms(service.store->link_bytes_per_ms)});
    }
  }
  cache_.set_nodes(std::move(cache_nodes));
  cache_event_poller_.update_nodes();
}

void StateSynchronizer::write_registration(const StoreRevision& revision) {
  platform::StoreCall call =
      platform::write_call(settings_.store, ObjectKind::kGateways, settings_.name, revision,
                           registration_json(settings_), StoreWatcher::kCallTimeout);
  const bool created = revision.is_absent();
  store_client_.send(std::move(call), [this, created, alive = std::weak_ptr<bool>(alive_)](
                                          const platform::StoreAnswer& answer) {
    if (alive.expired()) {
      return;
    }
    const auto result = platform::decode_write(answer);
    std::visit(Overloaded{[&](StoreRevision version) {
                            LogEvent("gateway_registered").field("revision", to_string(version));
                            registered_era_ = version.era;
                            if (created) {
                              quota_.set_joined(clock_.now());
                            }
                          },
                          [&](const VersionConflict& conflict) {
                            // The object is from an earlier start, or from a write whose answer was
                            // lost.
                            if (conflict.current.value != registration_json(settings_)) {
                              write_registration(conflict.current.version);
                            } else {
                              registered_era_ = conflict.current.version.era;
                            }
                          },
                          [&](const PlatformUnavailable&) {
                            run_after(kRegistrationRetryDelay, [this] { write_registration({}); });
                          }},
               result);
  });
}

// Frees cached segments in stores that belong to outdated weight versions. Each gateway does so
// once for each version, in the order of their names: the first one frees everything, and the
// others find nothing left unless an earlier one was down.
void StateSynchronizer::free_outdated_segments() {
  const Instant now = clock_.now();
  pool_.update_rollouts(now);
  const auto& gateways = objects(ObjectKind::kGateways);
  const auto turn = std::distance(gateways.begin(), gateways.find(settings_.name));
  for (const auto& [model, version] : pool_.settled_versions(now - kFreeTurnInterval * turn)) {
    if (freed_below_version_[model] < version) {
      freed_below_version_[model] = version;
      cache_event_poller_.free_older_segments(model, version);
    }
  }
}

// Removes the registrations of gateways that no longer exist, since each registration reduces the
// share of every gateway in the common limits.
void StateSynchronizer::check_registrations() {
  const Instant now = clock_.now();
  if (!store_reachable_ || now < membership_checked_at_ + kMembershipCheckInterval) {
    return;
  }
  membership_checked_at_ = now;
  for (const std::string& name : membership_.registrations_to_remove(now)) {
    const auto& objects = replica(ObjectKind::kGateways).objects();
    const auto object = objects.find(name);
    if (object == objects.end()) {
      continue;
    }
    LogEvent("registration_removed")
        .field("name", name)
        .field("revision", to_string(object->second.revision))
        .field("silent_ms", GatewayMembership::kRemovalTimeout.ms);
    store_client_.send(platform::remove_call(settings_.store, ObjectKind::kGateways, name,
                                             object->second.revision, StoreWatcher::kCallTimeout),
                       [name](const platform::StoreAnswer& answer) {
                         // The watch reports the removal. If it failed, the next check retries it.
                         LogEvent("registration_removal_answered")
                             .field("name", name)
                             .field("status", answer.response.status);
                       });
  }
}

void StateSynchronizer::run_periodic_tasks() {
  const Instant now = clock_.now();
  pool_.remove_expired_registrations(now);
  release_retained();
  check_registrations();
  update_watch_wait();
  free_outdated_segments();
  if (!store_reachable_) {
    query_peer();
  }
  run_after(kTaskInterval, [this] { run_periodic_tasks(); });
}

StoreWatcher* StateSynchronizer::find_watcher(ObjectKind kind) const {
  const auto found = std::find_if(watchers_.begin(), watchers_.end(),
                                  [kind](const auto& watcher) { return watcher->kind() == kind; });
  return found == watchers_.end() ? nullptr : found->get();
}

}  // namespace bluebellstep
