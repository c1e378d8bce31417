// Reading of callers' requests.

#include "gateway/caller_connection.h"

#include <utility>

namespace bluebellstep {
namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

CallerConnection::CallerConnection(h2o_socket_t* socket,
                                   CallerLimits limits,
                                   Instant now,
                                   Listener listener)
    : limits_(limits),
      listener_(std::move(listener)),
      since_(now),
      stream_(socket,
              {.on_connected = nullptr,
               .on_bytes = [this](std::string_view bytes) { on_bytes(bytes); },
               .on_end = [this](StreamEnd) { listener_.on_gone(); }}) {}

void CallerConnection::on_bytes(std::string_view bytes) {
  if (state_ == State::kClosing) {
    return;
  }
  if (state_ == State::kHead && !started_) {
    started_ = true;
    since_ = clock_.now();
  }
  if (state_ == State::kServing &&
      input_.size() + bytes.size() > limits_.max_header_bytes + limits_.max_body_bytes) {
    // Requests that are sent ahead of their turn are bounded as one request is.
    listener_.on_gone();
    return;
  }
  input_ += bytes;
  read_next();
}

void CallerConnection::read_next() {
  const std::weak_ptr<bool> alive = alive_;
  while (!alive.expired() && ((state_ == State::kHead && read_head()) ||
                              (!alive.expired() && state_ == State::kBody && read_body()))) {
  }
}

bool CallerConnection::read_head() {
  // Empty lines before a request are allowed.
  while (input_.starts_with("\r\n")) {
    input_.erase(0, 2);
  }
  if (input_.empty()) {
    return false;
  }
  auto head = std::make_unique<MessageHead>();
  std::size_t used = 0;
  const HeadStatus status = parse_request_head(input_, *head, used);
  if (status == HeadStatus::kMalformed) {
    fault(CallerRequestError::kMalformed);
    return false;
  }
  if ((status == HeadStatus::kIncomplete ? input_.size() : used) > limits_.max_header_bytes) {
    fault(CallerRequestError::kHeadTooLarge);
    return false;
  }
  if (status == HeadStatus::kIncomplete) {
    return false;
  }
  const auto framing = request_framing(*head);
  if (!framing) {
    fault(CallerRequestError::kMalformed);
    return false;
  }
  const auto* sized = std::get_if<LengthBody>(&*framing);
  if (sized != nullptr && sized->length > limits_.max_body_bytes) {
    fault(CallerRequestError::kBodyTooLarge);
    return false;
  }
  input_.erase(0, used);
  body_.emplace(*framing);
  if (!body_->complete() && input_.empty() &&
      list_contains(head->find("expect").value_or(""), "100-continue")) {
    stream_.write(kContinue);
  }
  message_ = {.head = std::move(head)};
  state_ = State::kBody;
  return true;
}

bool CallerConnection::read_body() {
  const BodyDecoder::Result result = body_->feed(input_, message_.body);
  input_.erase(0, result.used);
  if (result.status == BodyDecoder::Status::kMalformed) {
    fault(CallerRequestError::kMalformed);
    return false;
  }
  if (message_.body.size() > limits_.max_body_bytes) {
    fault(CallerRequestError::kBodyTooLarge);
    return false;
  }
  if (result.status == BodyDecoder::Status::kMore) {
    return false;
  }
  state_ = State::kServing;
  ++requests_;
  listener_.on_request(std::move(message_));
  return false;
}

void CallerConnection::fault(CallerRequestError fault) {
  state_ = State::kServing;
  input_.clear();
  listener_.on_fault(fault);
}

void CallerConnection::response_done(bool close, Instant now) {
  since_ = now;
  started_ = !input_.empty();
  if (close) {
    state_ = State::kClosing;
    stream_.close_after_writes();
    return;
  }
  state_ = State::kHead;
  read_next();
}

bool CallerConnection::check_time(const CallerLimits& limits, Instant now) {
  limits_ = limits;
  switch (state_) {
    case State::kServing:
      return true;
    case State::kClosing:
      // A caller that does not take its response is not waited for.
      return !stream_.ended() && now < since_ + limits_.idle_timeout;
    case State::kHead:
      if (!started_) {
        return now < since_ + limits_.idle_timeout;
      }
      break;
    case State::kBody:
      if (now >= since_ + limits_.idle_timeout) {
        fault(CallerRequestError::kTimeout);
      }
      return true;
  }
  if (now >= since_ + limits_.header_timeout) {
    fault(CallerRequestError::kTimeout);
  }
  return true;
}

}  // namespace bluebellstep
