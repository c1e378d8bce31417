// What a gateway tells its peers of the store's objects, and how it follows one of them.

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_text.h"
#include "base/log_event.h"
#include "gateway/state_synchronizer.h"
#include "http/socket_address.h"

namespace bluebellstep {
namespace {

using platform::ObjectKind;

constexpr std::string_view kPeerPath = "/v1/objects?known=";

std::optional<ChangesAnswer> decode_reader_answer(const HttpClient::Response& response) {
  const bool complete =
      response.status == 200 && std::holds_alternative<HttpClient::Complete>(response.outcome);
  return complete ? decode_changes_answer(response.body) : std::nullopt;
}

std::size_t content_bytes(const ChangesAnswer& answer) {
  std::size_t bytes = 0;
  for (const KindChanges& kind : answer.kinds) {
    for (const platform::ObjectChange& change : kind.changes) {
      bytes += change.object.content.size();
    }
  }
  return bytes;
}

}  // namespace

KnownRevisions StateSynchronizer::known_revisions() const {
  KnownRevisions known;
  for (const auto& watcher : watchers_) {
    known.push_back(watcher->replica().revision());
  }
  return known;
}

bool StateSynchronizer::in_newest_era() const {
  return std::all_of(watchers_.begin(), watchers_.end(), [this](const auto& watcher) {
    return watcher->replica().revision().era == store_client_.era().number();
  });
}

void StateSynchronizer::record_heard(const KnownRevisions& known) {
  for (const StoreRevision& revision : known) {
    store_client_.record_heard(revision.era);
  }
}

std::optional<PassedView> StateSynchronizer::valid_view() const {
  const Instant now = clock_.now();
  const auto view = pool_.cold_limit().valid_view(now);
  return view ? std::optional(PassedView{.since_ago = now - view->since,
                                         .as_of_ago = now - view->as_of,
                                         .after_gap = view->after_gap})
              : std::nullopt;
}

void StateSynchronizer::record_passed_view(const std::optional<PassedView>& view,
                                           Instant answered_at,
                                           Duration validity,
                                           const std::vector<ReturnedZone>& returned_zones) {
  const Instant now = clock_.now();
  for (const ReturnedZone& zone : returned_zones) {
    pool_.cold_limit().record_returned_zone(zone.zone, now - zone.ago);
  }
  if (view) {
    pool_.cold_limit().record_view({.since = now - view->since_ago,
                                    .as_of = answered_at - view->as_of_ago,
                                    .after_gap = view->after_gap},
                                   answered_at + validity, now);
  }
}

// The store's revision also increases by changes of other kinds, which are no news.
bool StateSynchronizer::has_changes_since(const KnownRevisions& known) const {
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    const ObjectReplica& replica = watchers_[i]->replica();
    const StoreRevision known_revision = i < known.size() ? known[i] : StoreRevision{};
    if (replica.revision() > known_revision && replica.has_changes_since(known_revision)) {
      return true;
    }
  }
  return false;
}

Instant StateSynchronizer::current_until() const {
  return store_answered_at_ + (following_ ? kMaxFollowedAnswerAge : kMaxAnswerAge);
}

ChangesAnswer StateSynchronizer::changes_since(const KnownRevisions& known) const {
  const Instant now = clock_.now();
  ChangesAnswer answer{.current = store_reachable_ && now < current_until() && in_newest_era(),
                       .age = now - store_answered_at_,
                       .era = store_client_.era().number(),
                       .view = valid_view(),
                       .returned_zones = pool_.cold_limit().returned_zones(now),
                       .beliefs = beliefs_on_unused_upstreams(),
                       .left_upstreams = pool_.left_upstreams(now)};
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    const ObjectReplica& replica = watchers_[i]->replica();
    const StoreRevision known_revision = i < known.size() ? known[i] : StoreRevision{};
    if (replica.revision() <= known_revision) {
      continue;
    }
    auto changes = replica.changes_since(known_revision);
    if (!changes) {
      // Complete lists for all followers would take seconds after a restart of all gateways. The
      // follower's own watches reach a known revision before it asks again.
      return {.current = false, .age = answer.age, .era = answer.era};
    }
    answer.kinds.push_back({.kind = watchers_[i]->kind(),
                            .revision = replica.revision(),
                            .changes = std::move(*changes),
                            .gaps = replica.gaps_since(known_revision)});
  }
  return answer;
}

void StateSynchronizer::on_peer_request(std::string_view path,
                                        std::function<void(std::string)> respond) {
  if (!path.starts_with(kChangesPath)) {
    respond(answer_peer_query(path));
    return;
  }
  const Instant now = clock_.now();
  polled_at_ = now;
  update_watch_wait();
  ChangesQuery query = decode_changes_query(path);
  record_heard(query.known);
  // The answer must tell in time that the objects are outdated.
  query.wait = std::min(query.wait, current_until() - now);
  const Duration wait = query.wait + Duration{1};
  const FollowerPolls::PollId held = follower_polls_.add(
      std::move(query), [this, respond = std::move(respond)](const KnownRevisions& known) {
        ChangesAnswer answer = changes_since(known);
        if (content_bytes(answer) < StoreWatcher::kMinBackgroundBytes) {
          respond(encode_changes_answer(answer));
          return;
        }
        worker_.run([answer = std::move(answer)] { return encode_changes_answer(answer); },
                    respond);
      });
  if (held != 0) {
    run_after(wait, [this, held] { follower_polls_.expire(held); });
  }
}

