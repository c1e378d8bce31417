// Changes from the store and from peers, applied to routing.

#include "gateway/knowledge.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"
#include "base/overloaded.h"
#include "http/socket_address.h"

namespace bluebellstep {
namespace {

using platform::ObjectKind;

constexpr ObjectKind kFollowed[] = {ObjectKind::kConfiguration, ObjectKind::kUpstreams,
                                    ObjectKind::kZonesOutOfService, ObjectKind::kTargetWeights,
                                    ObjectKind::kGateways};
// Pause between the turns of two gateways to free parts; above the pause between two polls.
constexpr Duration kFreePause{1500};
constexpr std::string_view kPeerPath = "/v1/objects?known=";

std::string_view text_of(ObjectKind kind) {
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
  }
  return {};
}

std::string registration(const GatewaySettings& settings) {
  return nlohmann::json{{"peers", to_string(settings.peers)}}.dump();
}

}  // namespace

Knowledge::Knowledge(HttpLoop& loop,
                     HttpClient& client,
                     const GatewaySettings& settings,
                     UpstreamPool& pool,
                     CacheDirectory& cache,
                     Forwarder& forwarder)
    : loop_(loop),
      client_(client),
      settings_(settings),
      pool_(pool),
      cache_(cache),
      cache_follower_(loop,
                      client,
                      cache,
                      CachePollScheduler(settings.name, settings.zone, settings.link_mbps)),
      forwarder_(forwarder),
      random_(hash64(settings.name)),
      peers_(settings.first_peers),
      roster_(settings.name) {
  for (const ObjectKind kind : kFollowed) {
    add_follower(kind);
  }
}

Knowledge::~Knowledge() = default;

void Knowledge::set_first_peers(std::vector<Endpoint> peers) {
  if (mirror(ObjectKind::kGateways).objects().empty()) {
    peers_ = std::move(peers);
  }
}

void Knowledge::add_follower(ObjectKind kind) {
  followers_.push_back(std::make_unique<StoreFollower>(
      loop_, client_, settings_.store, kind,
      StoreFollower::Listener{
          .on_changes =
              [this, kind](ObjectMirror::Changes changes) { on_changes(kind, std::move(changes)); },
          .on_contact = [this, kind](bool reachable) { on_contact(kind, reachable); },
          .may_probe = [this, kind] { return may_probe(kind); }}));
}

void Knowledge::start() {
  for (const auto& follower : followers_) {
    follower->start();
  }
  write_registration(0);
  tick();
}

void Knowledge::after(Duration delay, std::function<void()> task) {
  loop_.post_after(delay, [alive = std::weak_ptr<bool>(alive_), task = std::move(task)] {
    if (!alive.expired()) {
      task();
    }
  });
}

// While the store does not answer, one kind is enough to notice its return.
bool Knowledge::may_probe(ObjectKind kind) const {
  return store_reachable_ || kind == ObjectKind::kConfiguration;
}

void Knowledge::on_contact(ObjectKind kind, bool reachable) {
  weights_listed_ = weights_listed_ || (kind == ObjectKind::kTargetWeights && reachable &&
                                        mirror(kind).revision() > 0);
  if (reachable != store_reachable_) {
    LogEvent(reachable ? "store_regained" : "store_lost", LogEvent::Severity::kWarning)
        .field("kind", text_of(kind))
        .field("revision", mirror(kind).revision());
  }
  store_reachable_ = reachable;
  pool_.set_store_reachable(reachable, clock_.now());
}

const ObjectMirror& Knowledge::mirror(ObjectKind kind) const {
  const auto found =
      std::find_if(followers_.begin(), followers_.end(),
                   [kind](const auto& follower) { return follower->kind() == kind; });
  return (*found)->mirror();
}

