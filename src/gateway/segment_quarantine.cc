// Counts successive crashes by segment and intersects the prompts that crashed.

#include "gateway/segment_quarantine.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"
#include "gateway/datagram_format.h"

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kTag = "quarantine";
constexpr std::size_t kFields = 3;
// Longer prompts are judged by their first segments.
constexpr std::size_t kMaxSegments = 16;
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxReportedCrashes = 16;
constexpr std::size_t kMaxClearances = 64;
constexpr std::size_t kMaxSuspects = 1024;
constexpr std::size_t kMaxAnswers = 2048;

// Returns the segments that can be suspected.
std::span<const PromptSegment> shared_segments(std::span<const PromptSegment> prompt) {
  return prompt.empty() ? prompt : prompt.first(std::min(prompt.size() - 1, kMaxSegments));
}

bool has_segment(std::span<const PromptSegment> prompt, std::uint64_t id) {
  return std::any_of(prompt.begin(), prompt.end(),
                     [id](const PromptSegment& segment) { return segment.id == id; });
}

bool has_id(const std::vector<std::uint64_t>& ids, std::uint64_t id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

std::string encode_quarantine_report(const QuarantineReport& report) {
  Json crashes = Json::array();
  for (const SegmentCrash& crash : report.crashes) {
    Json fields = {crash.id, crash.sent_ago.ms, crash.crashed_ago.ms};
    for (const std::uint64_t segment : crash.segments) {
      fields.push_back(segment);
    }
    crashes.push_back(std::move(fields));
  }
  Json clearances = Json::array();
  for (const SegmentClearance& clearance : report.clearances) {
    clearances.push_back(Json::array({clearance.segment, clearance.answered_ago.ms}));
  }
  std::string out;
  Json::to_msgpack(Json{kTag, std::move(crashes), std::move(clearances)}, out);
  return out;
}

std::optional<QuarantineReport> decode_quarantine_report(std::span<const std::uint8_t> bytes) {
  const auto json = parse_datagram(bytes);
  if (!json || json->size() != kFields || json->at(0) != kTag) {
    return std::nullopt;
  }
  try {
    QuarantineReport report;
    for (const Json& fields : json->at(1)) {
      SegmentCrash crash{.id = fields.at(0).get<std::uint64_t>(),
                         .sent_ago = {fields.at(1).get<std::int64_t>()},
                         .crashed_ago = {fields.at(2).get<std::int64_t>()}};
      for (std::size_t i = 3; i < fields.size() && i < 3 + kMaxSegments; ++i) {
        crash.segments.push_back(fields.at(i).get<std::uint64_t>());
      }
      report.crashes.push_back(std::move(crash));
    }
    for (const Json& fields : json->at(2)) {
      report.clearances.push_back({.segment = fields.at(0).get<std::uint64_t>(),
                                   .answered_ago = {fields.at(1).get<std::int64_t>()}});
    }
    return report;
  } catch (const Json::exception&) {
    return std::nullopt;  // Not a report.
  }
}

void SegmentQuarantine::record_crash(std::span<const PromptSegment> prompt,
                                     std::uint64_t upstream,
                                     Instant sent_at,
                                     Instant crashed_at,
                                     Instant now) {
  Crash crash{.sent_at = sent_at, .crashed_at = crashed_at, .report_until = now + kReportTime};
  crash.id = combine_hashes(upstream, static_cast<std::uint64_t>(crashed_at.ms));
  for (const PromptSegment& segment : shared_segments(prompt)) {
    crash.segments.push_back(segment.id);
    crash.id = combine_hashes(crash.id, segment.id);
  }
  if (!crash.segments.empty()) {
    add(std::move(crash), now);
  }
}

void SegmentQuarantine::add(Crash crash, Instant now) {
  remove_expired(now);
  const bool known = std::any_of(crashes_.begin(), crashes_.end(),
                                 [&](const Crash& other) { return other.id == crash.id; });
  if (known) {
    return;
  }
  for (const std::uint64_t segment : crash.segments) {
    if (const Instant answered_at = last_answer(segment); answered_at > crash.crashed_at) {
      // Another gateway reports a crash that is older than an answer here.
      add_clearance(segment, answered_at, now + kReportTime);
      continue;
    }
    if (suspects_.size() >= kMaxSuspects && !suspects_.contains(segment)) {
      continue;
    }
    Suspect& suspect = suspects_[segment];
    if (suspect.crash_count == 0) {
      suspect.companions = crash.segments;
    } else {
      std::erase_if(suspect.companions,
                    [&](std::uint64_t companion) { return !has_id(crash.segments, companion); });
    }
    if (suspect.crash_count == 0 || crash.sent_at >= suspect.last_crashed_at ||
        crash.crashed_at >= suspect.last_crashed_at + kMinCrashInterval) {
      suspect.last_crashed_at = crash.crashed_at;
      if (++suspect.crash_count == kCrashesToQuarantine) {
        LogEvent("segment_quarantined", LogEvent::Severity::kWarning)
            .field("segment", segment)
            .field("companions", static_cast<std::uint64_t>(suspect.companions.size()))
            .field("crashes", static_cast<std::uint64_t>(suspect.crash_count))
            .field("last_crash_ms_ago", (now - crash.crashed_at).ms);
      }
    }
  }
  if (crashes_.size() >= kMaxCrashes) {
    crashes_.erase(crashes_.begin());
  }
  crashes_.push_back(std::move(crash));
}

void SegmentQuarantine::record_answer(std::span<const PromptSegment> prompt, Instant now) {
  for (const PromptSegment& segment : shared_segments(prompt)) {
    remember_answer(segment.id, now);
    if (!suspects_.empty()) {
      clear(segment.id, now, now + kReportTime);
    }
  }
}

void SegmentQuarantine::clear(std::uint64_t segment, Instant answered_at, Instant report_until) {
  bool was_suspected = false;
  const auto found = suspects_.find(segment);
  if (found != suspects_.end() && found->second.last_crashed_at < answered_at) {
    if (found->second.crash_count >= kCrashesToQuarantine) {
      LogEvent("segment_cleared").field("segment", segment);
    }
    suspects_.erase(found);
    was_suspected = true;
  }
  for (auto& [id, suspect] : suspects_) {
    if (id != segment && suspect.last_crashed_at < answered_at) {
      was_suspected = std::erase(suspect.companions, segment) > 0 || was_suspected;
    }
  }
  if (was_suspected) {
    add_clearance(segment, answered_at, report_until);
  }
}

void SegmentQuarantine::add_clearance(std::uint64_t segment,
                                      Instant answered_at,
                                      Instant report_until) {
  std::erase_if(clearances_,
                [segment](const Clearance& clearance) { return clearance.segment == segment; });
  if (clearances_.size() >= kMaxClearances) {
    clearances_.erase(clearances_.begin());
  }
  clearances_.push_back(
      {.segment = segment, .answered_at = answered_at, .report_until = report_until});
}

Instant SegmentQuarantine::last_answer(std::uint64_t segment) const {
  Instant last;
  for (const auto* answers : {&answers_, &older_answers_}) {
    const auto found = answers->find(segment);
    last = found == answers->end() ? last : std::max(last, found->second);
  }
  for (const Clearance& clearance : clearances_) {
    last = clearance.segment == segment ? std::max(last, clearance.answered_at) : last;
  }
  return last;
}

void SegmentQuarantine::remember_answer(std::uint64_t segment, Instant now) {
  if (answers_.size() >= kMaxAnswers / 2 && !answers_.contains(segment)) {
    older_answers_ = std::move(answers_);
    answers_.clear();
  }
  answers_[segment] = now;
}

bool SegmentQuarantine::quarantines(const Suspect& suspect,
                                    std::span<const PromptSegment> prompt,
                                    Instant now) const {
  return suspect.crash_count >= kCrashesToQuarantine &&
         now < suspect.last_crashed_at + kQuarantineTime &&
         std::all_of(suspect.companions.begin(), suspect.companions.end(),
                     [prompt](std::uint64_t id) { return has_segment(prompt, id); });
}

bool SegmentQuarantine::contains(std::span<const PromptSegment> prompt, Instant now) const {
  if (suspects_.empty()) {
    return false;
  }
  const auto segments = shared_segments(prompt);
  return std::any_of(segments.begin(), segments.end(), [&](const PromptSegment& segment) {
    const auto found = suspects_.find(segment.id);
    return found != suspects_.end() && quarantines(found->second, segments, now);
  });
}

bool SegmentQuarantine::has_quarantined_segment(const Crash& crash) const {
  return std::any_of(crash.segments.begin(), crash.segments.end(), [&](std::uint64_t segment) {
    const auto found = suspects_.find(segment);
    return found != suspects_.end() && found->second.crash_count >= kCrashesToQuarantine;
  });
}

template <typename Selector>
QuarantineReport SegmentQuarantine::report_crashes(Instant now, Selector selector) const {
  QuarantineReport report;
  for (auto crash = crashes_.rbegin();
       crash != crashes_.rend() && report.crashes.size() < kMaxReportedCrashes; ++crash) {
    if (selector(*crash)) {
      report.crashes.push_back({.id = crash->id,
                                .sent_ago = now - crash->sent_at,
                                .crashed_ago = now - crash->crashed_at,
                                .segments = crash->segments});
    }
  }
  // The receiver counts successive crashes in this order.
  std::reverse(report.crashes.begin(), report.crashes.end());
  return report;
}

QuarantineReport SegmentQuarantine::make_report(Instant now) const {
  QuarantineReport report =
      report_crashes(now, [now](const Crash& crash) { return now < crash.report_until; });
  for (const Clearance& clearance : clearances_) {
    if (now < clearance.report_until) {
      report.clearances.push_back(
          {.segment = clearance.segment, .answered_ago = now - clearance.answered_at});
    }
  }
  return report;
}

QuarantineReport SegmentQuarantine::make_reminder(Instant now) const {
  return report_crashes(now, [this](const Crash& crash) { return has_quarantined_segment(crash); });
}

void SegmentQuarantine::apply(const QuarantineReport& report, Instant now) {
  for (const SegmentCrash& crash : report.crashes) {
    const Instant crashed_at = now - crash.crashed_ago;
    add({.id = crash.id,
         .sent_at = now - crash.sent_ago,
         .crashed_at = crashed_at,
         .report_until = crashed_at,
         .segments = crash.segments},
        now);
  }
  for (const SegmentClearance& clearance : report.clearances) {
    const Instant answered_at = now - clearance.answered_ago;
    clear(clearance.segment, answered_at, answered_at);
  }
}

void SegmentQuarantine::remove_expired(Instant now) {
  std::erase_if(suspects_, [now](const auto& entry) {
    return now >= entry.second.last_crashed_at + kQuarantineTime;
  });
  std::erase_if(crashes_,
                [now](const Crash& crash) { return now >= crash.crashed_at + kQuarantineTime; });
  std::erase_if(clearances_, [now](const Clearance& clearance) {
    return now >= clearance.answered_at + kQuarantineTime;
  });
}

}  // namespace bluebellstep
