// Comparison of queues with the latency goals of requests.

#include "overload/admission_control.h"

#include <algorithm>
#include <cmath>

namespace bluebellstep {

double AdmissionControl::resumed_queue_ms(const AdmissionInputs& inputs) {
  const double limit_ms = kResumedGoalMultiple * static_cast<double>(inputs.latency_goal.ms);
  return inputs.resumes ? std::max(0.0, limit_ms - inputs.own_ms) : 0;
}

double AdmissionControl::max_queue_ms(const AdmissionInputs& inputs) {
  double limit_ms = kMaxGoalMultiple * static_cast<double>(inputs.latency_goal.ms);
  if (inputs.urgent_goal && *inputs.urgent_goal > Duration{0}) {
    limit_ms =
        std::min(limit_ms, kMaxUrgentGoalMultiple * static_cast<double>(inputs.urgent_goal->ms));
  }
  const double by_goal =
      std::max({kMinQueueMs, limit_ms - inputs.own_ms, resumed_queue_ms(inputs)});
  const double by_deadline =
      kMaxTimeLeftShare * static_cast<double>(inputs.time_left.ms) - inputs.own_ms;
  return std::min(by_goal, by_deadline);
}

std::optional<Duration> AdmissionControl::retry_delay(const AdmissionInputs& inputs) {
  const double excess_ms = inputs.queue_ms - max_queue_ms(inputs);
  if (excess_ms <= 0) {
    return std::nullopt;
  }
  return std::clamp(Duration{std::lround(excess_ms)}, kMinRetryDelay, kMaxRetryDelay);
}

}  // namespace bluebellstep