void Knowledge::on_changes(ObjectKind kind, ObjectMirror::Changes changes) {
  for (const platform::ObjectChange& change : changes) {
    LogEvent("object_changed")
        .field("kind", text_of(kind))
        .field("name", change.object.name)
        .field("revision", change.object.revision)
        .field("removed", change.removed);
    if (kind == ObjectKind::kUpstreams) {
      on_upstream(change);
    } else if (kind == ObjectKind::kConfiguration && !change.removed) {
      on_config(change.object);
    } else if (kind == ObjectKind::kTargetWeights && !change.removed) {
      on_wanted_weights(change.object);
    }
  }
  if (kind == ObjectKind::kConfiguration || kind == ObjectKind::kUpstreams) {
    update_cache_sources();
  }
  if (kind == ObjectKind::kZonesOutOfService) {
    on_zones_out();
  } else if (kind == ObjectKind::kGateways) {
    on_gateways();
  } else if (kind != ObjectKind::kConfiguration && weights_changed_) {
    weights_changed_();
  }
}

void Knowledge::on_config(const platform::StoredObject& object) {
  if (object.name != platform::config_object_name()) {
    return;
  }
  auto decoded = platform::decode_config(object.content);
  if (const auto* fault = std::get_if<platform::DecodeError>(&decoded)) {
    LogEvent("config_not_understood", LogEvent::Severity::kError).field("why", fault->reason);
    return;
  }
  auto& config = std::get<ServingConfig>(decoded);
  const auto& current = forwarder_.config();
  if (current != nullptr && config.version <= current->version) {
    return;
  }
  LogEvent("config_in_force")
      .field("version", config.version)
      .field("routes", static_cast<std::uint64_t>(config.routes.size()))
      .field("accounts", static_cast<std::uint64_t>(config.accounts.size()));
  forwarder_.set_config(std::make_shared<const ServingConfig>(std::move(config)));
}

void Knowledge::on_upstream(const platform::ObjectChange& change) {
  const Instant now = clock_.now();
  if (change.removed) {
    pool_.remove(change.object.name, now);
    return;
  }
  auto decoded = platform::decode_upstream(change.object.name, change.object.content);
  if (const auto* fault = std::get_if<platform::DecodeError>(&decoded)) {
    LogEvent("upstream_not_understood", LogEvent::Severity::kWarning)
        .field("upstream", change.object.name)
        .field("why", fault->reason);
    pool_.remove(change.object.name, now);
    return;
  }
  pool_.put(std::move(std::get<UpstreamEntry>(decoded)), now);
}

void Knowledge::on_zones_out() {
  std::set<std::string, std::less<>> zones;
  for (const auto& [name, object] : mirror(ObjectKind::kZonesOutOfService).objects()) {
    zones.insert(name);
  }
  pool_.set_zones_out_of_service(std::move(zones));
}

void Knowledge::on_wanted_weights(const platform::StoredObject& object) {
  auto decoded = platform::decode_target_weights(object.content);
  if (const auto* fault = std::get_if<platform::DecodeError>(&decoded)) {
    LogEvent("weights_not_understood", LogEvent::Severity::kWarning).field("why", fault->reason);
    return;
  }
  // Objects of the first list were written at an unknown time before.
  const bool named_before = !weights_listed_;
  pool_.set_target_weights(std::get<WantedWeights>(decoded), named_before, clock_.now());
}

void Knowledge::on_gateways() {
  std::vector<Endpoint> peers;
  const auto& objects = mirror(ObjectKind::kGateways).objects();
  for (const auto& [name, object] : objects) {
    const auto json = nlohmann::json::parse(object.content, nullptr, false);
    const auto endpoint = json.is_object()
                              ? platform::decode_endpoint(json.value("peers", std::string()))
                              : std::nullopt;
    if (endpoint && *endpoint != settings_.peers) {
      peers.push_back(*endpoint);
    }
  }
  if (!peers.empty()) {
    peers_ = std::move(peers);
    if (peers_changed_) {
      peers_changed_(peers_);
    }
  }
  pool_.set_gateway_count(objects.size());
  std::set<std::string, std::less<>> names;
  for (const auto& [name, object] : objects) {
    names.insert(name);
  }
  roster_.set_registered(names, clock_.now());
  if (roster_.own_registration_lost()) {
    LogEvent("registration_lost", LogEvent::Severity::kWarning).field("name", settings_.name);
    write_registration(0);
  }
}

