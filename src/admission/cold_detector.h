// Detects from its behaviour that an upstream has turned cold.

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

/** What showed that an upstream turned cold. */
enum class ColdSignal : std::uint8_t {
  kConnectionFailed,  // A connection was refused or reset.
  kStartIdChanged,    // An answer carried a start id not seen before.
  kBlocksMissing,     // No block was reused although blocks were known to be present.
  kSlowFirstTokens,   // Several first tokens in a row came much later than predicted.
};

/** Returns the name used in logs, for example "start_id_changed". */
std::string_view to_string(ColdSignal signal);

/** What the first token of a request tells about the upstream. */
struct FirstTokenReport {
  /** The engine's start id; empty if the upstream reports none. */
  std::string_view start_id;
  /** Blocks that the sidecar knew to be in the engine's cache at dispatch. */
  std::uint32_t known_blocks = 0;
  /** Blocks that the engine reports as reused. */
  std::uint32_t reused_blocks = 0;
  /** Time from dispatch to the first token. */
  Duration elapsed;
  /** The time expected at dispatch; zero if there was no prediction. */
  Duration predicted;
};

/** Judges an upstream by what it does. Reports of the upstream itself lag and are not used. */
class ColdDetector {
 public:
  /** Late first tokens in a row that make a sign. */
  static constexpr std::uint32_t kSlowTokensForSignal = 3;

  /** A first token is late when it took more than this many times the prediction. */
  static constexpr std::int64_t kSlowFirstTokenFactor = 4;

  /** Takes in a first token, and returns the sign it completes, if any. `check_latency` and
   * `check_reused_blocks` exclude the signs that do not apply, see
   * `AdmissionController::first_token`. */
  std::optional<ColdSignal> first_token(const FirstTokenReport& report,
                                        bool check_reused_blocks,
                                        bool check_latency);

  /** Forgets the count of late first tokens. Start ids are kept. */
  void reset() { consecutive_slow_tokens_ = 0; }

 private:
  // Answers of an earlier incarnation can arrive after the first answer of the next one. Earlier
  // ids are remembered so that such an answer is not taken for another restart.
  static constexpr std::size_t kRememberedStartIds = 8;

  bool is_new_incarnation(std::string_view start_id);

  std::deque<std::string> start_ids_;  // The newest is last.
  std::uint32_t consecutive_slow_tokens_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ADMISSION_COLD_DETECTOR_H_
