// Reads callers' requests.

#include "gateway/caller_connection.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {
namespace {

// A body may take the idle timeout and the time that its bytes take at this rate: slow but steady
// callers are served, and those that send a byte now and then are not.
constexpr std::size_t kMinUploadBytesPerMs = 1;

// Bytes of further requests that are read before the current response is complete.
constexpr std::size_t kMaxPipelinedBytes = 16u << 10;
// A caller may send the rest of a request that was answered early for this long.
constexpr Duration kLingerTime{2000};

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

CallerConnection::CallerConnection(const HttpLoop& loop,
                                   h2o_socket_t* socket,
                                   CallerLimits limits,
                                   std::shared_ptr<BufferBudget> buffer_budget,
                                   Listener listener)
    : loop_(loop),
      limits_(limits),
      buffer_budget_(std::move(buffer_budget)),
      listener_(std::move(listener)),
      ready_since_(clock_.now() - loop.delay()),
      accepted_in_poll_(loop.poll_count()),
      timeout_started_at_(clock_.now()),
      stream_(socket,
              {.on_connected = nullptr,
               .on_bytes = [this](std::string_view bytes) { on_bytes(bytes); },
               .on_end = [this](StreamEnd) { listener_.on_closed(); }}) {}

void CallerConnection::on_bytes(std::string_view bytes) {
  if (state_ == State::kClosing || state_ == State::kLingering || request_incomplete_) {
    return;
  }
  if (state_ == State::kReadingHead && !head_started_) {
    head_started_ = true;
    timeout_started_at_ = clock_.now();
  }
  input_ += bytes;
  if (state_ == State::kResponding && input_.size() > kMaxPipelinedBytes) {
    // The rest of the pipelined requests stays in the socket until the response is complete.
    stream_.pause_reading();
  }
  read_requests();
}

void CallerConnection::read_requests() {
  const std::weak_ptr<bool> alive = alive_;
  while (!alive.expired() && ((state_ == State::kReadingHead && read_head()) ||
                              (!alive.expired() && state_ == State::kReadingBody && read_body()))) {
  }
}

bool CallerConnection::read_head() {
  // RFC 9112, section 2.2: empty lines before a request line are ignored.
  while (input_.starts_with("\r\n")) {
    input_.erase(0, 2);
  }
  if (input_.empty()) {
    return false;
  }
  auto head = std::make_unique<MessageHead>();
  std::size_t consumed = 0;
  const HeadStatus status = parse_request_head(input_, *head, consumed);
  if (status == HeadStatus::kMalformed) {
    report_error(CallerRequestError::kMalformed);
    return false;
  }
  if ((status == HeadStatus::kIncomplete ? input_.size() : consumed) > limits_.max_header_bytes) {
    report_error(CallerRequestError::kHeadTooLarge);
    return false;
  }
  if (status == HeadStatus::kIncomplete) {
    return false;
  }
  const auto framing = request_framing(*head);
  if (!framing) {
    report_error(CallerRequestError::kMalformed);
    return false;
  }
  const auto* length_body = std::get_if<LengthBody>(&*framing);
  if (length_body != nullptr && length_body->length > limits_.max_body_bytes) {
    report_error(CallerRequestError::kBodyTooLarge);
    return false;
  }
  BufferBudget::Reservation reservation(buffer_budget_);
  if (length_body != nullptr && !reservation.grow_to(length_body->length)) {
    report_error(CallerRequestError::kNoBuffer);
    return false;
  }
  input_.erase(0, consumed);
  body_decoder_.emplace(*framing);
  received_body_bytes_ = 0;
  if (!body_decoder_->complete() && input_.empty() &&
      list_contains(head->find("expect").value_or(""), "100-continue")) {
    stream_.write(kContinueResponse);
  }
  request_ = {.head = std::move(head), .reservation = std::move(reservation)};
  if (length_body != nullptr) {
    request_.body.reserve(length_body->length);
  }
  state_ = State::kReadingBody;
  return true;
}

bool CallerConnection::read_body() {
  const BodyDecoder::Result result = body_decoder_->feed(input_, request_.body);
  input_.erase(0, result.consumed);
  received_body_bytes_ += result.consumed;
  if (result.status == BodyDecoder::Status::kMalformed) {
    report_error(CallerRequestError::kMalformed);
    return false;
  }
  if (request_.body.size() > limits_.max_body_bytes) {
    report_error(CallerRequestError::kBodyTooLarge);
    return false;
  }
  if (!request_.reservation.grow_to(request_.body.size())) {
    report_error(CallerRequestError::kNoBuffer);
    return false;
  }
  if (result.status == BodyDecoder::Status::kNeedMoreBytes) {
    return false;
  }
  state_ = State::kResponding;
  ++request_count_;
  request_.arrived_at = earliest_arrival();
  listener_.on_request(std::move(request_));
  return false;
}

Instant CallerConnection::earliest_arrival() const {
  // What the first poll after the accept finds may have arrived with the connection.
  const bool first_poll = loop_.poll_count() <= accepted_in_poll_ + 1;
  return first_poll ? ready_since_ : std::max(ready_since_, clock_.now() - loop_.delay());
}

void CallerConnection::report_error(CallerRequestError error) {
  state_ = State::kResponding;
  input_.clear();
  request_ = {};
  request_incomplete_ = true;
  listener_.on_request_error(error);
}

void CallerConnection::finish_response(bool close, Instant now) {
  ready_since_ = now;
  timeout_started_at_ = now;
  head_started_ = !input_.empty();
  if (close && request_incomplete_) {
    state_ = State::kLingering;
    return;
  }
  if (close) {
    state_ = State::kClosing;
    stream_.close_after_writes();
    return;
  }
  state_ = State::kReadingHead;
  stream_.resume_reading();
  read_requests();
}

bool CallerConnection::check_timeouts(const CallerLimits& limits, Instant now) {
  limits_ = limits;
  switch (state_) {
    case State::kResponding:
      return true;
    case State::kLingering:
      return now < timeout_started_at_ + kLingerTime;
    case State::kClosing:
      // Limits the wait for a caller that does not read the rest of its response.
      return !stream_.ended() && now < timeout_started_at_ + limits_.idle_timeout;
    case State::kReadingHead:
      if (!head_started_) {
        return now < timeout_started_at_ + limits_.idle_timeout;
      }
      break;
    case State::kReadingBody: {
      const Duration transfer_time{
          static_cast<std::int64_t>(received_body_bytes_ / kMinUploadBytesPerMs)};
      if (now >= timeout_started_at_ + limits_.idle_timeout + transfer_time) {
        report_error(CallerRequestError::kTimeout);
      }
      return true;
    }
  }
  if (now >= timeout_started_at_ + limits_.header_timeout) {
    report_error(CallerRequestError::kTimeout);
  }
  return true;
}

}  // namespace bluebellstep