void Knowledge::update_cache_sources() {
  const auto& config = forwarder_.config();
  if (config == nullptr) {
    return;
  }
  double bytes_per_token = 0;  // Of the largest model, so that transfers are not underrated.
  for (const auto& [name, service] : config->services) {
    bytes_per_token =
        std::max(bytes_per_token, service.engine ? service.engine->kv_bytes_per_token : 0);
  }
  const auto tokens_per_ms = [bytes_per_token](double link_bytes_per_ms) {
    return link_bytes_per_ms > 0 && bytes_per_token > 0 ? link_bytes_per_ms / bytes_per_token
                                                        : CacheNode{}.tokens_per_ms;
  };
  std::vector<CacheNode> sources;
  pool_.visit_entries([&](const UpstreamEntry& entry) {
    const ServiceInfo* service = config->find_service(entry.service);
    if (service != nullptr && service->engine) {
      sources.push_back({.name = entry.id,
                         .endpoint = entry.endpoint,
                         .zone = entry.zone,
                         .started_ms = entry.started_ms,
                         .tokens_per_ms = tokens_per_ms(service->engine->link_bytes_per_ms)});
    }
  });
  for (const auto& [name, service] : config->services) {
    if (service.store) {
      sources.push_back({.name = name,
                         .endpoint = service.store->endpoint,
                         .zone = service.store->zone,
                         .is_store = true,
                         .capacity_tokens = service.store->capacity_tokens,
                         .start_ms = service.store->start_ms,
                         .tokens_per_ms = tokens_per_ms(service.store->link_bytes_per_ms)});
    }
  }
  cache_.set_nodes(std::move(sources));
  cache_follower_.update_nodes();
}

void Knowledge::write_registration(std::uint64_t revision) {
  HttpCall call =
      platform::write_call(settings_.store, ObjectKind::kGateways, settings_.name, revision,
                           registration(settings_), StoreFollower::kCallTimeout);
  client_.send(
      std::move(call), [this, alive = std::weak_ptr<bool>(alive_)](HttpClient::Response response) {
        if (alive.expired()) {
          return;
        }
        const auto result = platform::decode_write(response);
        std::visit(Overloaded{[&](ObjectVersion version) {
                                LogEvent("gateway_registered").field("revision", version.value);
                              },
                              [&](const VersionConflict& conflict) {
                                // Left by an earlier start, or by a write whose answer was lost.
                                if (conflict.current.value != registration(settings_)) {
                                  write_registration(conflict.current.version.value);
                                }
                              },
                              [&](const PlatformUnavailable&) {
                                after(kRegisterPause, [this] { write_registration(0); });
                              }},
                   result);
      });
}

// Each gateway frees once for a version, in turn: the first in the list of gateways begins, and the
// later ones find nothing left unless it was down.
void Knowledge::free_older_parts() {
  const Instant now = clock_.now();
  pool_.update_rollouts(now);
  const auto& gateways = mirror(ObjectKind::kGateways).objects();
  const auto turn = std::distance(gateways.begin(), gateways.find(settings_.name));
  for (const auto& [model, version] : pool_.settled_versions(now - kFreePause * turn)) {
    if (freed_before_[model] < version) {
      freed_before_[model] = version;
      cache_follower_.free_older_segments(model, version);
    }
  }
}

// Removes the registrations of gateways that are gone, so that shares of common bounds grow again.
void Knowledge::check_registrations() {
  const Instant now = clock_.now();
  if (!store_reachable_ || now < registrations_checked_ + kRosterPause) {
    return;
  }
  registrations_checked_ = now;
  for (const std::string& name : roster_.gone(now)) {
    const auto& objects = mirror(ObjectKind::kGateways).objects();
    const auto object = objects.find(name);
    if (object == objects.end()) {
      continue;
    }
    LogEvent("registration_removed")
        .field("name", name)
        .field("revision", object->second.revision)
        .field("silent_ms", GatewayRoster::kGoneAfter.ms);
    client_.send(platform::remove_call(settings_.store, ObjectKind::kGateways, name,
                                       object->second.revision, StoreFollower::kCallTimeout),
                 [name](const HttpClient::Response& response) {
                   // The watch tells what became of it; what remains is removed next time.
                   LogEvent("registration_removal_answered")
                       .field("name", name)
                       .field("status", response.status);
                 });
  }
}

