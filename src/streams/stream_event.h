// Events of a streamed answer and the attempt that they belong to.

#ifndef BLUEBELLSTEP_STREAMS_STREAM_EVENT_H_
#define BLUEBELLSTEP_STREAMS_STREAM_EVENT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "base/id.h"

namespace bluebellstep {

/** One attempt of one request of an entry instance. Events of other attempts are never mixed in,
 * since another attempt may have generated another text. */
struct StreamAttemptId {
  RequestId request;
  std::uint32_t attempt = 0;

  auto operator<=>(const StreamAttemptId&) const = default;
};

/** A piece of an answer. */
struct StreamEvent {
  std::string text;
  std::uint32_t tokens = 0;

  bool operator==(const StreamEvent&) const = default;
};

}  // namespace bluebellstep

template <>
struct std::hash<bluebellstep::StreamAttemptId> {
  std::size_t operator()(const bluebellstep::StreamAttemptId& attempt_id) const {
    return std::hash<std::uint64_t>{}(attempt_id.request.value * 31 + attempt_id.attempt);
  }
};

#endif  // BLUEBELLSTEP_STREAMS_STREAM_EVENT_H_
