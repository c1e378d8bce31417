// Decides whether a request to an engine is sent or refused under overload.
//
// Load pattern: the prompts that arrive need more prefill than the engines in service can do, for
// example while a quarter of them is down and the caches are cold. If all requests are sent, the
// queues of the engines grow until every first token is late and requests end at their deadline,
// short ones behind long ones. Therefore a request is refused at once if no engine is expected to
// answer it in time, so that those that are sent are answered in time.

#ifndef BLUEBELLSTEP_OVERLOAD_ADMISSION_CONTROL_H_
#define BLUEBELLSTEP_OVERLOAD_ADMISSION_CONTROL_H_

#include <optional>

#include "base/clock.h"

namespace bluebellstep {

/** What the decision on one request is based on. Times in ms. */
struct AdmissionInputs {
  double queue_ms = 0;       // Expected wait at the best engine before it starts on the request.
  double own_ms = 0;         // Expected time from then to the first event.
  Duration latency_goal{0};  // Time within which the first event is due.
  // Latency goal of the most urgent requests, if this one is less urgent.
  std::optional<Duration> urgent_goal;
  Duration time_left{0};  // Until the deadline.
  // Under half of the engine's slots are taken and nothing waits there, as far as is known. Such an
  // engine is refused to no request that can be answered before its deadline.
  bool has_idle_slots = false;
  // The caller has got the first part of the answer and takes the stream up.
  bool resumes = false;
};

/** Limits queues by the latency goals of requests. */
class AdmissionControl {
 public:
  /** A request is sent if its first event is expected within this multiple of its latency goal. */
  static constexpr double kMaxGoalMultiple = 1.0;
  /** The queue behind a less urgent request must not exceed this multiple of the urgent goal, so
   * that urgent requests still find engines with a short queue. */
  static constexpr double kMaxUrgentGoalMultiple = 1.2;
  /** A queue of this length is accepted in any case, so that prompts whose own prefill takes as
   * long as the goal are not starved by others. */
  static constexpr double kMinQueueMs = 120;
  /** A stream that a caller takes up is sent if its next event is expected within this multiple of
   * the latency goal. Its caller waits longer than for a first event, and often no other engine may
   * continue it; see docs/design/stream-versions.md. */
  static constexpr double kResumedGoalMultiple = 1.5;
  /** Part of the time left within which the first event must be expected. */
  static constexpr double kMaxTimeLeftShare = 0.8;
  static constexpr Duration kMinRetryDelay{300};
  static constexpr Duration kMaxRetryDelay{2000};

  /** Returns the longest queue with which a request is sent, in ms. */
  static double max_queue_ms(const AdmissionInputs& inputs);

  /** Returns the same for a stream that a caller takes up, except for the deadline; 0 for others.
   */
  static double resumed_queue_ms(const AdmissionInputs& inputs);

  /** Returns nothing if the request is sent. Otherwise it is refused, and the result is the time
   * after which the queue is expected to be short enough. */
  static std::optional<Duration> retry_delay(const AdmissionInputs& inputs);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_OVERLOAD_ADMISSION_CONTROL_H_
