// A connection from a caller, over which HTTP/1.1 requests are served one at a time.
//
// Limits on sizes and times prevent slow or faulty callers from exhausting the gateway's memory and
// connections.

#ifndef BLUEBELLSTEP_GATEWAY_CALLER_CONNECTION_H_
#define BLUEBELLSTEP_GATEWAY_CALLER_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/id.h"
#include "gateway/buffer_budget.h"
#include "gateway/serving_config.h"
#include "http/http_loop.h"
#include "http1/byte_stream.h"
#include "http1/message_parser.h"

namespace bluebellstep {

using CallerConnectionId = Id<struct CallerConnectionTag, std::uint64_t>;

/** A complete request of a caller. */
struct CallerRequest {
  std::unique_ptr<MessageHead> head;
  std::string body;
  BufferBudget::Reservation reservation;  // For `body`.
  /** The earliest time at which the request may have been complete in the socket. */
  Instant arrived_at;
};

/** Why no request could be read from a connection. The numbers are logged. */
enum class CallerRequestError {
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kTimeout,   // The head or the body did not arrive in time.
  kNoBuffer,  // There is no room for the body at present.
};

/** Reads requests from an accepted socket and writes the responses. Pipelined requests wait until
 * the current response is complete. Runs on the HTTP thread. */
class CallerConnection {
 public:
  /** Callbacks to the owner of the connection. */
  struct Listener {
    std::function<void(CallerRequest)> on_request;
    /** No further request is read. The owner sends an error response and closes the connection. */
    std::function<void(CallerRequestError)> on_request_error;
    /** The connection ended. The owner must destroy this object. */
    std::function<void()> on_closed;
  };

  /** `loop` is the event loop of the socket. */
  CallerConnection(const HttpLoop& loop,
                   h2o_socket_t* socket,
                   CallerLimits limits,
                   std::shared_ptr<BufferBudget> buffer_budget,
                   Listener listener);

  /** Sends bytes of the response to the current request. */
  void send(std::string_view bytes) { stream_.write(bytes); }

  /** Ends the current response. Closes the connection if `close`, else reads the next request. */
  void finish_response(bool close, Instant now);

  /** Applies `limits` and checks the timeouts; to be called about twice a second. Returns false if
   * the connection must be destroyed, since it was idle or did not take its last response for too
   * long. */
  bool check_timeouts(const CallerLimits& limits, Instant now);

  /** A request, or a read error, has been passed on and its response is not complete. */
  bool responding() const { return state_ == State::kResponding; }
  /** No response is in progress and no byte of a further request has arrived. */
  bool idle() const { return state_ == State::kReadingHead && input_.empty(); }
  /** The connection has been idle since before `since`, and no bytes wait to be read. */
  bool quiet_since(Instant since) const {
    return idle() && timeout_started_at_ <= since && !stream_.has_unread_bytes();
  }
  /** The caller has closed the connection. `on_closed` may not have been called yet. */
  bool caller_left() const { return stream_.peer_closed(); }
  /** Response bytes that the kernel has not accepted yet. */
  std::size_t unsent() const { return stream_.unsent(); }
  /** Requests read so far. */
  std::uint64_t request_count() const { return request_count_; }

 private:
  // In `kLingering` the last response was sent while its caller may still send the request: closing
  // the connection with unread bytes would reset it and may destroy the response.
  enum class State { kReadingHead, kReadingBody, kResponding, kLingering, kClosing };

  void on_bytes(std::string_view bytes);
  void read_requests();
  // These two return whether reading may continue.
  bool read_head();
  bool read_body();
  void report_error(CallerRequestError error);
  // Returns the earliest time at which what is read now may have arrived.
  Instant earliest_arrival() const;

  const HttpLoop& loop_;
  Clock clock_;
  CallerLimits limits_;
  std::shared_ptr<BufferBudget> buffer_budget_;
  Listener listener_;
  State state_ = State::kReadingHead;
  // When the connection was accepted or the last response ended. No request that is read later
  // counts as older.
  Instant ready_since_;
  std::uint64_t accepted_in_poll_;  // `HttpLoop::poll_count` when the connection was accepted.
  // When the connection was accepted, the last response ended, or the first byte of the current
  // request arrived, whichever was last. Timeouts are measured from here.
  Instant timeout_started_at_;
  bool head_started_ = false;  // The first byte of a head has arrived.
  std::string input_;          // Received and not yet parsed.
  CallerRequest request_;
  std::optional<BodyDecoder> body_decoder_;
  std::size_t received_body_bytes_ = 0;  // Of the current request, with the chunked encoding.
  std::uint64_t request_count_ = 0;
  bool request_incomplete_ = false;  // The current response is to a request that was not read.
  // Expires with this object, so that a callback that destroys it is noticed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  ByteStream stream_;  // Last, since its callbacks use the other members.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CALLER_CONNECTION_H_
