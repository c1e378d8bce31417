// Evaluation of first tokens and start ids.

#include "admission/cold_detector.h"

#include <algorithm>

namespace bluebellstep {

std::string_view to_string(ColdSignal signal) {
  switch (signal) {
    case ColdSignal::kConnectionFailed:
      return "connection_failed";
    case ColdSignal::kStartIdChanged:
      return "start_id_changed";
    case ColdSignal::kBlocksMissing:
      return "blocks_missing";
    case ColdSignal::kSlowFirstTokens:
      return "slow_first_tokens";
  }
  return "unknown";
}

bool ColdDetector::is_new_incarnation(std::string_view start_id) {
  if (start_id.empty() || std::ranges::find(start_ids_, start_id) != start_ids_.end()) {
    return false;
  }
  const bool first = start_ids_.empty();
  start_ids_.emplace_back(start_id);
  if (start_ids_.size() > kMaxStartIds) {
    start_ids_.pop_front();
  }
  return !first;
}

std::optional<ColdSignal> ColdDetector::first_token(const FirstTokenReport& report,
                                                    bool check_reused_blocks,
                                                    bool check_latency) {
  if (is_new_incarnation(report.start_id)) {
    return ColdSignal::kStartIdChanged;
  }
  if (check_reused_blocks && report.known_blocks > 0 && report.reused_blocks == 0) {
    return ColdSignal::kBlocksMissing;
  }
  if (!check_latency || report.predicted.ms <= 0) {
    return std::nullopt;
  }
  consecutive_slow_tokens_ =
      report.elapsed > report.predicted * kSlowFirstTokenFactor ? consecutive_slow_tokens_ + 1 : 0;
  if (consecutive_slow_tokens_ < kSlowTokensForSignal) {
    return std::nullopt;
  }
  return ColdSignal::kSlowFirstTokens;
}

}  // namespace bluebellstep
