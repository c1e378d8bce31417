// Keeps the bundle and the zones up to date from the platform and from peers.

#include "process/process_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

constexpr std::string_view kBundleKey = "bundle/current";
constexpr Duration kTickInterval = {50};
// Maximum age of the last heartbeat of a peer that counts as connected.
constexpr Duration kMaxHeartbeatAge = {2000};

// Sidecars of plain services may own orders. The rollout of an order table requires a report of
// each owner that is at most 10 s old, so they report regularly. All other processes only report
// changes, to limit writes to the platform.
constexpr Duration kStatusInterval = {4000};
constexpr Duration kStatusRetryInterval = {1000};

// Returns an age in milliseconds as sent in heartbeats; -1 for nothing.
std::int64_t to_wire_age_ms(std::optional<Duration> age) {
  return age.has_value() ? age->ms : -1;
}

ZoneNotice read_notice(wire::ZoneNotice::Reader notice) {
  const auto signature = notice.getSignature().asChars();
  return {notice.getZone().cStr(), notice.getInService(), notice.getSerial(),
          notice.getSigner().cStr(), std::string(signature.begin(), signature.end())};
}

void write_notice(wire::ZoneNotice::Builder out, const ZoneNotice& notice) {
  out.setZone(notice.zone);
  out.setInService(notice.in_service);
  out.setSerial(notice.serial);
  out.setSigner(notice.signer);
  out.setSignature(kj::arrayPtr(reinterpret_cast<const kj::byte*>(notice.signature.data()),
                                notice.signature.size()));
}

}  // namespace

ProcessState::ProcessState(RpcLoop& loop,
                           PlatformClient& platform,
                           const ProcessSettings& settings,
                           ProcessRole role,
                           std::uint64_t incarnation,
                           Listener listener)
    : loop_(loop),
      platform_(platform),
      settings_(settings),
      role_(role),
      incarnation_(incarnation),
      listener_(std::move(listener)),
      tracker_(BundleSigner(settings.operator_keys), settings.name),
      zones_(settings.operator_keys),
      election_(settings.name,
                role == ProcessRole::kEntry,
                combine_hashes(hash64(settings.name), incarnation)),
      random_(incarnation),
      self_(std::make_shared<ProcessState*>(this)) {}

ProcessState::~ProcessState() {
  *self_ = nullptr;
}

void ProcessState::start() {
  tick_task_ = loop_.repeat_every(kTickInterval, [this] { tick(); });
}

void ProcessState::tick() {
  const Instant now = clock_.now();
  switch (election_.next_call(now, tracker_.confirmed_age(now))) {
    case WatcherElection::Call::kRead:
      read_bundle();
      break;
    case WatcherElection::Call::kWatch:
      watch_bundle();
      break;
    case WatcherElection::Call::kNone:
      break;
  }
  fetch_from_peer();
  report_status();
}

void ProcessState::read_bundle() {
  platform_.read(kBundleKey, [this, self = self_,
                              started_at = clock_.now()](PlatformClient::ReadResult result) {
    loop_.post([self, result = std::move(result), started_at]() mutable {
      if (*self != nullptr) {
        (*self)->handle_read_result(std::move(result), started_at, /*from_watch=*/false);
      }
    });
  });
}

void ProcessState::watch_bundle() {
  platform_.watch(
      kBundleKey, bundle_version_, WatcherElection::kWatchWait,
      [this, self = self_, started_at = clock_.now()](PlatformClient::ReadResult result) {
        loop_.post([self, result = std::move(result), started_at]() mutable {
          if (*self != nullptr) {
            (*self)->handle_read_result(std::move(result), started_at, /*from_watch=*/true);
          }
        });
      });
}

void ProcessState::handle_read_result(PlatformClient::ReadResult result,
                                      Instant started_at,
                                      bool from_watch) {
  const Instant now = clock_.now();
  if (const auto* failure = std::get_if<PlatformUnavailable>(&result)) {
    election_.on_call_finished(/*answered=*/false, now);
    LogEvent("platform_read_failed", LogEvent::Severity::kWarning).field("detail", failure->detail);
    return;
  }
  election_.on_call_finished(/*answered=*/true, now);
  const auto& object = std::get<std::optional<PlatformObject>>(result);
  if (object.has_value()) {
    bundle_version_ = object->version;
    handle_offer(tracker_.on_platform_document(object->version, object->value, started_at),
                 "platform");
    return;
  }
  const bool waited_fully = now - started_at >= WatcherElection::kWatchWait;
  if (from_watch && waited_fully) {
    tracker_.on_watch_unchanged(started_at + WatcherElection::kWatchWait);
  }
}

