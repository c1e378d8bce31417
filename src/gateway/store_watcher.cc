// Lists and watches the objects of one kind, with retries.

#include "gateway/store_watcher.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

Duration watch_wait(platform::ObjectKind kind) {
  switch (kind) {
    case platform::ObjectKind::kGateways:
      return StoreWatcher::kGatewaysWatchWait;
    case platform::ObjectKind::kZonesOutOfService:
      return StoreWatcher::kZonesWatchWait;
    default:
      return StoreWatcher::kWatchWait;
  }
}

}  // namespace

StoreWatcher::StoreWatcher(HttpLoop& loop,
                           ObjectStoreClient& client,
                           BackgroundWorker& worker,
                           const Endpoint& store,
                           platform::ObjectKind kind,
                           Listener listener)
    : loop_(loop),
      client_(client),
      worker_(worker),
      store_(store),
      kind_(kind),
      listener_(std::move(listener)),
      watch_wait_(watch_wait(kind)) {}

StoreWatcher::~StoreWatcher() = default;

template <typename Result>
void StoreWatcher::send(platform::StoreCall call,
                        Result (*decode)(const platform::StoreAnswer&),
                        void (StoreWatcher::*handler)(Result)) {
  call_sent_at_ = clock_.now();
  client_.send(std::move(call), [this, alive = std::weak_ptr<bool>(alive_), series = series_,
                                 decode, handler](platform::StoreAnswer answer) {
    if (alive.expired() || series != series_) {
      return;
    }
    if (answer.response.body.size() < kMinBackgroundBytes) {
      (this->*handler)(decode(answer));
      return;
    }
    worker_.run([decode, answer = std::move(answer)] { return decode(answer); },
                [this, alive, series, handler](Result result) {
                  if (!alive.expired() && series == series_) {
                    (this->*handler)(std::move(result));
                  }
                });
  });
}

void StoreWatcher::run_after(Duration delay, std::function<void()> task) {
  loop_.post_after(
      delay, [this, alive = std::weak_ptr<bool>(alive_), series = series_, task = std::move(task)] {
        if (!alive.expired() && series == series_) {
          task();
        }
      });
}

void StoreWatcher::start() {
  list({});
}

void StoreWatcher::list(std::string after_name) {
  if (after_name.empty()) {
    listing_ = true;
    listed_objects_.clear();
    list_revision_.reset();
    answer_due_ = clock_.now();
  }
  send(platform::list_call(store_, kind_, after_name, kCallTimeout),
       platform::has_status(kind_) ? platform::decode_page_with_status : platform::decode_page,
       &StoreWatcher::on_list_page);
}

void StoreWatcher::on_list_page(platform::PageResult result) {
  if (const auto* fault = std::get_if<PlatformUnavailable>(&result)) {
    listing_ = false;
    on_call_failed(*fault);
    return;
  }
  auto& page = std::get<platform::ObjectPage>(result);
  if (!list_revision_) {
    // The watch reports all changes made after the first page was read.
    list_revision_ = page.store_revision;
  } else if (page.store_revision.era != list_revision_->era) {
    list({});  // The store was restored after the first page.
    return;
  }
  for (platform::StoredObject& object : page.objects) {
    listed_objects_.push_back(std::move(object));
  }
  if (page.continue_after) {
    list(*page.continue_after);
    return;
  }
  reachable_ = true;
  can_watch_ = true;
  listing_ = false;
  replace(std::exchange(listed_objects_, {}), *list_revision_, "list");
  notify_current();
  listener_.on_call_ended(true, call_sent_at_);
  watch(watch_wait_);
}

void StoreWatcher::resume() {
  paused_ = false;
  if (std::exchange(stopped_by_pause_, false)) {
    // The store may have become unreachable meanwhile.
    watch(kProbeWait);
  }
}

void StoreWatcher::on_era_raised(Duration delay) {
  if (listing_ || replica_.revision().era >= client_.era().number()) {
    return;
  }
  ++series_;
  listing_ = true;
  can_watch_ = false;
  stopped_by_pause_ = false;
  run_after(delay, [this] { list({}); });
}

