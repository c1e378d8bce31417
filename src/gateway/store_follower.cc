// List and watch.

#include "gateway/store_follower.h"

#include <utility>

#include "base/log_event.h"
#include "base/overloaded.h"

namespace bluebellstep {

StoreFollower::StoreFollower(HttpLoop& loop,
                             HttpClient& client,
                             const Endpoint& store,
                             platform::ObjectKind kind,
                             Listener listener)
    : loop_(loop), client_(client), store_(store), kind_(kind), listener_(std::move(listener)) {}

StoreFollower::~StoreFollower() = default;

template <typename Handler>
void StoreFollower::send(HttpCall call, Handler handler) {
  client_.send(std::move(call),
               [this, alive = std::weak_ptr<bool>(alive_), handler](HttpClient::Response response) {
                 if (!alive.expired()) {
                   (this->*handler)(response);
                 }
               });
}

void StoreFollower::after(Duration delay, std::function<void()> task) {
  loop_.post_after(delay, [alive = std::weak_ptr<bool>(alive_), task = std::move(task)] {
    if (!alive.expired()) {
      task();
    }
  });
}

void StoreFollower::start() {
  list({});
}

void StoreFollower::list(std::string after_name) {
  if (after_name.empty()) {
    pages_.clear();
  }
  send(platform::list_call(store_, kind_, after_name, kCallTimeout), &StoreFollower::on_page);
}

void StoreFollower::on_page(const HttpClient::Response& response) {
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

void StoreFollower::watch(Duration wait) {
  send(platform::watch_call(store_, kind_, mirror_.revision(), wait, kCallTimeout),
       &StoreFollower::on_watch);
}

void StoreFollower::on_watch(const HttpClient::Response& response) {
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
                        [&](const platform::HistoryExpired&) {
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

Duration StoreFollower::watch_wait() const {
  return kind_ == platform::ObjectKind::kGateways ? kGatewaysWatchWait : kWatchWait;
}

Duration StoreFollower::batch_pause() const {
  switch (kind_) {
    case platform::ObjectKind::kUpstreams:
      return kUpstreamsPause;
    case platform::ObjectKind::kGateways:
      return kGatewaysPause;
    default:
      return kBatchPause;
  }
}

void StoreFollower::failed(const PlatformUnavailable& fault) {
  if (reachable_) {
    LogEvent("store_call_failed", LogEvent::Severity::kWarning)
        .field("kind", static_cast<int>(kind_))
        .field("detail", fault.detail);
  }
  reachable_ = false;
  listener_.on_contact(false);
  after(kRetryPause, [this] { retry(); });
}

void StoreFollower::retry() {
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

void StoreFollower::adopt(std::vector<platform::StoredObject> objects, std::uint64_t revision) {
  if (revision <= mirror_.revision()) {
    return;
  }
  deliver(mirror_.replace(std::move(objects), revision));
  listed_ = true;
}

void StoreFollower::deliver(ObjectMirror::Changes changes) {
  if (!changes.empty()) {
    listener_.on_changes(std::move(changes));
  }
}

}  // namespace bluebellstep
