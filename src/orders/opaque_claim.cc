// JSON format of claim objects, and the state transitions on results of platform calls.

#include "orders/opaque_claim.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "base/json_text.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

using nlohmann::json;

constexpr std::string_view kClaimed = "claimed";
constexpr std::string_view kAnswered = "answered";
constexpr std::string_view kFree = "free";

// The body of an answer is arbitrary bytes, which a JSON string cannot represent.
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

json make_value(std::string_view state, OpaqueClaimant claimant, std::uint64_t body_hash) {
  return {{"state", state},
          {"incarnation", claimant.incarnation},
          {"nonce", claimant.nonce},
          {"body_hash", body_hash}};
}

std::string make_answered_value(OpaqueClaimant claimant,
                                std::uint64_t body_hash,
                                const OrderAnswer& answer) {
  json value = make_value(kAnswered, claimant, body_hash);
  if (answer.body.size() <= OpaqueClaim::kMaxRecordedBodyBytes) {
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

// Decides on an order whose claim object was written by another claim. An unknown format may be the
// claim of another program version, so the order may have run.
OpaqueClaimStep decide_other_claim(const json& value, std::uint64_t body_hash) {
  const bool answered = value.value("state", "") == kAnswered;
  if (value.value("body_hash", std::uint64_t{0}) != body_hash) {
    constexpr std::string_view kDetail = "the key was already used with a different request";
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
  return RefuseOrder{
      Verdict::run(Reason::kKeyExpired, "the order ran, but its answer is no longer available")};
}

OpaqueClaimStep decide_other_claim_object(const json& value, std::uint64_t body_hash) {
  try {
    return decide_other_claim(value, body_hash);
  } catch (const json::exception&) {
    return RefuseOrder{Verdict::may_have_run(
        Reason::kInternal, "the claim object in the platform has an unknown format")};
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
      next_value_(make_value(kClaimed, claimant, body_hash).dump()) {
  prepare_write();
}

void OpaqueClaim::on_write(const PlatformClient::WriteResult& result, Instant now) {
  assert(std::holds_alternative<PlatformWrite>(step_));
  std::visit(Overloaded{[&](StoreRevision version) { on_written(version); },
                        [&](const VersionConflict& conflict) { on_object(conflict.current); },
                        [&](const PlatformUnavailable&) {
                          // The write may have taken effect; only a read can tell.
                          retry_or_give_up(now, PlatformRead{object_key_});
                        }},
             result);
}

void OpaqueClaim::on_read(const PlatformClient::ReadResult& result, Instant now) {
  assert(std::holds_alternative<PlatformRead>(step_));
  std::visit(Overloaded{[&](const std::optional<PlatformObject>& object) {
                          if (object) {
                            on_object(*object);
                          } else {
                            prepare_write();
                          }
                        },
                        [&](const PlatformUnavailable&) {
                          retry_or_give_up(now, PlatformRead{object_key_});
                        }},
             result);
}

void OpaqueClaim::record(const OrderAnswer& answer, Instant deadline) {
  end_claim(make_answered_value(claimant_, body_hash_, answer), deadline);
}

void OpaqueClaim::release(Instant deadline) {
  end_claim(make_value(kFree, claimant_, body_hash_).dump(), deadline);
}

void OpaqueClaim::end_claim(std::string value, Instant deadline) {
  assert(phase_ == Phase::kHeld);
  phase_ = Phase::kEnding;
  deadline_ = deadline;
  next_value_ = std::move(value);
  prepare_write();
}

void OpaqueClaim::on_written(StoreRevision version) {
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
  if (object.value == next_value_) {
    // This claim's write took effect, but its response was lost. The nonce makes the value unique.
    on_written(object.version);
    return;
  }
  if (phase_ == Phase::kEnding) {
    // Write again only if the object still has this claim's earlier value. Any other value belongs
    // to another claim and must not be overwritten.
    if (object.version == version_) {
      prepare_write();
    } else {
      phase_ = Phase::kEnded;
      step_ = OpaqueClaimFinished{false};
    }
    return;
  }
  const json value = parse_json(object.value);
  if (value.is_object() && value.contains("state") && value["state"] == kFree) {
    version_ = object.version;
    prepare_write();
    return;
  }
  phase_ = Phase::kEnded;
  step_ = decide_other_claim_object(value, body_hash_);
}

void OpaqueClaim::retry_or_give_up(Instant now, OpaqueClaimStep retry) {
  if (now < deadline_) {
    step_ = std::move(retry);
    return;
  }
  if (phase_ == Phase::kEnding) {
    step_ = OpaqueClaimFinished{false};
  } else {
    // The claim object may have been written, but this claim will never dispatch the order.
    step_ =
        RefuseOrder{Verdict::not_run(Reason::kPlatformUnavailable,
                                     "the platform is unavailable; use a time-ordered key, which "
                                     "does not require the platform",
                                     Duration{1000})};
  }
  phase_ = Phase::kEnded;
}

void OpaqueClaim::prepare_write() {
  step_ = PlatformWrite{object_key_, version_, next_value_};
}

}  // namespace bluebellstep
