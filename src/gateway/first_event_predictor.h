// Predicts when the first event of a stream arrives, from the prompt tokens that the engine has to
// prefill before it.
//
// Load pattern: engines of different services prefill at different rates, and the rate also depends
// on what else they run. A constant rate underestimates the wait of an overloaded service and
// overestimates that of a fast one. Therefore the rate is learnt from the responses of each
// service.

#ifndef BLUEBELLSTEP_GATEWAY_FIRST_EVENT_PREDICTOR_H_
#define BLUEBELLSTEP_GATEWAY_FIRST_EVENT_PREDICTOR_H_

#include "base/clock.h"

namespace bluebellstep {

/** The prefill rate of the engines of one service, and the error of the predictions made with it.
 */
class FirstEventPredictor {
 public:
  /** Rate before the first response, in tokens per ms. */
  static constexpr double kInitialTokensPerMs = 50;
  static constexpr double kMinTokensPerMs = 5;
  static constexpr double kMaxTokensPerMs = 500;
  /** Time from the end of the prefill to the first event. */
  static constexpr double kFirstTokenMs = 30;
  /** Responses to fewer tokens say little about the rate. */
  static constexpr double kMinLearntTokens = 1500;
  /** Weight of the newest response in the averages. */
  static constexpr double kLearningWeight = 0.05;

  /** What precedes the first event of a response. */
  struct Work {
    double tokens = 0;    // To prefill: those of the request and those queued before it.
    double fetch_ms = 0;  // Fetches of cached segments.
    double other_ms = 0;  // Waits that do not depend on the prefill rate.
  };

  double tokens_per_ms() const { return tokens_per_ms_; }

  /** Time until the first event, in ms. */
  double predict_ms(const Work& work) const {
    return work.tokens / tokens_per_ms_ + work.fetch_ms + work.other_ms + kFirstTokenMs;
  }

  /** Learns from a response whose first event arrived `elapsed` after the request was sent. */
  void record(const Work& work, Duration elapsed);

  /** Average of the ratio by which predictions were wrong, at least 1: 1.5 for predictions that
   * were two thirds of the actual time, or one and a half times it. */
  double error_factor() const;

 private:
  double tokens_per_ms_ = kInitialTokensPerMs;
  double log_error_ = 0;  // Average of the absolute logarithm of the ratio.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_FIRST_EVENT_PREDICTOR_H_