void ProcessState::fetch_from_peer() {
  const Instant now = clock_.now();
  const auto name = tracker_.peer_to_fetch_from(now);
  if (!name.has_value()) {
    return;
  }
  const auto peer = peers_.find(*name);
  tracker_.on_fetch_started(*name, now);
  if (peer == peers_.end()) {
    tracker_.on_fetch_failed(*name, now);
    return;
  }
  loop_.add_background(peer->second.client.fetchBundleRequest().send().then(
      [self = self_, name = *name](capnp::Response<wire::Peer::FetchBundleResults>&& response) {
        if (*self == nullptr) {
          return;
        }
        const auto document = response.getDocument().asChars();
        const std::string_view text(document.begin(), document.size());
        (*self)->handle_offer(
            (*self)->tracker_.on_fetch_finished(name, text, (*self)->clock_.now()), name);
      },
      [self = self_, name = *name](kj::Exception&&) {
        if (*self != nullptr) {
          (*self)->tracker_.on_fetch_failed(name, (*self)->clock_.now());
        }
      }));
}

void ProcessState::handle_offer(BundleOfferResult offer, std::string_view source) {
  switch (offer) {
    case BundleOfferResult::kAdopted:
      LogEvent("bundle_adopted").field("generation", tracker_.generation()).field("source", source);
      apply_adopted_bundle();
      return;
    case BundleOfferResult::kInvalid:
      LogEvent("bundle_refused", LogEvent::Severity::kWarning)
          .field("source", source)
          .field("detail", tracker_.last_error());
      return;
    case BundleOfferResult::kNotNewer:
      return;
  }
}

void ProcessState::apply_adopted_bundle() {
  const Bundle& bundle = tracker_.current()->bundle;
  zones_.apply_bundle(bundle, clock_.now());
  // Random delay, so that the processes that adopt a bundle do not write to the platform at the
  // same time.
  next_status_write_at_ = clock_.now() + Duration{static_cast<std::int64_t>(random_.below(
                                             static_cast<std::uint64_t>(kStatusInterval.ms)))};
  listener_.on_bundle_changed(bundle);
  listener_.on_zones_changed();
  listener_.on_peer_update_needed();
}

void ProcessState::fill_state(wire::PeerState::Builder state) const {
  const Instant now = clock_.now();
  state.setName(settings_.name);
  state.setIncarnation(incarnation_);
  state.setZone(settings_.zone);
  state.setGeneration(tracker_.generation());
  state.setConfirmedAgeMs(to_wire_age_ms(tracker_.confirmed_age(now)));
  const auto notices = zones_.notices();
  auto out = state.initZoneNotices(static_cast<unsigned>(notices.size()));
  for (unsigned i = 0; i < out.size(); ++i) {
    write_notice(out[i], notices[i]);
  }
  if (role_ == ProcessRole::kEntry) {
    fill_entry_peers(state, now);
  }
}

void ProcessState::fill_entry_peers(wire::PeerState::Builder state, Instant now) const {
  std::vector<const std::string*> recent_entries;
  for (const auto& [name, peer] : peers_) {
    if (peer.is_entry && now - peer.last_heartbeat_at <= kMaxHeartbeatAge) {
      recent_entries.push_back(&name);
    }
  }
  auto entries = state.initEntryPeers(static_cast<unsigned>(recent_entries.size()));
  for (unsigned i = 0; i < entries.size(); ++i) {
    entries.set(i, *recent_entries[i]);
  }
}

void ProcessState::fill_bundle(wire::Peer::FetchBundleResults::Builder results) const {
  const std::string& document = tracker_.document();
  results.setGeneration(tracker_.generation());
  results.setDocument(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(document.data()), document.size()));
}

