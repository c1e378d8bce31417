// One connection from a caller: reads requests one at a time and sends their responses.

#ifndef BLUEBELLSTEP_GATEWAY_CALLER_CONNECTION_H_
#define BLUEBELLSTEP_GATEWAY_CALLER_CONNECTION_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/id.h"
#include "gateway/serving_config.h"
#include "http1/byte_stream.h"
#include "http1/message_parser.h"

namespace bluebellstep {

using CallerConnectionId = Id<struct CallerConnectionTag, std::uint64_t>;

/** A whole request of a caller. */
struct CallerRequest {
  std::unique_ptr<MessageHead> head;
  std::string body;
};

/** Why a connection does not go on to a request. */
enum class CallerRequestError {
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kTimeout,
};

class CallerConnection {
 public:
  struct Listener {
    std::function<void(CallerRequest)> on_request;
    std::function<void(CallerRequestError)> on_fault;  // Answer it and close.
    std::function<void()> on_gone;                     // The caller closed; destroy this.
  };

  CallerConnection(h2o_socket_t* socket, CallerLimits limits, Instant now, Listener listener);

  /** Sends bytes of the response to the current request. */
  void send(std::string_view bytes) { stream_.write(bytes); }

  /** The response is complete: goes on with the next request, or closes. */
  void response_done(bool close, Instant now);

  /** Checks the time limits; to be called about twice a second. Returns false if the connection is
   * idle and should be destroyed. */
  bool check_time(const CallerLimits& limits, Instant now);

  bool serving() const { return state_ == State::kServing; }
  /** Nothing of a further request has arrived. */
  bool idle() const { return state_ == State::kHead && input_.empty(); }
  std::size_t unsent() const { return stream_.unsent(); }
  std::uint64_t requests() const { return requests_; }

 private:
  enum class State { kHead, kBody, kServing, kClosing };

  void on_bytes(std::string_view bytes);
  void read_next();
  bool read_head();
  bool read_body();
  void fault(CallerRequestError fault);

  CallerLimits limits_;
  Listener listener_;
  State state_ = State::kHead;
  Instant since_;         // When the current state began, or the first byte of a head arrived.
  bool started_ = false;  // Some of the head has arrived.
  std::string input_;
  CallerRequest message_;
  std::optional<BodyDecoder> body_;
  std::uint64_t requests_ = 0;
  Clock clock_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  ByteStream stream_;  // The last member: its callbacks use the others.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CALLER_CONNECTION_H_
