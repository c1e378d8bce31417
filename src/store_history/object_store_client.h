// Calls to the platform's store, each tied to the era of the revision that it names.
//
// A call that names a revision of an earlier era would compare it with another object of the same
// number. Such a call is not sent, and its answer does not count if the store was restored while
// the call was on its way.

#ifndef BLUEBELLSTEP_STORE_HISTORY_OBJECT_STORE_CLIENT_H_
#define BLUEBELLSTEP_STORE_HISTORY_OBJECT_STORE_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "http/http_client.h"
#include "http/http_loop.h"
#include "platform/object_format.h"
#include "store_history/store_era.h"

namespace bluebellstep {

/** Makes all calls of a gateway to the store. All members run on the HTTP thread. */
class ObjectStoreClient {
 public:
  /** Status of an answer that does not count, since the store was restored. It stands for a watch
   * whose history is gone, and for a write that may or may not have taken effect. */
  static constexpr int kHistoryReplaced = 410;

  ObjectStoreClient(HttpLoop& loop, HttpClient& client);
  ObjectStoreClient(const ObjectStoreClient&) = delete;
  ObjectStoreClient& operator=(const ObjectStoreClient&) = delete;

  /** Sends a call and passes the answer to `on_answer`, never within `send`. */
  void send(platform::StoreCall call, std::function<void(platform::StoreAnswer)> on_answer);

  /** Records an era that another gateway has told of. */
  void record_heard(StoreEra::Number era) { era_.record_heard(era, clock_.now()); }

  const StoreEra& era() const { return era_; }

  /** Adds a callback for each newer era. It is called after the answer that told of the era has
   * been handled. */
  void on_era_raised(std::function<void()> callback) { callbacks_.push_back(std::move(callback)); }

 private:
  // Returns the era of an answer that states this one; see `StoreEra::record_answer`.
  std::optional<StoreEra::Number> record_answer(std::optional<StoreEra::Number> stated);

  HttpLoop& loop_;
  HttpClient& client_;
  Clock clock_;
  StoreEra era_;
  bool states_era_ = true;  // The last answer stated its era, or there was none yet.
  std::vector<std::function<void()>> callbacks_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STORE_HISTORY_OBJECT_STORE_CLIENT_H_
