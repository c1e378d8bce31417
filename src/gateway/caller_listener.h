// Accepts callers' connections and passes their requests to the forwarder.

#ifndef BLUEBELLSTEP_GATEWAY_CALLER_LISTENER_H_
#define BLUEBELLSTEP_GATEWAY_CALLER_LISTENER_H_

#include <h2o.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "base/clock.h"
#include "gateway/caller_connection.h"
#include "gateway/forwarder.h"
#include "http/http_loop.h"
#include "memory/memory_account.h"
#include "metrics/metrics.h"

namespace bluebellstep {

/** Limits for callers' connections. */
struct CallerListenerOptions {
  MemoryLimits memory;                   // For all that callers make the gateway hold.
  std::size_t max_connections = 0;       // 0: see `CallerListener::default_max_connections`.
  std::uint32_t min_bytes_per_s = 1000;  // Callers that send or read more slowly are cut off.
};

/** Listens on a TCP endpoint and owns the callers' connections. Runs on the HTTP thread. */
class CallerListener {
 public:
  /** Interval between checks of the connections' timeouts. */
  static constexpr Duration kCheckInterval{500};

  /** Binds to `listen` and starts to accept. Throws `std::system_error` if that fails. Counts the
   * connections that it closes, if `metrics` is given. */
  CallerListener(HttpLoop& loop,
                 const Endpoint& listen,
                 Forwarder& forwarder,
                 const CallerListenerOptions& options = {},
                 Metrics* metrics = nullptr);
  /** Returns three quarters of the descriptors that the process may open, but no more than fill a
   * quarter of the memory for callers while they are idle. The other descriptors are for
   * connections to upstreams, the store and other gateways. */
  static std::size_t default_max_connections(const MemoryLimits& memory = {});

  /** With as many connections as are allowed, one that has been idle for this long may be closed
   * for one that waits: kUnusedIdleTime if no request was ever read from it. */
  static constexpr Duration kUnusedIdleTime{1000};
  static constexpr Duration kUsedIdleTime{3000};

  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;
  ~CallerListener();

  /** How long a connection must have been idle before it is closed in a shutdown. Its caller may
   * just have sent a request that has not been read yet. */
  static constexpr Duration kQuietTime{300};
  /** Interval between checks for such connections. */
  static constexpr Duration kQuietCheckInterval{50};

  /** Accepts the connections that wait, closes the listening socket, and closes the connections as
   * soon as they are idle. */
  void stop_accepting();

  /** Number of requests that are being read or answered; after `stop_accepting`, the number of
   * connections. */
  std::size_t open_requests() const;

 private:
  struct Connection {
    std::unique_ptr<CallerConnection> connection;
    std::optional<RequestId> request_id;  // Set while the forwarder handles a request.
    bool removal_pending = false;         // Ignored; erased at the end of this loop step.
  };

  void accept_waiting(int max_accepts);
  // Accepts connections while there are fewer than allowed.
  void update_accepting();
  // Closes the connections that were idle for longest, if others wait for them.
  void close_idle_for_waiting(Instant now);
  // Closes the connection that is worst for the memory, except `id`. Returns false if there is
  // none.
  bool close_worst_holder(CallerConnectionId id);
  void count_closed(std::string_view kind);
  void close_quiet_connections();
  static void on_accept(h2o_socket_t* listener, const char* error);
  void add(h2o_socket_t* socket);
  void on_request(CallerConnectionId id, CallerRequest request);
  void on_request_error(CallerConnectionId id, CallerRequestError request_error);
  void remove(CallerConnectionId id);
  Connection* find(CallerConnectionId id);
  void check_connections();

  HttpLoop& loop_;
  Forwarder& forwarder_;
  Metrics* metrics_;
  std::shared_ptr<MemoryAccount> account_;
  bool closing_worst_holder_ = false;
  std::size_t max_connections_;
  std::uint32_t min_bytes_per_s_;
  Clock clock_;
  h2o_socket_t* listener_ = nullptr;  // Null after `stop_accepting`.
  std::uint64_t next_id_ = 1;
  std::map<CallerConnectionId, Connection> connections_;
  std::map<HolderId, CallerConnectionId> connections_by_holder_;
  // Expires with this object; deferred tasks check it before they use the object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CALLER_LISTENER_H_
