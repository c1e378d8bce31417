// Computes when a gateway sends its next load report to the other gateways.
//
// Load pattern: long prompts among short ones, through many gateways. An engine prefills prompts
// one after another, so a short prompt that another gateway sends after a long one waits for all of
// it. Periodic reports announce a long prompt only after many short ones have been sent behind it.
// Therefore a prompt with a long prefill is reported immediately.

#ifndef BLUEBELLSTEP_GATEWAY_REPORT_PACER_H_
#define BLUEBELLSTEP_GATEWAY_REPORT_PACER_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace bluebellstep {

/** Computes the time of the next load report.
 *
 * All times are read from one monotonic clock.
 */
class ReportPacer {
 public:
  /** Interval between reports with up to `kSmallFleetPeers` peers. */
  static constexpr Duration kSmallFleetInterval{100};
  /** Interval between reports with more peers; limits the datagram rate of a large fleet. */
  static constexpr Duration kLargeFleetInterval{250};
  static constexpr std::size_t kSmallFleetPeers = 10;
  /** A prompt with this many uncached tokens delays others by 40 ms and is reported immediately. */
  static constexpr std::uint32_t kLargePromptTokens = 2000;
  /** Minimum time between the last report and an immediate one, so that a burst of large prompts is
   * reported together. */
  static constexpr Duration kMinInterval{20};

  void set_peer_count(std::size_t peer_count) { peer_count_ = peer_count; }

  /** A prompt was sent to an engine that must prefill `uncached_tokens` of its tokens. */
  void record_sent(std::uint32_t uncached_tokens, Instant now);

  /** Something else has changed that the other gateways should know at once. */
  void record_urgent_change(Instant now);

  /** A report was sent, or skipped because there was nothing to report. */
  void record_reported(Instant now);

  /** An idle gateway sends one empty report and repeats it at this interval, to show that it is
   * alive. More frequent ones are not needed: peers treat missing reports like empty ones. */
  static constexpr Duration kIdleInterval{10'000};
  /** The same with up to `kSmallFleetPeers` peers, and in any fleet that has changed its table of
   * software versions: gateways ask the store for streams while one of them is silent, see
   * `StreamVersionDirectory::kHeardWithin`. */
  static constexpr Duration kHeartbeatInterval{600};

  /** When the next report is due. */
  Instant due() const { return due_; }

 private:
  std::size_t peer_count_ = 0;
  Instant reported_at_;
  Instant due_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_REPORT_PACER_H_
