// Reading of responses.

#include "gateway/upstream_connection.h"

#include <utility>

namespace bluebellstep {
namespace {

// A response head above this size is not one of an upstream.
constexpr std::size_t kMaxHeadBytes = 64u << 10;

}  // namespace

UpstreamConnection::UpstreamConnection(h2o_loop_t* loop,
                                       const Endpoint& endpoint,
                                       RequestIdReader id_of)
    : id_of_(std::move(id_of)),
      stream_(loop,
              endpoint,
              {.on_connected = nullptr,
               .on_bytes = [this](std::string_view bytes) { on_bytes(bytes); },
               .on_end = [this](StreamEnd how) { on_stream_end(how); }}) {}

void UpstreamConnection::call(std::string_view head,
                              std::string_view body,
                              std::string_view method,
                              std::string_view request_id,
                              Listener listener) {
  listener_ = std::move(listener);
  method_ = method;
  request_id_ = request_id;
  busy_ = true;
  skipping_ = false;
  head_.reset();
  body_.reset();
  ++calls_;
  std::string message(head);
  message += body;
  stream_.write(message);
}

void UpstreamConnection::on_bytes(std::string_view bytes) {
  if (!busy_) {
    // An idle upstream has nothing to say: a late second answer, or not HTTP.
    usable_ = false;
    stream_.close_after_writes();
    return;
  }
  input_ += bytes;
  const std::weak_ptr<bool> alive = alive_;
  while (!alive.expired() && busy_ && (body_ ? read_body() : read_head())) {
  }
}

// Each of the two returns whether there may be more to read.
bool UpstreamConnection::read_head() {
  MessageHead head;
  std::size_t used = 0;
  switch (parse_response_head(input_, head, used)) {
    case HeadStatus::kIncomplete:
      if (input_.size() > kMaxHeadBytes) {
        finish(CallOutcome::kBroken, "head_too_large");
      }
      return false;
    case HeadStatus::kMalformed:
      finish(CallOutcome::kBroken, "not_http");
      return false;
    case HeadStatus::kComplete:
      break;
  }
  input_.erase(0, used);
  if (head.status >= 100 && head.status < 200) {
    return true;  // An interim response; the final one follows.
  }
  const auto framing = response_framing(head, method_);
  if (!framing) {
    finish(CallOutcome::kBroken, "bad_framing");
    return false;
  }
  const std::string_view id = id_of_(head);
  // A response without an id can only be trusted where no other request was on the connection.
  skipping_ = id != request_id_ && !(id.empty() && calls_ == 1);
  body_.emplace(*framing);
  if (skipping_) {
    usable_ = false;
    return true;
  }
  if (std::holds_alternative<UntilCloseBody>(*framing)) {
    usable_ = false;
  }
  const std::weak_ptr<bool> alive = alive_;
  listener_.on_head(head);
  return !alive.expired();
}

bool UpstreamConnection::read_body() {
  std::string content;
  const BodyDecoder::Result result = body_->feed(input_, content);
  input_.erase(0, result.used);
  if (result.status == BodyDecoder::Status::kMalformed) {
    finish(CallOutcome::kBroken, "bad_chunk");
    return false;
  }
  const std::weak_ptr<bool> alive = alive_;
  if (!skipping_ && !content.empty()) {
    listener_.on_content(content);
    if (alive.expired() || !busy_) {
      return false;
    }
  }
  if (result.status == BodyDecoder::Status::kMore) {
    return false;
  }
  body_.reset();
  if (skipping_) {
    skipping_ = false;
    return true;
  }
  // Bytes after the response, or a response before the request was sent whole.
  if (!input_.empty() || stream_.unsent() > 0) {
    usable_ = false;
  }
  finish(CallOutcome::kComplete, "");
  return false;
}

void UpstreamConnection::on_stream_end(StreamEnd how) {
  usable_ = false;
  if (!busy_) {
    return;
  }
  if (how == StreamEnd::kNotReached) {
    finish(CallOutcome::kNotReached, "connect_failed");
    return;
  }
  const bool whole =
      how == StreamEnd::kClosed && body_ && body_->ends_with_connection() && !skipping_;
  finish(whole ? CallOutcome::kComplete : CallOutcome::kBroken,
         how == StreamEnd::kClosed ? "closed_early" : "reset");
}

void UpstreamConnection::finish(CallOutcome end, std::string_view why) {
  busy_ = false;
  if (end != CallOutcome::kComplete) {
    usable_ = false;
  }
  const Listener listener = std::exchange(listener_, {});
  listener.on_end(end, why);
}

}  // namespace bluebellstep
