// Signs that an upstream turned cold.

#include "admission/cold_detector.h"

#include <algorithm>

namespace bluebellstep {

std::string_view to_string(ColdSign sign) {
  switch (sign) {
    case ColdSign::kConnectionFailed:
      return "connection_failed";
    case ColdSign::kStartIdChanged:
      return "start_id_changed";
    case ColdSign::kBlocksMissing:
      return "blocks_missing";
    case ColdSign::kSlowFirstTokens:
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
  if (start_ids_.size() > kRememberedStartIds) {
    start_ids_.pop_front();
  }
  return !first;
}

std::optional<ColdSign> ColdDetector::first_token(const FirstTokenReport& report,
                                                  bool judge_blocks,
                                                  bool judge_speed) {
  if (is_new_incarnation(report.start_id)) {
    return ColdSign::kStartIdChanged;
  }
  if (judge_blocks && report.known_blocks > 0 && report.reused_blocks == 0) {
    return ColdSign::kBlocksMissing;
  }
  if (!judge_speed || report.predicted.ms <= 0) {
    return std::nullopt;
  }
  slow_in_row_ = report.elapsed > report.predicted * kSlowFactor ? slow_in_row_ + 1 : 0;
  if (slow_in_row_ < kSlowTokensForSign) {
    return std::nullopt;
  }
  return ColdSign::kSlowFirstTokens;
}

}  // namespace bluebellstep
