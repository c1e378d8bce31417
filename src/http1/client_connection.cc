// Writes requests, reads responses and matches them by request id.

#include "http1/client_connection.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {
namespace {

// A faulty server may send interim responses, or a response to another request, without end.
constexpr int kMaxInterimResponses = 16;
constexpr std::size_t kMaxDiscardedBytes = 1u << 20;

}  // namespace

ClientConnection::ClientConnection(h2o_loop_t* loop,
                                   const Endpoint& endpoint,
                                   RequestIdReader read_request_id)
    : read_request_id_(std::move(read_request_id)),
      stream_(loop,
              endpoint,
              {.on_connected = [this] { on_connected(); },
               .on_bytes = [this](std::string_view bytes) { on_bytes(bytes); },
               .on_end = [this](StreamEnd stream_end) { on_stream_end(stream_end); }}) {
  // A server may answer before it has read the request, and then reset the connection.
  stream_.set_reads_after_write_error();
}

void ClientConnection::send_request(std::string head,
                                    std::shared_ptr<const std::string> body,
                                    std::string_view method,
                                    std::string_view request_id,
                                    Listener listener) {
  listener_ = std::move(listener);
  request_method_ = method;
  request_id_ = request_id;
  request_in_flight_ = true;
  discarding_response_ = false;
  discarded_bytes_ = 0;
  interim_responses_ = 0;
  body_decoder_.reset();
  ++request_count_;
  stream_.write(std::move(head), std::move(body));
}

void ClientConnection::close() {
  request_in_flight_ = false;
  reusable_ = false;
  stream_.close();
}

void ClientConnection::on_connected() {
  if (request_in_flight_) {
    listener_.on_connected();
  }
}

void ClientConnection::on_bytes(std::string_view bytes) {
  if (!request_in_flight_) {
    // No response is expected: this is a late second response, or not HTTP.
    reusable_ = false;
    stream_.close_after_writes();
    return;
  }
  const std::weak_ptr<bool> alive = alive_;
  input_ += bytes;
  has_further_input_ = bytes.size() == ByteStream::kMaxReadBytes && stream_.has_unread_bytes();
  while (!alive.expired() && request_in_flight_ && (body_decoder_ ? read_body() : read_head())) {
  }
}

// This and `read_body` return whether the remaining input may contain more of a response.
bool ClientConnection::read_head() {
  MessageHead head;
  std::size_t consumed = 0;
  switch (parse_response_head(input_, head, consumed)) {
    case HeadStatus::kIncomplete:
      if (input_.size() > kMaxHeadBytes) {
        finish(ExchangeOutcome::kBroken, "head_too_large");
      }
      return false;
    case HeadStatus::kMalformed:
      finish(ExchangeOutcome::kBroken, "not_http");
      return false;
    case HeadStatus::kComplete:
      break;
  }
  if (consumed > kMaxHeadBytes) {
    finish(ExchangeOutcome::kBroken, "head_too_large");
    return false;
  }
  input_.erase(0, consumed);
  if (head.status >= 100 && head.status < 200) {
    if (++interim_responses_ > kMaxInterimResponses) {
      finish(ExchangeOutcome::kBroken, "too_many_interim_responses");
      return false;
    }
    return true;  // The final response follows.
  }
  const auto framing = response_framing(head, request_method_);
  if (!framing) {
    finish(ExchangeOutcome::kBroken, "bad_framing");
    return false;
  }
  if (read_request_id_) {
    const std::string_view id = read_request_id_(head);
    // A response without an id is accepted only for the first request on the connection, since
    // after that it could belong to an earlier one.
    discarding_response_ = id != request_id_ && !(id.empty() && request_count_ == 1);
  }
  body_decoder_.emplace(*framing);
  if (discarding_response_) {
    reusable_ = false;
    return true;
  }
  if (std::holds_alternative<UntilCloseBody>(*framing)) {
    reusable_ = false;
  }
  const std::weak_ptr<bool> alive = alive_;
  listener_.on_head(head);
  return !alive.expired();
}

bool ClientConnection::read_body() {
  std::string content;
  const BodyDecoder::Result result = body_decoder_->feed(input_, content);
  input_.erase(0, result.consumed);
  if (result.status == BodyDecoder::Status::kMalformed) {
    finish(ExchangeOutcome::kBroken, "bad_chunk");
    return false;
  }
  discarded_bytes_ += discarding_response_ ? content.size() : 0;
  if (discarded_bytes_ > kMaxDiscardedBytes) {
    finish(ExchangeOutcome::kBroken, "response_to_another_request_too_large");
    return false;
  }
  const std::weak_ptr<bool> alive = alive_;
  if (!discarding_response_ && !content.empty()) {
    listener_.on_content(content);
    if (alive.expired() || !request_in_flight_) {
      return false;
    }
  }
  if (result.status == BodyDecoder::Status::kNeedMoreBytes) {
    return false;
  }
  body_decoder_.reset();
  if (discarding_response_) {
    discarding_response_ = false;
    return true;
  }
  // The server sent bytes after the response, or responded before it had the complete request.
  if (!input_.empty() || has_further_input_ || stream_.unsent() > 0) {
    reusable_ = false;
  }
  finish(ExchangeOutcome::kComplete, "");
  return false;
}

void ClientConnection::on_stream_end(StreamEnd stream_end) {
  reusable_ = false;
  if (!request_in_flight_) {
    return;
  }
  if (stream_end == StreamEnd::kNotReached) {
    finish(ExchangeOutcome::kNotReached, "connect_failed");
    return;
  }
  const bool complete = stream_end == StreamEnd::kClosed && body_decoder_ &&
                        body_decoder_->ends_with_connection() && !discarding_response_;
  finish(complete ? ExchangeOutcome::kComplete : ExchangeOutcome::kLost,
         stream_end == StreamEnd::kClosed ? "closed_early" : "reset");
}

void ClientConnection::finish(ExchangeOutcome outcome, std::string_view reason) {
  request_in_flight_ = false;
  if (outcome != ExchangeOutcome::kComplete) {
    reusable_ = false;
  }
  const Listener listener = std::exchange(listener_, {});
  listener.on_end(outcome, reason);
}

}  // namespace bluebellstep
