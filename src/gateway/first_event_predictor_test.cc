// Tests of the prediction of first events.

#include "gateway/first_event_predictor.h"

#include <catch2/catch.hpp>

namespace bluebellstep {

// Load pattern: services whose engines prefill at different rates. Guards against a constant rate,
// with which overload is noticed too late or where there is none.
TEST_CASE("the prefill rate of a service is learnt from its responses", "[gateway][load]") {
  const double actual_rate = GENERATE(10.0, 57.0, 200.0);
  FirstEventPredictor predictor;
  const FirstEventPredictor::Work work{.tokens = 6000, .fetch_ms = 20, .other_ms = 5};
  const double actual_ms = work.tokens / actual_rate + 25 + FirstEventPredictor::kFirstTokenMs;
  for (int i = 0; i < 200; ++i) {
    predictor.record(work, Duration{static_cast<std::int64_t>(actual_ms)});
  }
  CHECK(predictor.tokens_per_ms() == Approx(actual_rate).epsilon(0.05));
  CHECK(predictor.predict_ms(work) == Approx(actual_ms).epsilon(0.05));
  CHECK(predictor.error_factor() < 1.1);
}

TEST_CASE("single responses change the rate little, and short ones not at all", "[gateway]") {
  FirstEventPredictor predictor;
  predictor.record({.tokens = 100}, Duration{5000});
  CHECK(predictor.tokens_per_ms() == FirstEventPredictor::kInitialTokensPerMs);
  predictor.record({.tokens = 6000}, Duration{60'000});
  CHECK(predictor.tokens_per_ms() > 0.8 * FirstEventPredictor::kInitialTokensPerMs);
  predictor.record({.tokens = 6000, .fetch_ms = 100}, Duration{50});  // Before the fetch could end.
  CHECK(predictor.tokens_per_ms() <= FirstEventPredictor::kInitialTokensPerMs);
}

TEST_CASE("the error of predictions is an average ratio", "[gateway]") {
  FirstEventPredictor predictor;
  CHECK(predictor.error_factor() == 1);
  for (int i = 0; i < 200; ++i) {
    const double predicted = predictor.predict_ms({.tokens = 100});
    predictor.record({.tokens = 100}, Duration{static_cast<std::int64_t>(2 * predicted)});
  }
  CHECK(predictor.error_factor() == Approx(2).epsilon(0.1));
}

}  // namespace bluebellstep
