// Connects to upstreams whose connections ended.

#include "gateway/crash_check.h"

#include <utility>

#include "base/log_event.h"
#include "http/http_loop_impl.h"

namespace bluebellstep {

void CrashCheck::start(std::string_view upstream_id,
                       const Endpoint& endpoint,
                       std::function<void(bool crashed)> on_result) {
  std::shared_ptr<Check>& check = checks_[std::string(upstream_id)];
  if (check != nullptr) {
    check->listeners.push_back(std::move(on_result));
    return;
  }
  check = std::make_shared<Check>();
  check->endpoint = endpoint;
  check->listeners.push_back(std::move(on_result));
  run_after(kDelay, [this, id = std::string(upstream_id)] { connect(id); });
}

void CrashCheck::connect(const std::string& upstream_id) {
  const std::shared_ptr<Check> check = checks_.at(upstream_id);
  check->stream = std::make_unique<ByteStream>(
      loop_.impl().loop(), check->endpoint,
      ByteStream::Listener{
          .on_connected = [this, upstream_id] { finish(upstream_id, false); },
          .on_bytes = [](std::string_view) {},
          .on_end = [this, upstream_id](StreamEnd) { finish(upstream_id, true); }});
  if (check->stream->ended()) {
    finish(upstream_id, true);
    return;
  }
  run_after(kConnectTimeout, [this, upstream_id, started = std::weak_ptr<Check>(check)] {
    if (!started.expired()) {
      finish(upstream_id, true);
    }
  });
}

void CrashCheck::finish(const std::string& upstream_id, bool crashed) {
  const auto node = checks_.extract(upstream_id);
  const std::shared_ptr<Check> check = node.mapped();
  // No callback may follow, since it would end another check of this upstream or none.
  check->stream->close();
  // The stream may be running the callback that called this function.
  loop_.impl().defer([closing = std::shared_ptr<ByteStream>(std::move(check->stream))]() mutable {
    closing.reset();
  });
  LogEvent("crash_checked", LogEvent::Severity::kWarning)
      .field("upstream", node.key())
      .field("crashed", crashed)
      .field("attempts", static_cast<std::uint64_t>(check->listeners.size()));
  for (const auto& listener : check->listeners) {
    listener(crashed);
  }
}

void CrashCheck::run_after(Duration delay, std::function<void()> task) {
  loop_.post_after(delay, [alive = std::weak_ptr<bool>(alive_), task = std::move(task)] {
    if (!alive.expired()) {
      task();
    }
  });
}

}  // namespace bluebellstep
