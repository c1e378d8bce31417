// Detects from the behaviour of an upstream that it has become cold: that it has restarted or lost
// its cache.

#ifndef BLUEBELLSTEP_ADMISSION_COLD_DETECTOR_H_
#define BLUEBELLSTEP_ADMISSION_COLD_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace bluebellstep {

/** Observation from which it follows that an upstream became cold. */
enum class ColdSignal : std::uint8_t {
  kConnectionFailed,  // A connection was refused or reset.
  kStartIdChanged,    // An answer carried a new start id.
  kBlocksMissing,     // No block was reused although some were known to be in the cache.
  kSlowFirstTokens,   // Consecutive first tokens took much longer than predicted.
};

/** Returns the name used in logs, for example "start_id_changed". */
std::string_view to_string(ColdSignal signal);

/** Observations at the first token of a request. */
struct FirstTokenReport {
  /** The engine's start id; empty if the upstream reports none. */
  std::string_view start_id;
  /** Blocks of the prompt that, at dispatch, the sidecar knew to be in the engine's cache. */
  std::uint32_t known_blocks = 0;
  /** Blocks of the prompt that the engine reports as reused. */
  std::uint32_t reused_blocks = 0;
  /** Time from dispatch to the first token. */
  Duration elapsed;
  /** Predicted value of `elapsed` at dispatch; zero if there was no prediction. */
  Duration predicted;
};

/** Detects a cold upstream from its answers. The state that the upstream itself reports lags behind
 * and is not used. */
class ColdDetector {
 public:
  /** Number of consecutive late first tokens that counts as a signal. */
  static constexpr std::uint32_t kSlowTokensForSignal = 3;

  /** A first token is late if it took more than this multiple of the predicted time. */
  static constexpr std::int64_t kSlowFirstTokenFactor = 4;

  /** Evaluates a first token and returns the signal that it gives, if any. `kBlocksMissing` is
   * returned only if `check_reused_blocks` is set, and `kSlowFirstTokens` only if `check_latency`
   * is set; see `AdmissionController::first_token`. */
  std::optional<ColdSignal> first_token(const FirstTokenReport& report,
                                        bool check_reused_blocks,
                                        bool check_latency);

  /** Resets the number of consecutive late first tokens. Start ids are kept. */
  void reset() { consecutive_slow_tokens_ = 0; }

 private:
  // Answers of an earlier incarnation can arrive after the first answer of the next one. Earlier
  // start ids are kept so that such an answer is not mistaken for another restart.
  static constexpr std::size_t kMaxStartIds = 8;

  bool is_new_incarnation(std::string_view start_id);

  std::deque<std::string> start_ids_;  // In order of first use.
  std::uint32_t consecutive_slow_tokens_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ADMISSION_COLD_DETECTOR_H_