void Knowledge::tick() {
  pool_.remove_expired_entries(clock_.now());
  check_registrations();
  free_older_parts();
  if (!store_reachable_ && !asking_peer_) {
    ask_peer();
  }
  after(kPeerPause, [this] { tick(); });
}

// The path of a question: what is known of each kind, so that the answer holds only what is newer.
std::string Knowledge::peer_path() const {
  std::string path(kPeerPath);
  for (const auto& follower : followers_) {
    path.append(std::to_string(follower->mirror().revision())).append(",");
  }
  return path;
}

void Knowledge::ask_peer() {
  if (peers_.empty()) {
    return;
  }
  HttpCall call{.endpoint = peers_[random_.below(peers_.size())], .path = peer_path()};
  call.connect_timeout = kPeerTimeout;
  call.idle_timeout = kPeerTimeout;
  asking_peer_ = true;
  client_.send(std::move(call),
               [this, alive = std::weak_ptr<bool>(alive_)](HttpClient::Response response) {
                 if (!alive.expired()) {
                   asking_peer_ = false;
                   take_peer_answer(response);
                 }
               });
}

std::string Knowledge::answer_peer(std::string_view query) const {
  const std::size_t start = query.find('=');
  query = start == std::string_view::npos ? std::string_view() : query.substr(start + 1);
  nlohmann::json kinds = nlohmann::json::array();
  for (const auto& follower : followers_) {
    const std::size_t comma = query.find(',');
    const std::uint64_t known = parse_decimal(query.substr(0, comma)).value_or(0);
    query = comma == std::string_view::npos ? std::string_view() : query.substr(comma + 1);
    const ObjectMirror& mirror = follower->mirror();
    if (mirror.revision() <= known) {
      continue;
    }
    nlohmann::json objects = nlohmann::json::array();
    for (const auto& [name, object] : mirror.objects()) {
      objects.push_back({name, object.revision, object.content});
    }
    kinds.push_back({{"kind", static_cast<int>(follower->kind())},
                     {"revision", mirror.revision()},
                     {"objects", std::move(objects)}});
  }
  return nlohmann::json{{"kinds", std::move(kinds)}}.dump();
}

void Knowledge::take_peer_answer(const HttpClient::Response& response) {
  const auto json = response.status == 200 ? nlohmann::json::parse(response.body, nullptr, false)
                                           : nlohmann::json();
  if (!json.is_object()) {
    return;  // The peer is down or starts; another one is asked next.
  }
  try {
    for (const auto& item : json.at("kinds")) {
      const auto kind = static_cast<ObjectKind>(item.at("kind").get<int>());
      std::vector<platform::StoredObject> objects;
      for (const auto& object : item.at("objects")) {
        objects.push_back({.name = object.at(0).get<std::string>(),
                           .revision = object.at(1).get<std::uint64_t>(),
                           .content = object.at(2).get<std::string>()});
      }
      const auto follower =
          std::find_if(followers_.begin(), followers_.end(),
                       [kind](const auto& candidate) { return candidate->kind() == kind; });
      if (follower == followers_.end()) {
        continue;  // A kind that only a newer version follows.
      }
      const auto revision = item.at("revision").get<std::uint64_t>();
      LogEvent("peer_knows_newer").field("kind", text_of(kind)).field("revision", revision);
      (*follower)->adopt(std::move(objects), revision);
    }
  } catch (const nlohmann::json::exception& fault) {
    LogEvent("peer_answer_not_understood", LogEvent::Severity::kWarning).field("why", fault.what());
  }
}

}  // namespace bluebellstep
