// Averages of the times of requests.

#include "upstream_speed/request_time.h"

#include <algorithm>
#include <cmath>

namespace bluebellstep {

double RequestTime::expect_ms(std::string_view route) const {
  const auto found = routes_.find(route);
  return found == routes_.end() ? all_.ms : found->second.ms;
}

// Adds to the average of logarithms, so that single answers that took much too long weigh the same
// as those that were much too fast.
void RequestTime::Mean::add(double sample_ms) {
  ++count;
  const double weight = std::max(kLearningWeight, 1.0 / count);
  ms *= std::exp(weight * std::log(std::clamp(sample_ms, kMinMs, kMaxMs) / ms));
}

void RequestTime::record(std::string_view route, double actual_ms) {
  all_.add(actual_ms);
  auto found = routes_.find(route);
  if (found == routes_.end()) {
    if (routes_.size() >= kMaxRoutes) {
      return;
    }
    found = routes_.emplace(route, Mean{}).first;
  }
  found->second.add(actual_ms);
}

}  // namespace bluebellstep
