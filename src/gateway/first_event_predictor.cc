// Averages of the prefill rate and of the prediction error.

#include "gateway/first_event_predictor.h"

#include <algorithm>
#include <cmath>

namespace bluebellstep {

void FirstEventPredictor::record(const Work& work, Duration elapsed) {
  const double actual_ms = std::max(1.0, static_cast<double>(elapsed.ms));
  const double error = std::abs(std::log(actual_ms / predict_ms(work)));
  log_error_ += kLearningWeight * (error - log_error_);
  const double prefill_ms = actual_ms - work.fetch_ms - work.other_ms - kFirstTokenMs;
  // A response that came before its fetches could end tells nothing about the prefill.
  if (work.tokens < kMinLearntTokens || prefill_ms < 1) {
    return;
  }
  const double sample = std::clamp(work.tokens / prefill_ms, kMinTokensPerMs, kMaxTokensPerMs);
  // The average of logarithms, so that single responses that were much too slow or too fast weigh
  // the same.
  tokens_per_ms_ *= std::exp(kLearningWeight * std::log(sample / tokens_per_ms_));
}

double FirstEventPredictor::error_factor() const {
  return std::exp(log_error_);
}

}  // namespace bluebellstep
