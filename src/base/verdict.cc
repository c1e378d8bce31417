// String forms and decoding of verdicts.

#include "base/verdict.h"

#include <array>
#include <cstddef>

namespace bluebellstep {
namespace {

// In the order of `Reason`.
constexpr std::array<std::string_view, 26> kReasonNames = {
    "bad_request",
    "unauthorized",
    "unknown_model",
    "unknown_service",
    "overloaded",
    "cold_upstream",
    "zone_out",
    "upstream_leaving",
    "weight_version_changed",
    "no_upstream",
    "upstream_unreachable",
    "upstream_failed",
    "connection_lost",
    "deadline_exceeded",
    "cancelled",
    "shutting_down",
    "key_reused",
    "key_expired",
    "key_in_future",
    "owner_restarted",
    "owner_full",
    "not_owner",
    "platform_unavailable",
    "no_configuration",
    "retry_budget_exhausted",
    "internal",
};
static_assert(kReasonNames.size() == static_cast<std::size_t>(Reason::kInternal) + 1);

}  // namespace

std::string_view to_string(Reason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

std::string_view to_string(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kMayHaveRun:
      return "may_have_run";
    case RunState::kRun:
      return "run";
  }
  return "may_have_run";
}

Reason reason_from_wire(std::uint16_t value) {
  return value < kReasonNames.size() ? static_cast<Reason>(value) : Reason::kInternal;
}

RunState run_state_from_wire(std::uint16_t value) {
  return value <= static_cast<std::uint16_t>(RunState::kRun) ? static_cast<RunState>(value)
                                                             : RunState::kMayHaveRun;
}

Verdict::Verdict(RunState run_state,
                 Reason reason,
                 std::string_view detail,
                 std::optional<Duration> retry_after)
    : run_state_(run_state), reason_(reason), detail_(detail), retry_after_(retry_after) {}

Verdict Verdict::not_run(Reason reason,
                         std::string_view detail,
                         std::optional<Duration> retry_after) {
  return Verdict(RunState::kNotRun, reason, detail, retry_after);
}

Verdict Verdict::may_have_run(Reason reason, std::string_view detail) {
  return Verdict(RunState::kMayHaveRun, reason, detail, std::nullopt);
}

Verdict Verdict::run(Reason reason, std::string_view detail) {
  return Verdict(RunState::kRun, reason, detail, std::nullopt);
}

}  // namespace bluebellstep
