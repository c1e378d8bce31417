// Reads callers' requests.

#include "gateway/caller_connection.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {
namespace {

// Bytes of further requests that are read before the current response is complete.
constexpr std::size_t kMaxPipelinedBytes = 16u << 10;
// The next pipelined request is started once no more than this of the responses before it waits for
// the kernel.
constexpr std::size_t kMaxUnsentBeforeNext = 16u << 10;
// A caller may send the rest of a request that was answered early for this long.
constexpr Duration kLingerTime{2000};
// Chunks of one byte take six bytes for each byte of the body. Chunk extensions and trailers beyond
// that have no use here.
constexpr std::size_t kMaxEncodedRatio = 8;
// A request without its head and body, in this object and in the forwarder.
constexpr std::size_t kRequestBytes = 2048;
// Size to which the output must have been taken by its deadline; see `ByteStream`.
constexpr std::size_t kOutputPart = 128u << 10;

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

std::size_t head_bytes(const MessageHead& head) {
  return kRequestBytes + head.text.capacity() + head.fields.capacity() * sizeof(HeaderField);
}

}  // namespace

CallerConnection::CallerConnection(const HttpLoop& loop,
                                   h2o_socket_t* socket,
                                   CallerLimits limits,
                                   std::uint32_t min_bytes_per_s,
                                   std::shared_ptr<MemoryAccount> account,
                                   Listener listener)
    : loop_(loop),
      limits_(limits),
      min_bytes_per_s_(std::max<std::uint32_t>(1, min_bytes_per_s)),
      account_(std::move(account)),
      holder_(account_->add_holder(clock_.now())),
      listener_(std::move(listener)),
      ready_since_(clock_.now() - loop.delay()),
      accepted_in_poll_(loop.poll_count()),
      timeout_started_at_(clock_.now()),
      input_charge_(account_, holder_),
      output_charge_(account_, holder_),
      stream_(socket,
              {.on_connected = nullptr,
               .on_bytes = [this](std::string_view bytes) { on_bytes(bytes); },
               .on_sent = [this](std::size_t bytes) { on_sent(bytes); },
               .on_end = [this](StreamEnd) { listener_.on_closed(); }}) {
  static_cast<void>(hold_input());
  stream_.set_max_read(kMaxPipelinedBytes);
}

void CallerConnection::on_bytes(std::string_view bytes) {
  if (state_ == State::kClosing || state_ == State::kLingering || request_incomplete_) {
    return;
  }
  const Instant now = clock_.now();
  account_->record_progress(holder_, bytes.size(), now);
  if (state_ == State::kReadingHead && !head_started_) {
    head_started_ = true;
    timeout_started_at_ = now;
  }
  const std::weak_ptr<bool> alive = alive_;
  if (state_ == State::kReadingBody) {
    body_deadline_ =
        std::min(now + limits_.idle_timeout, body_deadline_ + longest_transfer(bytes.size()));
    bytes.remove_prefix(read_body(bytes));
    if (alive.expired() || bytes.empty()) {
      return;
    }
  }
  input_.erase(0, std::exchange(input_start_, 0));
  input_ += bytes;
  if (!hold_input()) {
    if (state_ == State::kReadingHead) {
      report_error(CallerRequestError::kNoBuffer);
    } else {
      discard();
      listener_.on_response_dropped();
    }
    return;
  }
  if (state_ != State::kReadingHead && input_.size() > kMaxPipelinedBytes) {
    // The rest of the pipelined requests stays in the socket until the response is complete.
    stream_.pause_reading();
  }
  read_requests();
}

void CallerConnection::read_requests() {
  const std::weak_ptr<bool> alive = alive_;
  if (state_ == State::kReadingHead && read_head()) {
    const std::size_t consumed = read_body(unread());
    if (alive.expired()) {
      return;
    }
    consume_input(consumed);
  }
}

