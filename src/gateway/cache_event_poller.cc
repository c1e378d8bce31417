// Polls of cache events.

#include "gateway/cache_event_poller.h"

#include <utility>

#include "base/log_event.h"
#include "platform/cache_calls.h"

namespace bluebellstep {

CacheEventPoller::CacheEventPoller(HttpLoop& loop,
                                   HttpClient& client,
                                   CacheDirectory& directory,
                                   CachePollScheduler order)
    : loop_(loop), client_(client), directory_(directory), order_(std::move(order)) {}

CacheEventPoller::~CacheEventPoller() = default;

void CacheEventPoller::update_nodes() {
  const std::vector<CacheNode> sources = directory_.sources();
  order_.set_nodes(sources);
  sources_.clear();
  for (const CacheNode& source : sources) {
    sources_.emplace(source.name, source);
  }
  begin_polls();
}

void CacheEventPoller::begin_polls() {
  while (const auto name = order_.begin()) {
    poll(*name);
  }
}

void CacheEventPoller::free_older_segments(std::string_view model, std::uint64_t version) {
  for (const auto& [name, source] : sources_) {
    const auto parts = source.is_store ? directory_.stored_before(name, model, version)
                                       : std::vector<CacheDirectory::StoredSegment>{};
    const auto epoch = directory_.epoch(name);
    if (parts.empty() || !epoch) {
      continue;
    }
    LogEvent("cache_parts_freed")
        .field("store", name)
        .field("parts", static_cast<std::uint64_t>(parts.size()))
        .field("before_version", version);
    client_.send(
        platform::free_parts_call(source.endpoint, *epoch, parts, kCallTimeout),
        [name = name](const HttpClient::Response& response) {
          // The store's events tell what was freed; what was not is freed next time.
          LogEvent("cache_free_answered").field("store", name).field("status", response.status);
        });
  }
}

void CacheEventPoller::after(Duration delay, const std::string& name) {
  loop_.post_after(delay, [this, name, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      poll(name);
    }
  });
}

void CacheEventPoller::poll(const std::string& name) {
  const auto source = sources_.find(name);
  if (source == sources_.end() || !order_.contains(name)) {
    return;
  }
  HttpCall call = platform::cache_events_call(source->second.endpoint, directory_.next_event(name),
                                              kPollWait, kCallTimeout);
  client_.send(std::move(call),
               [this, name, alive = std::weak_ptr<bool>(alive_)](HttpClient::Response response) {
                 if (!alive.expired()) {
                   on_events(name, response);
                 }
               });
}

void CacheEventPoller::on_events(const std::string& name, const HttpClient::Response& response) {
  order_.ended(name);
  begin_polls();
  const auto source = sources_.find(name);
  if (source == sources_.end()) {
    return;
  }
  const auto events = platform::decode_cache_events(response);
  if (!events) {
    LogEvent("cache_poll_failed").field("source", name).field("status", response.status);
    after(kFaultPause, name);
    return;
  }
  directory_.on_events(name, *events, clock_.now());
  after(source->second.is_store ? kStorePause : kEnginePause, name);
}

}  // namespace bluebellstep
