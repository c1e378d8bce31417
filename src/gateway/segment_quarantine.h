// Finds prompt segments that crash the engines which answer them, and keeps them from further ones.
//
// Load pattern: a few requests crash each engine that begins to answer them. Retries and further
// requests bring them to the next engine, at any gateway, until most engines are down. Each gateway
// sees too few of the crashes to find their cause in time, and sound requests fail with them: those
// in flight at the same engine, and those that share other segments with the deadly prompts.
//
// Gateways tell each other of crashes. A segment is suspected while attempts with it crash one
// after the other and none of them gets an event. Crashes at about the same time count once, so
// that the loss of many engines at once raises no suspicion. A prompt is quarantined if it contains
// a suspected segment with all its companions, the segments that were part of each of the crashes.
// A sound prompt lacks one of these. Its answer clears its segments.

#ifndef BLUEBELLSTEP_GATEWAY_SEGMENT_QUARANTINE_H_
#define BLUEBELLSTEP_GATEWAY_SEGMENT_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "gateway/decoded_headers.h"

namespace bluebellstep {

/** An attempt that ended with the crash of its upstream before the first event. */
struct SegmentCrash {
  std::uint64_t id = 0;  // The same at all gateways.
  // Relative to the time of the report.
  Duration sent_ago{0};
  Duration crashed_ago{0};
  std::vector<std::uint64_t> segments;  // Without the last one of the prompt.
};

/** A suspected segment was answered. */
struct SegmentClearance {
  std::uint64_t segment = 0;
  Duration answered_ago{0};  // Relative to the time of the report.
};

/** What a gateway tells the others. */
struct QuarantineReport {
  std::vector<SegmentCrash> crashes;
  std::vector<SegmentClearance> clearances;

  bool empty() const { return crashes.empty() && clearances.empty(); }
};

/** Encodes a report as the content of a datagram. */
std::string encode_quarantine_report(const QuarantineReport& report);
/** Decodes a datagram. Returns nothing if it does not contain a report. */
std::optional<QuarantineReport> decode_quarantine_report(std::span<const std::uint8_t> bytes);

/** The suspected segments as known to one gateway.
 *
 * All times are read from one monotonic clock. The last segment of a prompt belongs to its request
 * and is never suspected.
 */
class SegmentQuarantine {
 public:
  /** Successive crashes after which prompts with the segment are quarantined. */
  static constexpr std::size_t kCrashesToQuarantine = 3;
  /** A crash within this time after the last one counts only if its request was sent after that. */
  static constexpr Duration kMinCrashInterval{500};
  /** Time from the last crash for which a segment is suspected. */
  static constexpr Duration kQuarantineTime{120'000};
  /** Each crash and clearance is part of the reports for this time, since datagrams get lost. */
  static constexpr Duration kReportTime{1000};

  /** An attempt ended with the crash of its upstream before the first event.
   *
   * @param upstream  Hash that identifies the upstream.
   */
  void record_crash(std::span<const PromptSegment> prompt,
                    std::uint64_t upstream,
                    Instant sent_at,
                    Instant crashed_at,
                    Instant now);

  /** The first event of an attempt arrived. */
  void record_answer(std::span<const PromptSegment> prompt, Instant now);

  /** Whether the prompt must not be sent to an upstream. */
  bool contains(std::span<const PromptSegment> prompt, Instant now) const;

  /** Returns what this gateway has seen lately and should tell the others. */
  QuarantineReport make_report(Instant now) const;

  /** Returns the last crashes of the quarantined segments, for gateways that have started since. */
  QuarantineReport make_reminder(Instant now) const;

  /** Applies a report of another gateway. */
  void apply(const QuarantineReport& report, Instant now);

 private:
  struct Crash {
    std::uint64_t id = 0;
    Instant sent_at;
    Instant crashed_at;
    Instant report_until;  // The time of the crash if another gateway has seen it.
    std::vector<std::uint64_t> segments;
  };

  struct Suspect {
    std::size_t crash_count = 0;
    Instant last_crashed_at;
    std::vector<std::uint64_t> companions;  // Part of all crashes; includes the segment itself.
  };

  struct Clearance {
    std::uint64_t segment = 0;
    Instant answered_at;
    Instant report_until;
  };

  void add(Crash crash, Instant now);
  void clear(std::uint64_t segment, Instant answered_at, Instant report_until);
  void add_clearance(std::uint64_t segment, Instant answered_at, Instant report_until);
  // Returns when this gateway or another one last received an answer on the segment.
  Instant last_answer(std::uint64_t segment) const;
  bool quarantines(const Suspect& suspect,
                   std::span<const PromptSegment> prompt,
                   Instant now) const;
  bool has_quarantined_segment(const Crash& crash) const;
  template <typename Selector>
  QuarantineReport report_crashes(Instant now, Selector selector) const;
  void remember_answer(std::uint64_t segment, Instant now);
  void remove_expired(Instant now);

  std::unordered_map<std::uint64_t, Suspect> suspects_;  // By segment.
  std::vector<Crash> crashes_;                           // Of the last `kQuarantineTime`.
  std::vector<Clearance> clearances_;                    // The same.
  // When segments were last answered here. `older_answers_` takes over `answers_` when that is
  // full, so that the segments answered least recently are forgotten.
  std::unordered_map<std::uint64_t, Instant> answers_;
  std::unordered_map<std::uint64_t, Instant> older_answers_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_SEGMENT_QUARANTINE_H_