void StoreWatcher::watch(Duration wait) {
  if (paused_) {
    stopped_by_pause_ = true;
    return;
  }
  answer_due_ = clock_.now() + wait;
  send(
      platform::watch_call(store_, kind_, replica_.revision(), wait, kCallTimeout),
      platform::has_status(kind_) ? platform::decode_changes_with_status : platform::decode_changes,
      &StoreWatcher::on_watch_answer);
}

void StoreWatcher::on_watch_answer(platform::ChangesResult result) {
  std::visit(Overloaded{[&](platform::ObjectChanges& changes) {
                          reachable_ = true;
                          listener_.on_call_ended(true, call_sent_at_);
                          const bool changed = !changes.changes.empty();
                          notify_changes(replica_.apply(std::move(changes)), "watch");
                          notify_current();
                          if (changed) {
                            run_after(batch_delay(), [this] { watch(watch_wait_); });
                          } else {
                            watch(watch_wait_);
                          }
                        },
                        [&](const platform::HistoryExpired&) {
                          LogEvent("store_history_gone")
                              .field("kind", static_cast<int>(kind_))
                              .field("revision", to_string(replica_.revision()));
                          can_watch_ = false;
                          listener_.on_call_ended(true, call_sent_at_);
                          list({});
                        },
                        [&](const PlatformUnavailable& fault) { on_call_failed(fault); }},
             result);
}

Duration StoreWatcher::batch_delay() const {
  switch (kind_) {
    case platform::ObjectKind::kUpstreams:
      return kUpstreamsBatchDelay;
    case platform::ObjectKind::kGateways:
      return kGatewaysBatchDelay;
    default:
      return kBatchDelay;
  }
}

void StoreWatcher::on_call_failed(const PlatformUnavailable& fault) {
  if (reachable_) {
    LogEvent("store_call_failed", LogEvent::Severity::kWarning)
        .field("kind", static_cast<int>(kind_))
        .field("detail", fault.detail);
  }
  reachable_ = false;
  listener_.on_call_ended(false, call_sent_at_);
  run_after(kRetryDelay, [this] { retry(); });
}

void StoreWatcher::retry() {
  if (!listener_.may_probe()) {
    run_after(kRetryDelay / 2, [this] { retry(); });
    return;
  }
  if (can_watch_) {
    watch(kProbeWait);
  } else {
    list({});
  }
}

void StoreWatcher::apply_snapshot(std::vector<platform::StoredObject> objects,
                                  const StoreRevision& revision) {
  if (revision <= replica_.revision()) {
    return;
  }
  replace(std::move(objects), revision, "peer");
  can_watch_ = true;
}

void StoreWatcher::apply_changes(platform::ObjectChanges changes,
                                 std::span<const RevisionGap> gaps) {
  notify_changes(replica_.apply(std::move(changes), gaps), "peer");
}

void StoreWatcher::replace(std::vector<platform::StoredObject> objects,
                           const StoreRevision& revision,
                           std::string_view source) {
  const StoreRevision before = replica_.revision();
  const bool restored = revision.era > before.era && !before.is_absent();
  const std::size_t listed = objects.size();
  ObjectReplica::Changes changes = replica_.replace(std::move(objects), revision);
  LogEvent("store_list_taken")
      .field("kind", static_cast<int>(kind_))
      .field("source", source)
      .field("revision", to_string(revision))
      .field("before", to_string(before))
      .field("objects", static_cast<std::uint64_t>(listed))
      .field("changes", static_cast<std::uint64_t>(changes.size()))
      .field("taken", replica_.revision() == revision);
  notify_changes(std::move(changes), source, restored);
}

void StoreWatcher::notify_current() const {
  if (listener_.on_current) {
    listener_.on_current(std::min(clock_.now(), answer_due_));
  }
}

void StoreWatcher::notify_changes(ObjectReplica::Changes changes,
                                  std::string_view source,
                                  bool restored) {
  change_source_ = source;
  if (!changes.empty() || restored) {
    listener_.on_changes(std::move(changes), restored);
  }
}

}  // namespace bluebellstep
