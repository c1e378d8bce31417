// Converts verdicts to and from their Cap'n Proto format.

#include "rpc/wire_verdict.h"

#include <string>

namespace bluebellstep {
namespace {

constexpr std::int64_t kNoRetry = -1;

}  // namespace

Verdict read_verdict(wire::Verdict::Reader in) {
  const std::int64_t retry_after_ms = in.getRetryAfterMs();
  return Verdict(run_state_from_wire(in.getRunState()), reason_from_wire(in.getReason()),
                 std::string_view(in.getDetail().cStr(), in.getDetail().size()),
                 retry_after_ms < 0 ? std::nullopt : std::optional(Duration{retry_after_ms}));
}

void write_verdict(wire::Verdict::Builder out, const Verdict& verdict) {
  out.setRunState(static_cast<std::uint16_t>(verdict.run_state()));
  out.setReason(static_cast<std::uint16_t>(verdict.reason()));
  out.setRetryAfterMs(verdict.retry_after().has_value() ? verdict.retry_after()->ms : kNoRetry);
  out.setDetail(std::string(verdict.detail()));
}

}  // namespace bluebellstep