void ProcessState::apply_state(wire::PeerState::Reader state, wire::Peer::Client peer) {
  const Instant now = clock_.now();
  const std::string name = state.getName().cStr();
  if (name.empty() || name == settings_.name) {
    return;
  }
  // Heartbeats of sidecars always contain an upstream hint; those of entry instances never do.
  const bool is_entry = !state.hasHint();
  peers_.insert_or_assign(name, Peer{kj::mv(peer), now, is_entry});
  const auto age = state.getConfirmedAgeMs();
  tracker_.on_peer_heartbeat(name, state.getGeneration(),
                             age < 0 ? std::nullopt : std::optional(Duration{age}), now);
  if (is_entry) {
    const auto peers_of_sender = state.getEntryPeers();
    bool lists_this_process = false;
    for (const capnp::Text::Reader entry : peers_of_sender) {
      lists_this_process = lists_this_process || entry == settings_.name.c_str();
    }
    election_.on_entry_heartbeat(name, lists_this_process, now);
  }
  bool zones_changed = false;
  for (const auto notice : state.getZoneNotices()) {
    zones_changed |= zones_.apply_notice(read_notice(notice), now) == ZoneNoticeResult::kApplied;
  }
  if (zones_changed) {
    LogEvent("zone_notice_applied").field("source", name);
    listener_.on_zones_changed();
    listener_.on_peer_update_needed();
  }
  fetch_from_peer();
}

std::vector<wire::Peer::Client> ProcessState::random_peers(std::size_t count) {
  const Instant now = clock_.now();
  std::vector<wire::Peer::Client> chosen;
  std::size_t fresh_peers = 0;
  for (auto& [name, peer] : peers_) {
    if (now - peer.last_heartbeat_at > kMaxHeartbeatAge) {
      continue;
    }
    // Reservoir sampling: all peers so far are chosen with the same probability.
    ++fresh_peers;
    if (chosen.size() < count) {
      chosen.emplace_back(peer.client);
    } else if (const auto replaced_index = random_.below(fresh_peers); replaced_index < count) {
      chosen[replaced_index] = peer.client;
    }
  }
  return chosen;
}

void ProcessState::remove_peer(std::string_view name) {
  if (const auto found = peers_.find(name); found != peers_.end()) {
    peers_.erase(found);
  }
}

ZoneNoticeAnswer ProcessState::apply_zone_notice(std::string_view body) {
  ZoneNoticeAnswer answer = answer_zone_notice(zones_, body, clock_.now());
  if (answer.applied) {
    LogEvent("zone_notice_applied").field("source", "operator");
    listener_.on_zones_changed();
    listener_.on_peer_update_needed();
  }
  return answer;
}

void ProcessState::report_status() {
  const Instant now = clock_.now();
  const bool reports_regularly = role_ == ProcessRole::kServiceSidecar && tracker_.ready();
  const bool changed = tracker_.generation() != reported_generation_;
  if (status_write_in_flight_ || now < next_status_write_at_ || !(changed || reports_regularly)) {
    return;
  }
  status_write_in_flight_ = true;
  write_status(status_version_);
}

void ProcessState::write_status(StoreRevision expected) {
  const std::uint64_t generation = tracker_.generation();
  const nlohmann::json value = {{"generation", generation}, {"at_ms", clock_.wall().ms}};
  platform_.write("status/" + settings_.name, expected, value.dump(),
                  [this, self = self_, generation](PlatformClient::WriteResult result) {
                    loop_.post([self, result = std::move(result), generation] {
                      if (*self == nullptr) {
                        return;
                      }
                      ProcessState& state = **self;
                      state.status_write_in_flight_ = false;
                      state.next_status_write_at_ = state.clock_.now() + kStatusRetryInterval;
                      std::visit(Overloaded{[&](StoreRevision version) {
                                              state.status_version_ = version;
                                              state.reported_generation_ = generation;
                                              state.next_status_write_at_ =
                                                  state.clock_.now() + kStatusInterval;
                                            },
                                            [&](const VersionConflict& conflict) {
                                              state.status_version_ = conflict.current.version;
                                            },
                                            [](const PlatformUnavailable&) {}},
                                 result);
                    });
                  });
}

std::string ProcessState::status_document(std::string_view role_status) const {
  const Instant now = clock_.now();
  nlohmann::json document = {{"name", settings_.name},
                             {"zone", settings_.zone},
                             {"generation", tracker_.generation()},
                             {"confirmed_age_ms", to_wire_age_ms(tracker_.confirmed_age(now))},
                             {"peers", nlohmann::json::array()},
                             {"zones", nlohmann::json::object()},
                             {"role", nlohmann::json::parse(role_status)}};
  for (const auto& [name, peer] : peers_) {
    document["peers"].push_back(
        {{"name", name}, {"heard_ms_ago", (now - peer.last_heartbeat_at).ms}});
  }
  if (tracker_.ready()) {
    for (const BundleZone& zone : tracker_.current()->bundle.zones) {
      document["zones"][zone.name] = zones_.in_service(zone.name) ? "in" : "out";
    }
  }
  return document.dump(2) + "\n";
}

}  // namespace bluebellstep