bool CallerConnection::read_head() {
  // RFC 9112, section 2.2: empty lines before a request line are ignored.
  while (unread().starts_with("\r\n")) {
    consume_input(2);
  }
  if (unread().empty()) {
    return false;
  }
  auto head = std::make_unique<MessageHead>();
  std::size_t consumed = 0;
  const HeadStatus status = parse_request_head(unread(), *head, consumed);
  if (status == HeadStatus::kMalformed) {
    report_error(CallerRequestError::kMalformed);
    return false;
  }
  if ((status == HeadStatus::kIncomplete ? unread().size() : consumed) > limits_.max_header_bytes) {
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
  consume_input(consumed);
  request_ = {.head = std::move(head), .charge = {account_, holder_}};
  if (!reserve_body(length_body == nullptr ? 0 : length_body->length)) {
    report_error(CallerRequestError::kNoBuffer);
    return false;
  }
  body_decoder_.emplace(*framing);
  received_body_bytes_ = 0;
  if (!body_decoder_->complete() && unread().empty() &&
      list_contains(request_.head->find("expect").value_or(""), "100-continue")) {
    send(kContinueResponse);
  }
  body_deadline_ = timeout_started_at_ + limits_.idle_timeout;
  stream_.set_max_read(ByteStream::kMaxReadBytes);
  set_state(State::kReadingBody);
  return true;
}

bool CallerConnection::reserve_body(std::size_t bytes) {
  std::string& body = request_.body;
  const std::size_t head = head_bytes(*request_.head);
  if (bytes <= body.capacity()) {
    return hold(request_.charge, head + body.capacity(), MemoryUse::kRefusable);
  }
  // Doubled, so that a body is copied only some times, but not beyond what it can need.
  const std::size_t largest = limits_.max_body_bytes + ByteStream::kMaxReadBytes;
  std::size_t capacity = std::max(bytes, std::min(2 * body.capacity(), largest));
  if (!hold(request_.charge, head + capacity, MemoryUse::kRefusable)) {
    capacity = bytes;
    if (!hold(request_.charge, head + capacity, MemoryUse::kRefusable)) {
      return false;
    }
  }
  // A new string, since `reserve` would at least double the capacity of this one.
  std::string grown;
  grown.reserve(capacity);
  grown += body;
  body = std::move(grown);
  return true;
}

std::size_t CallerConnection::read_body(std::string_view bytes) {
  // The chunked encoding is decoded in place, behind what the body has so far.
  if (!body_decoder_->complete() &&
      request_.body.capacity() < request_.body.size() + bytes.size() && body_decoder_->chunked() &&
      !reserve_body(request_.body.size() + bytes.size())) {
    report_error(CallerRequestError::kNoBuffer);
    return bytes.size();
  }
  const BodyDecoder::Result result = body_decoder_->feed(bytes, request_.body);
  received_body_bytes_ += result.consumed;
  if (result.status == BodyDecoder::Status::kMalformed) {
    report_error(CallerRequestError::kMalformed);
    return bytes.size();
  }
  if (request_.body.size() > limits_.max_body_bytes ||
      received_body_bytes_ / kMaxEncodedRatio > limits_.max_body_bytes) {
    report_error(CallerRequestError::kBodyTooLarge);
    return bytes.size();
  }
  if (result.status == BodyDecoder::Status::kNeedMoreBytes) {
    return result.consumed;
  }
  set_state(State::kResponding);
  stream_.set_max_read(kMaxPipelinedBytes);
  ++request_count_;
  request_.arrived_at = earliest_arrival();
  listener_.on_request(std::move(request_));
  return result.consumed;
}

Duration CallerConnection::longest_transfer(std::size_t bytes) const {
  constexpr std::size_t kMsPerSecond = 1000;
  return Duration{static_cast<std::int64_t>(bytes * kMsPerSecond / min_bytes_per_s_)};
}

Instant CallerConnection::earliest_arrival() const {
  // What the first poll after the accept finds may have arrived with the connection.
  const bool first_poll = loop_.poll_count() <= accepted_in_poll_ + 1;
  return first_poll ? ready_since_ : std::max(ready_since_, clock_.now() - loop_.delay());
}

void CallerConnection::report_error(CallerRequestError error) {
  set_state(State::kResponding);
  consume_input(unread().size());
  drop_request();
  request_incomplete_ = true;
  listener_.on_request_error(error);
}

void CallerConnection::send(std::string_view bytes) {
  stream_.write(bytes);
  hold_output();
}

void CallerConnection::send(std::string head, std::shared_ptr<const std::string> body) {
  stream_.write(std::move(head), std::move(body));
  hold_output();
}

void CallerConnection::on_sent(std::size_t bytes) {
  const Instant now = clock_.now();
  account_->record_progress(holder_, bytes, now);
  output_deadline_ = now + limits_.idle_timeout + longest_transfer(kOutputPart);
  static_cast<void>(output_charge_.resize(stream_.buffered(), MemoryUse::kCommitted));
  if (state_ == State::kDraining && stream_.unsent() <= kMaxUnsentBeforeNext) {
    start_next_request(now);
  } else {
    update_waits_for_caller();
  }
}

bool CallerConnection::hold(MemoryAccount::Charge& charge, std::size_t bytes, MemoryUse use) {
  while (!charge.resize(bytes, use)) {
    const std::size_t held = account_->held(holder_) - charge.bytes() + bytes;
    const bool may_use_all = use == MemoryUse::kCommitted || held <= MemoryAccount::kOrdinaryBytes;
    if (!may_use_all || !listener_.on_no_room()) {
      return false;
    }
  }
  return true;
}

bool CallerConnection::hold_input() {
  return hold(input_charge_, kBaseBytes + input_.capacity(), MemoryUse::kCommitted);
}

void CallerConnection::hold_output() {
  if (output_charge_.bytes() == 0) {
    output_deadline_ = clock_.now() + limits_.idle_timeout + longest_transfer(kOutputPart);
  }
  if (!hold(output_charge_, stream_.buffered(), MemoryUse::kCommitted)) {
    discard();
    listener_.on_response_dropped();
    return;
  }
  update_waits_for_caller();
}

void CallerConnection::consume_input(std::size_t bytes) {
  input_start_ += bytes;
  if (input_start_ < input_.size()) {
    return;
  }
  input_start_ = 0;
  input_.clear();
  constexpr std::size_t kMaxKeptCapacity = 4096;
  if (input_.capacity() > kMaxKeptCapacity) {
    input_.shrink_to_fit();
  }
  static_cast<void>(hold_input());
}

void CallerConnection::discard() {
  state_ = State::kClosing;
  stream_.close();
  input_start_ = 0;
  input_.clear();
  input_.shrink_to_fit();
  drop_request();
  input_charge_ = {};
  output_charge_ = {};
}

bool CallerConnection::refuse_body() {
  if (state_ != State::kReadingBody) {
    return false;
  }
  report_error(CallerRequestError::kNoBuffer);
  return true;
}

void CallerConnection::drop_request() {
  // Moved out, since an assignment of an empty body would keep the memory of the old one.
  const CallerRequest dropped = std::move(request_);
}

void CallerConnection::set_state(State state) {
  state_ = state;
  update_waits_for_caller();
}

void CallerConnection::update_waits_for_caller() {
  account_->set_waits_for_caller(holder_, state_ != State::kResponding || stream_.unsent() > 0);
}

void CallerConnection::finish_response(bool close, Instant now) {
  timeout_started_at_ = now;
  if (close && request_incomplete_) {
    set_state(State::kLingering);
    return;
  }
  if (close) {
    set_state(State::kClosing);
    stream_.close_after_writes();
    return;
  }
  if (stream_.unsent() > kMaxUnsentBeforeNext) {
    set_state(State::kDraining);
    return;
  }
  start_next_request(now);
}

void CallerConnection::start_next_request(Instant now) {
  ready_since_ = now;
  timeout_started_at_ = now;
  head_started_ = !unread().empty();
  set_state(State::kReadingHead);
  stream_.resume_reading();
  read_requests();
}

bool CallerConnection::check_timeouts(const CallerLimits& limits, Instant now) {
  limits_ = limits;
  switch (state_) {
    case State::kResponding:
    case State::kDraining:
      return stream_.unsent() == 0 || now < output_deadline_;
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
    case State::kReadingBody:
      if (now >= body_deadline_) {
        report_error(CallerRequestError::kTimeout);
      }
      return true;
  }
  if (now >= timeout_started_at_ + limits_.header_timeout) {
    report_error(CallerRequestError::kTimeout);
  }
  return true;
}

}  // namespace bluebellstep
