// When a gateway tells the others what it has in flight.
//
// Load pattern: long prompts among short ones, through many gateways. An engine reads prompts one
// after another, so a short prompt that another gateway sends behind a long one waits for all of
// it. Reports at a fixed pause tell of a long prompt when many short ones have been sent already,
// so a prompt that takes long to read is told at once.

#ifndef BLUEBELLSTEP_GATEWAY_REPORT_PACER_H_
#define BLUEBELLSTEP_GATEWAY_REPORT_PACER_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace bluebellstep {

/** Times are those of one monotonic clock. */
class ReportPacer {
 public:
  /** Pause between two reports for up to `kSmallFleetPeers` peers. */
  static constexpr Duration kSmallFleetPause{100};
  /** Pause for more peers, so that the datagrams of a large fleet stay cheap. */
  static constexpr Duration kLargeFleetPause{250};
  static constexpr std::size_t kSmallFleetPeers = 10;
  /** A prompt with this many tokens to read holds others up for 40 ms and is told at once. */
  static constexpr std::uint32_t kLargePromptTokens = 2000;
  /** Least pause before a report out of turn, so that a burst of large prompts is told together. */
  static constexpr Duration kMinPause{20};

  void set_peers(std::size_t peers) { peers_ = peers; }

  /** A prompt was sent of which the engine must read this many tokens. */
  void record_sent(std::uint32_t uncached_tokens, Instant now);

  /** A report was made. */
  void record_reported(Instant now);

  /** An idle gateway says so once, since its silence means the same, and again after this time to
   * show that it lives. */
  static constexpr Duration kIdlePause{10'000};

  /** When the next report is due. */
  Instant due() const { return due_; }

 private:
  std::size_t peers_ = 0;
  Instant reported_at_;
  Instant due_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_REPORT_PACER_H_
