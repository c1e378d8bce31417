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
#include "gateway/serving_config.h"
#include "http/http_loop.h"
#include "http1/byte_stream.h"
#include "http1/message_parser.h"
#include "memory/memory_account.h"

namespace bluebellstep {

using CallerConnectionId = Id<struct CallerConnectionTag, std::uint64_t>;

/** A complete request of a caller. */
struct CallerRequest {
  std::unique_ptr<MessageHead> head;
  std::string body;
  MemoryAccount::Charge charge;  // For `head` and `body`.
  /** The earliest time at which the request may have been complete in the socket. */
  Instant arrived_at;
};

/** Why no request could be read from a connection. The numbers are logged. */
enum class CallerRequestError {
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kTimeout,   // The head or the body did not arrive in time.
  kNoBuffer,  // There is no room for the request at present.
};

/** Reads requests from an accepted socket and writes the responses. Pipelined requests wait until
 * the current response is complete and the kernel has taken it. Runs on the HTTP thread. */
class CallerConnection {
 public:
  /** Callbacks to the owner of the connection. */
  struct Listener {
    std::function<void(CallerRequest)> on_request;
    /** No further request is read. The owner sends an error response and closes the connection. */
    std::function<void(CallerRequestError)> on_request_error;
    /** The connection ended. The owner must destroy this object. */
    std::function<void()> on_closed;
    /** There is no room for what this connection has to keep. The owner closes another connection;
     * returns false if there is none to close. */
    std::function<bool()> on_no_room;
    /** There was no room for a response. The connection is closed, and the owner must destroy this
     * object, but not within the callback. */
    std::function<void()> on_response_dropped;
  };

  /** Memory that is counted for a connection without any bytes. */
  static constexpr std::size_t kBaseBytes = 2048;

  /** `loop` is the event loop of the socket. There must be room for `kBaseBytes` in `account`. A
   * caller may send as slowly as `min_bytes_per_s`. */
  CallerConnection(const HttpLoop& loop,
                   h2o_socket_t* socket,
                   CallerLimits limits,
                   std::uint32_t min_bytes_per_s,
                   std::shared_ptr<MemoryAccount> account,
                   Listener listener);
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;
  ~CallerConnection() { account_->remove_holder(holder_); }

  /** Sends bytes of the response to the current request. */
  void send(std::string_view bytes);
  /** The same for `head` followed by `body`, which is not copied. */
  void send(std::string head, std::shared_ptr<const std::string> body);

  /** Closes the connection and releases what it holds. No callback follows. */
  void discard();
  /** Resets the connection; the owner destroys this object. */
  void reset() { stream_.reset(); }
  /** Stops reading a body, since there is no room, and reports that as a read error. Returns false
   * if no body is being read. */
  bool refuse_body();

  /** Ends the current response. Closes the connection if `close`, else reads the next request. */
  void finish_response(bool close, Instant now);

  /** Applies `limits` and checks the timeouts; to be called about twice a second. Returns false if
   * the connection must be destroyed, since it was idle or did not take its last response for too
   * long. */
  bool check_timeouts(const CallerLimits& limits, Instant now);

  /** A request, or a read error, has been passed on and its response is not complete. */
  bool responding() const { return state_ == State::kResponding; }
  /** No response is in progress and no byte of a further request has arrived. */
  bool idle() const { return state_ == State::kReadingHead && unread().empty(); }
  /** When the connection became idle; only meaningful while it is. */
  Instant idle_since() const { return timeout_started_at_; }
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
  /** The connection in the account of memory. */
  HolderId holder() const { return holder_; }

 private:
  // In `kDraining` the response is complete, but the kernel has not taken all of it. In
  // `kLingering` the last response was sent while its caller may still send the request: closing
  // the connection with unread bytes would reset it and may destroy the response.
  enum class State { kReadingHead, kReadingBody, kResponding, kDraining, kLingering, kClosing };

  void on_bytes(std::string_view bytes);
  void on_sent(std::size_t bytes);
  void read_requests();
  // Returns whether a head was read.
  bool read_head();
  // Returns how many of `bytes` belong to the body or were discarded.
  std::size_t read_body(std::string_view bytes);
  // Makes room for a body of `bytes`. Returns false if there is none.
  bool reserve_body(std::size_t bytes);
  void start_next_request(Instant now);
  void report_error(CallerRequestError error);
  // Releases the memory of a request that was not read completely.
  void drop_request();
  // Sets the bytes of `charge`. Other connections are closed if what is kept is ordinary or has to
  // be kept. Returns false if there is no room.
  bool hold(MemoryAccount::Charge& charge, std::size_t bytes, MemoryUse use);
  // Counts the input. Returns false if there is no room.
  bool hold_input();
  void hold_output();
  void set_state(State state);
  void update_waits_for_caller();
  std::string_view unread() const { return std::string_view(input_).substr(input_start_); }
  void consume_input(std::size_t bytes);
  // Returns the time in which `bytes` arrive at the lowest rate that is accepted.
  Duration longest_transfer(std::size_t bytes) const;
  // Returns the earliest time at which what is read now may have arrived.
  Instant earliest_arrival() const;

  const HttpLoop& loop_;
  Clock clock_;
  CallerLimits limits_;
  std::uint32_t min_bytes_per_s_;
  std::shared_ptr<MemoryAccount> account_;
  HolderId holder_;
  Listener listener_;
  State state_ = State::kReadingHead;
  // When the connection was accepted or the last response ended. No request that is read later
  // counts as older.
  Instant ready_since_;
  std::uint64_t accepted_in_poll_;  // `HttpLoop::poll_count` when the connection was accepted.
  // When the connection was accepted, the last response ended, or the first byte of the current
  // request arrived, whichever was last. Timeouts are measured from here.
  Instant timeout_started_at_;
  // While a body is read: when it must be complete. Each byte that arrives extends it, at most to
  // the idle timeout from then on.
  Instant body_deadline_;
  // While the kernel has not taken a response: when the next part must have been taken.
  Instant output_deadline_;
  bool head_started_ = false;  // The first byte of a head has arrived.
  std::string input_;          // Received, from `input_start_` on not yet parsed.
  std::size_t input_start_ = 0;
  CallerRequest request_;
  MemoryAccount::Charge input_charge_;   // For the connection and `input_`.
  MemoryAccount::Charge output_charge_;  // For responses that the kernel has not taken.
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