void StateSynchronizer::update_watch_wait() {
  const bool followed = polled_at_ && clock_.now() < *polled_at_ + kFollowerTimeout;
  find_watcher(ObjectKind::kConfiguration)
      ->set_watch_wait(followed ? kReaderWatchWait : StoreWatcher::kWatchWait);
}

void StateSynchronizer::set_following(bool following, std::string_view reason) {
  if (following == following_) {
    return;
  }
  following_ = following;
  LogEvent("store_source_changed")
      .field("following", following)
      .field("why", reason)
      .field("revision", to_string(replica(ObjectKind::kUpstreams).revision()));
  for (const auto& watcher : watchers_) {
    if (following) {
      watcher->pause();
    } else {
      watcher->resume();
    }
  }
}

void StateSynchronizer::follow_reader() {
  const KnownRevisions known = known_revisions();
  const bool all_listed =
      std::find(known.begin(), known.end(), StoreRevision{}) == known.end() && in_newest_era();
  const auto reader = all_listed ? source_.reader(clock_.now()) : std::nullopt;
  if (!reader) {
    set_following(false, "no_reader");
    run_after(kReaderCheckInterval, [this] { follow_reader(); });
    return;
  }
  const Duration wait = following_ ? kFollowWait : Duration{0};
  HttpCall call{.endpoint = *reader, .path = encode_changes_query({.known = known, .wait = wait})};
  call.connect_timeout = kFollowTimeout;
  call.idle_timeout = wait + kFollowTimeout;
  const Instant due = clock_.now() + wait;
  client_.send(std::move(call), [this, reader = *reader, due, alive = std::weak_ptr<bool>(alive_)](
                                    HttpClient::Response response) {
    if (alive.expired()) {
      return;
    }
    if (response.body.size() < StoreWatcher::kMinBackgroundBytes) {
      on_reader_answer(reader, due, decode_reader_answer(response));
      return;
    }
    worker_.run([response = std::move(response)] { return decode_reader_answer(response); },
                [this, reader, due](std::optional<ChangesAnswer> answer) {
                  on_reader_answer(reader, due, std::move(answer));
                });
  });
}

void StateSynchronizer::on_reader_answer(const Endpoint& reader,
                                         Instant due,
                                         std::optional<ChangesAnswer> answer) {
  if (answer) {
    store_client_.record_heard(answer->era);
  }
  if (!answer || !answer->current || !in_newest_era()) {
    source_.record_failure(reader, clock_.now());
    pool_.cold_limit().record_view_lost(clock_.now());
    set_following(false, answer ? "reader_lost_the_store" : "reader_did_not_answer");
    follower_polls_.answer_all();
    // The store may have become unreachable meanwhile, which the watches notice later.
    query_peer();
    run_after(kReaderCheckInterval, [this] { follow_reader(); });
    return;
  }
  apply_changes(std::move(*answer), due);
  set_following(true, to_string(reader));
  run_after(kFollowDelay, [this] { follow_reader(); });
}

void StateSynchronizer::apply_changes(ChangesAnswer answer, Instant due) {
  const Instant now = clock_.now();
  pool_.registration_grace().record_store_answer(now - answer.age, now);
  store_answered_at_ = std::max(store_answered_at_, now - answer.age);
  if (!store_reachable_) {
    LogEvent("store_regained", LogEvent::Severity::kWarning).field("kind", "reader");
    store_reachable_ = true;
  }
  for (const auto& watcher : watchers_) {
    Instant& current_at = current_at_[watcher->kind()];
    current_at = std::max(current_at, now - answer.age);
  }
  left_at_peer_ = std::move(answer.left_upstreams);
  for (KindChanges& kind : answer.kinds) {
    StoreWatcher* watcher = find_watcher(kind.kind);
    if (watcher == nullptr) {
      continue;  // This version does not watch the kind.
    }
    watcher->apply_changes({.changes = std::move(kind.changes), .store_revision = kind.revision},
                           kind.gaps);
  }
  left_at_peer_.clear();
  adopt_beliefs(answer.beliefs);
  record_passed_view(answer.view, std::min(now, due), ColdLimit::kPassedViewValidity,
                     answer.returned_zones);
}

// Returns the path of a query to a peer. It lists the revision known of each kind, in the order of
// `kWatchedKinds`, so that the answer contains only newer objects.
std::string StateSynchronizer::peer_query_path() const {
  return std::string(kPeerPath).append(encode_known_revisions(known_revisions()));
}

