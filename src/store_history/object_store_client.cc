// Checks the era of calls before they are sent and when they are answered.

#include "store_history/object_store_client.h"

#include <utility>

#include "base/log_event.h"

namespace bluebellstep {

ObjectStoreClient::ObjectStoreClient(HttpLoop& loop, HttpClient& client)
    : loop_(loop), client_(client) {
  era_.on_raised([this] {
    loop_.post([this, alive = std::weak_ptr<bool>(alive_)] {
      if (alive.expired()) {
        return;
      }
      for (const auto& callback : callbacks_) {
        callback();
      }
    });
  });
}

void ObjectStoreClient::send(platform::StoreCall call,
                             std::function<void(platform::StoreAnswer)> on_answer) {
  const auto replaced = [](StoreEra::Number era) {
    return platform::StoreAnswer{.response = {.status = kHistoryReplaced}, .era = era};
  };
  if (call.era && *call.era != era_.number()) {
    loop_.post(
        [this, alive = std::weak_ptr<bool>(alive_), replaced, on_answer = std::move(on_answer)] {
          if (!alive.expired()) {
            on_answer(replaced(era_.number()));
          }
        });
    return;
  }
  client_.send(
      std::move(call.call), [this, alive = std::weak_ptr<bool>(alive_), replaced, named = call.era,
                             on_answer = std::move(on_answer)](HttpClient::Response response) {
        if (alive.expired()) {
          return;
        }
        const bool answered = response.status != 0;
        const auto era =
            answered ? record_answer(platform::stated_era(response)) : std::optional(era_.number());
        if (!era || (answered && named && *era != *named)) {
          LogEvent("store_answer_ignored")
              .field("era", era_.number())
              .field("named_era", named.value_or(era_.number()))
              .field("status", response.status);
          on_answer(replaced(era_.number()));
          return;
        }
        on_answer({.response = std::move(response), .era = *era});
      });
}

std::optional<StoreEra::Number> ObjectStoreClient::record_answer(
    std::optional<StoreEra::Number> stated) {
  if (!stated && states_era_) {
    LogEvent("store_era_not_stated", LogEvent::Severity::kWarning).field("era", era_.number());
  }
  states_era_ = stated.has_value();
  return era_.record_answer(stated, clock_.now());
}

}  // namespace bluebellstep
