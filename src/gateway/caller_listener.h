// Accepts callers' connections and joins them to the forwarder.

#ifndef BLUEBELLSTEP_GATEWAY_CALLER_LISTENER_H_
#define BLUEBELLSTEP_GATEWAY_CALLER_LISTENER_H_

#include <h2o.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "base/clock.h"
#include "gateway/caller_connection.h"
#include "gateway/forwarder.h"
#include "http/http_loop.h"

namespace bluebellstep {

/** The callers' side. Runs on the HTTP thread. */
class CallerListener {
 public:
  /** Pause between two checks of the connections' time limits. */
  static constexpr Duration kCheckInterval{500};

  /** Binds and listens. Throws `std::system_error` if that fails. */
  CallerListener(HttpLoop& loop, const Endpoint& listen, Forwarder& forwarder);
  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;
  ~CallerListener();

  /** Closes idle connections and accepts no others. */
  void stop_accepting();

  /** Requests that are being read or answered. */
  std::size_t open_requests() const;

 private:
  struct Connection {
    std::unique_ptr<CallerConnection> connection;
    std::optional<RequestId> request;  // The one being served.
    bool ended = false;                // Removed at the end of this loop step.
  };

  static void on_accept(h2o_socket_t* listener, const char* error);
  void add(h2o_socket_t* socket);
  void on_request(CallerConnectionId id, CallerRequest message);
  void on_fault(CallerConnectionId id, CallerRequestError fault);
  void remove(CallerConnectionId id);
  Connection* find(CallerConnectionId id);
  void check_times();

  HttpLoop& loop_;
  Forwarder& forwarder_;
  Clock clock_;
  h2o_socket_t* listener_ = nullptr;  // Null once it is closed.
  std::uint64_t next_id_ = 1;
  std::map<CallerConnectionId, Connection> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CALLER_LISTENER_H_
