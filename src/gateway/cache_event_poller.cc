// Polls for cache events and requests to free segments.

#include "gateway/cache_event_poller.h"

#include <utility>

#include "base/log_event.h"
#include "platform/cache_calls.h"

namespace bluebellstep {

CacheEventPoller::CacheEventPoller(HttpLoop& loop,
                                   HttpClient& client,
                                   CacheDirectory& directory,
                                   CachePollScheduler poll_scheduler)
    : loop_(loop),
      client_(client),
      directory_(directory),
      poll_scheduler_(std::move(poll_scheduler)) {}

CacheEventPoller::~CacheEventPoller() = default;

void CacheEventPoller::update_nodes() {
  const std::vector<CacheNode> nodes = directory_.nodes();
  poll_scheduler_.set_nodes(nodes);
  nodes_.clear();
  std::erase_if(relayed_at_, [&](const auto& item) { return !directory_.epoch(item.first); });
  for (const CacheNode& node : nodes) {
    nodes_.emplace(node.name, node);
  }
  start_first_polls();
}

void CacheEventPoller::start_first_polls() {
  while (const auto name = poll_scheduler_.start_next_poll()) {
    poll(*name);
  }
}

void CacheEventPoller::free_older_segments(std::string_view model, std::uint64_t version) {
  for (const auto& [name, node] : nodes_) {
    const auto segments = node.is_store ? directory_.segments_before_version(name, model, version)
                                        : std::vector<CacheDirectory::StoredSegment>{};
    const auto epoch = directory_.epoch(name);
    if (segments.empty() || !epoch) {
      continue;
    }
    LogEvent("cache_parts_freed")
        .field("store", name)
        .field("parts", static_cast<std::uint64_t>(segments.size()))
        .field("before_version", version);
    client_.send(
        platform::free_segments_call(node.endpoint, *epoch, segments, kCallTimeout),
        [name = name](const HttpClient::Response& response) {
          // The store reports freed segments as events. Others stay until the next call.
          LogEvent("cache_free_answered").field("store", name).field("status", response.status);
        });
  }
}

void CacheEventPoller::poll_after(Duration delay, const std::string& name) {
  loop_.post_after(delay, [this, name, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      poll(name);
    }
  });
}

void CacheEventPoller::poll(const std::string& name) {
  const auto node = nodes_.find(name);
  if (node == nodes_.end() || !poll_scheduler_.contains(name)) {
    return;
  }
  const Instant now = clock_.now();
  if (is_relayed(name, now)) {
    poll_after(relayed_at_.at(name) + kRelayTimeout - now, name);
    return;
  }
  const std::uint64_t since = directory_.next_event(name);
  HttpCall call =
      platform::cache_events_call(node->second.endpoint, since, kLongPollWait, kCallTimeout);
  client_.send(std::move(call), [this, name, since, alive = std::weak_ptr<bool>(alive_)](
                                    const HttpClient::Response& response) {
    if (!alive.expired()) {
      on_poll_answer(name, since, response);
    }
  });
}

bool CacheEventPoller::is_relayed(const std::string& name, Instant now) const {
  const auto relayed_at = relayed_at_.find(name);
  return relayed_at != relayed_at_.end() && now < relayed_at->second + kRelayTimeout &&
         !poll_scheduler_.polls_for_zone(name);
}

void CacheEventPoller::apply_update(const CacheUpdate& update) {
  const Instant now = clock_.now();
  if (directory_.on_relayed_events(update.node, update.since, update.result, now)) {
    relayed_at_[update.node] = now;
  }
}

void CacheEventPoller::on_poll_answer(const std::string& name,
                                      std::uint64_t since,
                                      const HttpClient::Response& response) {
  poll_scheduler_.record_poll_finished(name);
  start_first_polls();
  const auto node = nodes_.find(name);
  if (node == nodes_.end()) {
    return;
  }
  const auto events = platform::decode_cache_events(response);
  if (!events) {
    LogEvent("cache_poll_failed").field("source", name).field("status", response.status);
    poll_after(kPollRetryDelay, name);
    return;
  }
  directory_.on_events(name, *events, clock_.now());
  const bool shared = poll_scheduler_.is_shared(name);
  const bool polls_for_zone = poll_scheduler_.polls_for_zone(name);
  if (shared && polls_for_zone && on_update_ && since != CacheDirectory::kFromNewestEvent) {
    on_update_({.node = name, .since = since, .result = *events});
  }
  if (shared && !polls_for_zone) {
    poll_after(kRelayTimeout, name);
  } else {
    poll_after(node->second.is_store ? kStorePollDelay : kEnginePollDelay, name);
  }
}

}  // namespace bluebellstep
