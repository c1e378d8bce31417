// Events of a streamed answer, and the id of the attempt that generated them.

#ifndef BLUEBELLSTEP_STREAMS_STREAM_EVENT_H_
#define BLUEBELLSTEP_STREAMS_STREAM_EVENT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "base/id.h"

namespace bluebellstep {

/** Identifies one attempt of one request of an entry instance. Events of different attempts must
 * not be mixed, because each attempt may generate a different text. */
struct StreamAttemptId {
  RequestId request;
  std::uint32_t attempt = 0;

  auto operator<=>(const StreamAttemptId&) const = default;
};

/** A part of the text of an answer. */
struct StreamEvent {
  std::string text;
  std::uint32_t tokens = 0;  // Number of tokens in `text`.

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