void StateSynchronizer::query_peer() {
  const auto peer = peer_query_pending_ ? std::nullopt : peer_queries_.next();
  if (!peer) {
    return;
  }
  HttpCall call{.endpoint = *peer, .path = peer_query_path()};
  call.connect_timeout = kPeerQueryTimeout;
  call.idle_timeout = kPeerQueryTimeout;
  peer_query_pending_ = true;
  client_.send(std::move(call),
               [this, peer = *peer, asked_at = clock_.now(),
                alive = std::weak_ptr<bool>(alive_)](const HttpClient::Response& response) {
                 if (alive.expired()) {
                   return;
                 }
                 const std::optional<Duration> store_age = apply_peer_answer(response, asked_at);
                 const bool informed = store_age && *store_age <= kMaxAnswerAge;
                 run_after(peer_queries_.record_answer(peer, informed), [this] {
                   peer_query_pending_ = false;
                   if (!store_reachable_) {
                     query_peer();
                   }
                 });
               });
}

std::string StateSynchronizer::answer_peer_query(std::string_view query) {
  const std::size_t start = query.find('=');
  const KnownRevisions known = start == std::string_view::npos
                                   ? KnownRevisions()
                                   : decode_known_revisions(query.substr(start + 1));
  record_heard(known);
  nlohmann::json kinds = nlohmann::json::array();
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    const auto& watcher = watchers_[i];
    const ObjectReplica& replica = watcher->replica();
    if (replica.revision() <= (i < known.size() ? known[i] : StoreRevision{})) {
      continue;
    }
    nlohmann::json objects = nlohmann::json::array();
    for (const auto& [name, object] : replica.objects()) {
      objects.push_back({name, encode_revision(object.revision), object.content});
    }
    kinds.push_back({{"kind", static_cast<int>(watcher->kind())},
                     {"revision", encode_revision(replica.revision())},
                     {"objects", std::move(objects)}});
  }
  nlohmann::json answer{
      {"kinds", std::move(kinds)},
      {"era", store_client_.era().number()},
      {"returned_zones", encode_returned_zones(pool_.cold_limit().returned_zones(clock_.now()))}};
  if (const auto view = valid_view()) {
    answer["view"] = encode_passed_view(*view);
  }
  if (const auto retained = beliefs(); !retained.empty()) {
    answer["beliefs"] = encode_beliefs(retained);
  }
  if (const auto left = pool_.left_upstreams(clock_.now()); !left.empty()) {
    answer["left"] = left;
  }
  if (encode_version_table_) {
    answer["version_table"] = encode_version_table_();
  }
  if (store_answered_at_ > Instant{}) {
    answer["store_age_ms"] = (clock_.now() - store_answered_at_).ms;
  }
  return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Duration> StateSynchronizer::apply_peer_answer(const HttpClient::Response& response,
                                                             Instant asked_at) {
  std::optional<Duration> store_age;
  const auto json = response.status == 200 ? parse_json(response.body) : nlohmann::json();
  if (!json.is_object()) {
    return store_age;  // The peer is down or starting.
  }
  try {
    store_client_.record_heard(json.value("era", std::uint64_t{0}));
    if (const auto age = json.find("store_age_ms"); age != json.end()) {
      // The store works if it answers the peer, so that a registration that is gone did not expire.
      const Instant now = clock_.now();
      store_age = Duration{age->get<std::int64_t>()};
      pool_.registration_grace().record_store_answer(now - *store_age, now);
    }
    if (const auto table = json.find("version_table");
        table != json.end() && apply_version_table_) {
      apply_version_table_(table->get<std::string>());
    }
    left_at_peer_ = json.value("left", std::vector<std::string>());
    for (const auto& item : json.at("kinds")) {
      const auto kind = static_cast<ObjectKind>(item.at("kind").get<int>());
      std::vector<platform::StoredObject> objects;
      for (const auto& object : item.at("objects")) {
        objects.push_back({.name = object.at(0).get<std::string>(),
                           .revision = decode_revision(object.at(1)),
                           .content = object.at(2).get<std::string>()});
      }
      StoreWatcher* watcher = find_watcher(kind);
      if (watcher == nullptr) {
        continue;  // This version does not watch the kind.
      }
      const StoreRevision revision = decode_revision(item.at("revision"));
      LogEvent("peer_knows_newer")
          .field("kind", name_of(kind))
          .field("revision", to_string(revision));
      watcher->apply_snapshot(std::move(objects), revision);
    }
    left_at_peer_.clear();
    if (const auto beliefs = json.find("beliefs"); beliefs != json.end()) {
      adopt_beliefs(decode_beliefs(*beliefs));
    }
    apply_config();
    const auto passed = json.find("view");
    const auto view =
        passed == json.end() ? std::nullopt : std::optional(decode_passed_view(*passed));
    const auto zones = json.find("returned_zones");
    record_passed_view(
        view, asked_at, view ? ColdLimit::kViewValidity - view->as_of_ago : Duration{0},
        zones == json.end() ? std::vector<ReturnedZone>() : decode_returned_zones(*zones));
  } catch (const nlohmann::json::exception& fault) {
    left_at_peer_.clear();
    LogEvent("peer_answer_not_understood", LogEvent::Severity::kWarning).field("why", fault.what());
    return std::nullopt;
  }
  return store_age;
}

}  // namespace bluebellstep
