// One connection to an upstream, with one call at a time.

#ifndef BLUEBELLSTEP_GATEWAY_UPSTREAM_CONNECTION_H_
#define BLUEBELLSTEP_GATEWAY_UPSTREAM_CONNECTION_H_

#include <h2o.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http1/byte_stream.h"
#include "http1/message_parser.h"

namespace bluebellstep {

/** How a call on a connection ended. */
enum class CallOutcome {
  kComplete,    // The whole response arrived.
  kBroken,      // The request may have run; the response is missing or incomplete.
  kNotReached,  // No connection was established; nothing was sent.
};

/**
 * A kept connection. A response that carries the id of another request, such as a late second
 * answer, is read and dropped. Bytes that no request asked for make the connection unusable.
 */
class UpstreamConnection {
 public:
  struct Listener {
    std::function<void(const MessageHead&)> on_head;
    std::function<void(std::string_view content)> on_content;
    std::function<void(CallOutcome, std::string_view why)> on_end;  // Once; no callback follows.
  };

  /** Returns the request id that a response head carries; empty if none. */
  using RequestIdReader = std::function<std::string_view(const MessageHead&)>;

  UpstreamConnection(h2o_loop_t* loop, const Endpoint& endpoint, RequestIdReader id_of);

  /** Sends a request. Only while idle. The listener's callbacks may destroy this. */
  void call(std::string_view head,
            std::string_view body,
            std::string_view method,
            std::string_view request_id,
            Listener listener);

  bool established() const { return stream_.connected(); }
  /** No call is under way, and another one may be sent. */
  bool idle() const { return !busy_ && usable_; }
  bool usable() const { return usable_; }
  /** Calls sent so far, the current one included. */
  int calls() const { return calls_; }

  /** The upstream will close the connection after the current response. */
  void set_unusable() { usable_ = false; }

 private:
  void on_bytes(std::string_view bytes);
  void on_stream_end(StreamEnd how);
  bool read_head();
  bool read_body();
  void finish(CallOutcome end, std::string_view why);

  RequestIdReader id_of_;
  Listener listener_;
  std::string input_;  // Received and not yet parsed.
  std::string method_;
  std::string request_id_;
  std::optional<MessageHead> head_;  // Of the response that is being read.
  std::optional<BodyDecoder> body_;
  bool skipping_ = false;  // The response being read belongs to another request.
  bool busy_ = false;
  bool usable_ = true;
  int calls_ = 0;
  // Expires with this, to notice that a callback destroyed it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  ByteStream stream_;  // The last member: its callbacks use the others.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_UPSTREAM_CONNECTION_H_
