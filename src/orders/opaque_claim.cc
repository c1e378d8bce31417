// Claim objects as JSON text, and the decisions on what the platform returns.

#include "orders/opaque_claim.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "base/overloaded.h"

namespace bluebellstep {
namespace {

using nlohmann::json;

constexpr std::string_view kClaimed = "claimed";
constexpr std::string_view kAnswered = "answered";
constexpr std::string_view kFree = "free";

// An answer's body may be any bytes, which JSON text cannot hold.
std::string to_hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * bytes.size());
  for (const char c : bytes) {
    hex += kDigits[static_cast<unsigned char>(c) >> 4];
    hex += kDigits[static_cast<unsigned char>(c) & 0xf];
  }
  return hex;
}

std::optional<std::string> from_hex(std::string_view hex) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    const std::size_t high = kDigits.find(hex[i]);
    const std::size_t low = kDigits.find(hex[i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    bytes += static_cast<char>(high << 4 | low);
  }
  return bytes;
}

json base_value(std::string_view state, OpaqueClaimant claimant, std::uint64_t body_hash) {
  return {{"state", state},
          {"incarnation", claimant.incarnation},
          {"nonce", claimant.nonce},
          {"body_hash", body_hash}};
}

std::string answered_value(OpaqueClaimant claimant,
                           std::uint64_t body_hash,
                           const OrderAnswer& answer) {
  json value = base_value(kAnswered, claimant, body_hash);
  if (answer.body.size() <= OpaqueClaim::kMaxRecordedBody) {
    value["status"] = answer.status;
    value["content_type"] = to_hex(answer.content_type);
    value["body"] = to_hex(answer.body);
  }
  return value.dump();
}

std::optional<OrderAnswer> recorded_answer(const json& value) {
  if (!value.contains("body")) {
    return std::nullopt;
  }
  auto content_type = from_hex(value.value("content_type", ""));
  auto body = from_hex(value.value("body", ""));
  if (!content_type || !body) {
    return std::nullopt;
  }
  return OrderAnswer{value.value("status", 0), *std::move(content_type), *std::move(body)};
}

// What another claim's object means for this order. An object that is not understood may be
// another version's claim.
OpaqueClaimStep decide_foreign(const json& value, std::uint64_t body_hash) {
  const bool answered = value.value("state", "") == kAnswered;
  if (value.value("body_hash", std::uint64_t{0}) != body_hash) {
    constexpr std::string_view kDetail = "the key was used before with another request";
    return RefuseOrder{answered ? Verdict::run(Reason::kKeyReused, kDetail)
                                : Verdict::may_have_run(Reason::kKeyReused, kDetail)};
  }
  if (!answered) {
    return RefuseOrder{Verdict::may_have_run(Reason::kOwnerRestarted,
                                             "another request with this key may have run")};
  }
  if (auto answer = recorded_answer(value)) {
    return OpaqueClaimReplay{*std::move(answer)};
  }
  return RefuseOrder{Verdict::run(Reason::kKeyExpired, "the order ran; its answer is not kept")};
}

OpaqueClaimStep decide_foreign_text(const json& value, std::uint64_t body_hash) {
  try {
    return decide_foreign(value, body_hash);
  } catch (const json::exception&) {
    return RefuseOrder{
        Verdict::may_have_run(Reason::kInternal, "the claim object is not understood")};
  }
}

}  // namespace

OpaqueClaim::OpaqueClaim(const OrderKey& key,
                         OpaqueClaimant claimant,
                         std::uint64_t body_hash,
                         Instant deadline)
    : object_key_(key.object_key()),
      claimant_(claimant),
      body_hash_(body_hash),
      deadline_(deadline),
      value_(base_value(kClaimed, claimant, body_hash).dump()) {
  write_value();
}

void OpaqueClaim::on_write(const PlatformClient::WriteResult& result, Instant now) {
  assert(std::holds_alternative<PlatformWrite>(step_));
  std::visit(Overloaded{[&](ObjectVersion version) { on_written(version); },
                        [&](const VersionConflict& conflict) { on_object(conflict.current); },
                        [&](const PlatformUnavailable&) {
                          // The write may have taken effect.
                          on_unavailable(now, PlatformRead{object_key_});
                        }},
             result);
}

void OpaqueClaim::on_read(const PlatformClient::ReadResult& result, Instant now) {
  assert(std::holds_alternative<PlatformRead>(step_));
  std::visit(Overloaded{[&](const std::optional<PlatformObject>& object) {
                          if (object) {
                            on_object(*object);
                          } else {
                            write_value();
                          }
                        },
                        [&](const PlatformUnavailable&) {
                          on_unavailable(now, PlatformRead{object_key_});
                        }},
             result);
}

void OpaqueClaim::record(const OrderAnswer& answer, Instant deadline) {
  end_with(answered_value(claimant_, body_hash_, answer), deadline);
}

void OpaqueClaim::release(Instant deadline) {
  end_with(base_value(kFree, claimant_, body_hash_).dump(), deadline);
}

void OpaqueClaim::end_with(std::string value, Instant deadline) {
  assert(phase_ == Phase::kHeld);
  phase_ = Phase::kEnding;
  deadline_ = deadline;
  value_ = std::move(value);
  write_value();
}

void OpaqueClaim::on_written(ObjectVersion version) {
  version_ = version;
  if (phase_ == Phase::kClaiming) {
    phase_ = Phase::kHeld;
    step_ = OpaqueClaimAcquired{};
  } else {
    phase_ = Phase::kEnded;
    step_ = OpaqueClaimFinished{true};
  }
}

void OpaqueClaim::on_object(const PlatformObject& object) {
  if (object.value == value_) {
    // Our own write took effect although its answer was lost. The nonce makes the value unique.
    on_written(object.version);
    return;
  }
  if (phase_ == Phase::kEnding) {
    // Only this claim's earlier value may still be there; anything else is not ours to overwrite.
    if (object.version == version_) {
      write_value();
    } else {
      phase_ = Phase::kEnded;
      step_ = OpaqueClaimFinished{false};
    }
    return;
  }
  const json value = json::parse(object.value, nullptr, false);
  if (value.is_object() && value.contains("state") && value["state"] == kFree) {
    version_ = object.version;
    write_value();
    return;
  }
  phase_ = Phase::kEnded;
  step_ = decide_foreign_text(value, body_hash_);
}

void OpaqueClaim::on_unavailable(Instant now, OpaqueClaimStep retry) {
  if (now < deadline_) {
    step_ = std::move(retry);
    return;
  }
  if (phase_ == Phase::kEnding) {
    step_ = OpaqueClaimFinished{false};
  } else {
    // The claim object may exist, but this claim will never dispatch.
    step_ =
        RefuseOrder{Verdict::not_run(Reason::kPlatformUnavailable,
                                     "the platform is unavailable; use a time-ordered key, which "
                                     "does not need it",
                                     Duration{1000})};
  }
  phase_ = Phase::kEnded;
}

void OpaqueClaim::write_value() {
  step_ = PlatformWrite{object_key_, version_, value_};
}

}  // namespace bluebellstep
