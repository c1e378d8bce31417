// List and watch.

#include "gateway/store_watcher.h"

#include <utility>

#include "base/log_event.h"
#include "base/overloaded.h"

namespace bluebellstep {

StoreWatcher::StoreWatcher(HttpLoop& loop,
                           HttpClient& client,
                           const Endpoint& store,
                           platform::ObjectKind kind,
                           Listener listener)
    : loop_(loop), client_(client), store_(store), kind_(kind), listener_(std::move(listener)) {}

StoreWatcher::~StoreWatcher() = default;

template <typename Handler>
void StoreWatcher::send(HttpCall call, Handler handler) {
  client_.send(std::move(call),
               [this, alive = std::weak_ptr<bool>(alive_), handler](HttpClient::Response response) {
                 if (!alive.expired()) {
                   (this->*handler)(response);
                 }
               });
}

void StoreWatcher::after(Duration delay, std::function<void()> task) {
  loop_.post_after(delay, [alive = std::weak_ptr<bool>(alive_), task = std::move(task)] {
    if (!alive.expired()) {
      task();
    }
  });
}

void StoreWatcher::start() {
  list({});
}

void StoreWatcher::list(std::string after_name) {
  if (after_name.empty()) {
    pages_.clear();
  }
  send(platform::list_call(store_, kind_, after_name, kCallTimeout), &StoreWatcher::on_page);
}

void StoreWatcher::on_page(const HttpClient::Response& response) {
  auto result = platform::decode_page(response);
  if (const auto* fault = std::get_if<PlatformUnavailable>(&result)) {
    failed(*fault);
    return;
  }
  auto& page = std::get<platform::ObjectPage>(result);
  if (pages_.empty()) {
    // Changes after the first page are seen again by the watch.
    list_revision_ = page.store_revision;
  }
  for (platform::StoredObject& object : page.objects) {
    pages_.push_back(std::move(object));
  }
  if (page.continue_after) {
    list(*page.continue_after);
    return;
  }
  reachable_ = true;
  listed_ = true;
  deliver(mirror_.replace(std::exchange(pages_, {}), list_revision_));
  listener_.on_contact(true);
  watch(watch_wait());
}

void StoreWatcher::watch(Duration wait) {
  send(platform::watch_call(store_, kind_, mirror_.revision(), wait, kCallTimeout),
       &StoreWatcher::on_watch);
}

void StoreWatcher::on_watch(const HttpClient::Response& response) {
  auto result = platform::decode_changes(response);
  std::visit(Overloaded{[&](platform::ObjectChanges& changes) {
                          reachable_ = true;
                          listener_.on_contact(true);
                          const bool changed = !changes.changes.empty();
                          deliver(mirror_.apply(std::move(changes)));
                          if (changed) {
                            after(batch_pause(), [this] { watch(watch_wait()); });
                          } else {
                            watch(watch_wait());
                          }
                        },
                        [&](const platform::HistoryGone&) {
                          LogEvent("store_history_gone")
                              .field("kind", static_cast<int>(kind_))
                              .field("revision", mirror_.revision());
                          listed_ = false;
                          listener_.on_contact(true);
                          list({});
                        },
                        [&](const PlatformUnavailable& fault) { failed(fault); }},
             result);
}

Duration StoreWatcher::watch_wait() const {
  return kind_ == platform::ObjectKind::kGateways ? kGatewaysWatchWait : kWatchWait;
}

Duration StoreWatcher::batch_pause() const {
  switch (kind_) {
    case platform::ObjectKind::kUpstreams:
      return kUpstreamsPause;
    case platform::ObjectKind::kGateways:
      return kGatewaysPause;
    default:
      return kBatchPause;
  }
}

void StoreWatcher::failed(const PlatformUnavailable& fault) {
  if (reachable_) {
    LogEvent("store_call_failed", LogEvent::Severity::kWarning)
        .field("kind", static_cast<int>(kind_))
        .field("detail", fault.detail);
  }
  reachable_ = false;
  listener_.on_contact(false);
  after(kRetryPause, [this] { retry(); });
}

void StoreWatcher::retry() {
  if (!listener_.may_probe()) {
    after(kRetryPause / 2, [this] { retry(); });
    return;
  }
  if (listed_) {
    watch(kProbeWait);
  } else {
    list({});
  }
}

void StoreWatcher::adopt(std::vector<platform::StoredObject> objects, std::uint64_t revision) {
  if (revision <= mirror_.revision()) {
    return;
  }
  deliver(mirror_.replace(std::move(objects), revision));
  listed_ = true;
}

void StoreWatcher::deliver(ObjectReplica::Changes changes) {
  if (!changes.empty()) {
    listener_.on_changes(std::move(changes));
  }
}

}  // namespace bluebellstep
