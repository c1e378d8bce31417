// Finds out whether an upstream whose connection ended has crashed.
//
// An upstream that runs may reset a connection or break off a response, and a network device
// between may do so too. A crashed upstream accepts no connections until it has started again,
// which takes seconds.

#ifndef BLUEBELLSTEP_GATEWAY_CRASH_CHECK_H_
#define BLUEBELLSTEP_GATEWAY_CRASH_CHECK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "http/http_loop.h"
#include "http/http_types.h"
#include "http1/byte_stream.h"

namespace bluebellstep {

/** Connects to upstreams to find out whether they have crashed. Runs on the HTTP thread. */
class CrashCheck {
 public:
  /** Delay before the connect. A process that ends may close its connections before the socket on
   * which it listens. */
  static constexpr Duration kDelay{20};
  /** An upstream that cannot be connected to within this time counts as crashed. */
  static constexpr Duration kConnectTimeout{300};

  explicit CrashCheck(HttpLoop& loop) : loop_(loop) {}
  CrashCheck(const CrashCheck&) = delete;
  CrashCheck& operator=(const CrashCheck&) = delete;

  /** Calls `on_result` after `kDelay` or later, and not if this object is destroyed before. Checks
   * of one upstream at the same time share a connection. */
  void start(std::string_view upstream_id,
             const Endpoint& endpoint,
             std::function<void(bool crashed)> on_result);

 private:
  struct Check {
    Endpoint endpoint;
    std::unique_ptr<ByteStream> stream;  // Null before the connect.
    std::vector<std::function<void(bool crashed)>> listeners;
  };

  void connect(const std::string& upstream_id);
  void finish(const std::string& upstream_id, bool crashed);
  void run_after(Duration delay, std::function<void()> task);

  HttpLoop& loop_;
  std::map<std::string, std::shared_ptr<Check>, std::less<>> checks_;  // By upstream.
  // Expires with this object; timers check it before they use the object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CRASH_CHECK_H_
