// Decides what may be kept, and whose connection is closed first.

#include "memory/memory_account.h"

#include <algorithm>
#include <cmath>

namespace bluebellstep {

MemoryLimits memory_limits(std::uint32_t memory_mb, double share) {
  constexpr double kBytesPerMb = 1'000'000;
  // Two thirds for large requests: with the default share of three eighths, a quarter of the memory
  // is for bodies.
  constexpr std::size_t kReservedFraction = 3;
  if (memory_mb == 0) {
    return {};
  }
  const auto total = static_cast<std::size_t>(memory_mb * kBytesPerMb * share);
  return {.total = total, .reserved = total / kReservedFraction};
}

HolderId MemoryAccount::add_holder(Instant now) {
  const HolderId id{next_id_++};
  holders_.emplace(id, Holder{.moved_at = now});
  return id;
}

void MemoryAccount::record_progress(HolderId id, std::size_t bytes, Instant now) {
  const auto found = holders_.find(id);
  if (found != holders_.end()) {
    found->second.moved = decayed_moved(found->second, now) + static_cast<double>(bytes);
    found->second.moved_at = now;
  }
}

void MemoryAccount::set_waits_for_caller(HolderId id, bool waits) {
  const auto found = holders_.find(id);
  if (found != holders_.end()) {
    found->second.waits_for_caller = waits;
  }
}

std::size_t MemoryAccount::held(HolderId id) const {
  const auto found = holders_.find(id);
  return found == holders_.end() ? 0 : found->second.held;
}

double MemoryAccount::decayed_moved(const Holder& holder, Instant now) {
  const auto age = static_cast<double>(std::max<std::int64_t>(0, (now - holder.moved_at).ms));
  return holder.moved * std::exp2(-age / static_cast<double>(kHalfLife.ms));
}

double MemoryAccount::badness(const Holder& holder, Instant now) {
  // Without the limit, a small connection that was always idle would count as worse than a large
  // body that stalls. The square lets a stalled answer of 100 KB go before an upload of 4 MB that
  // arrives steadily.
  constexpr double kMaxSlowness = 16;
  const auto held = static_cast<double>(holder.held);
  const double slowness = std::min(kMaxSlowness, held / (decayed_moved(holder, now) + 1));
  return held * slowness * slowness;
}

std::optional<HolderId> MemoryAccount::worst_holder(Instant now, HolderId except) const {
  std::optional<HolderId> worst;
  double worst_badness = 0;
  for (const auto& [id, holder] : holders_) {
    const double holder_badness =
        holder.waits_for_caller && id != except ? badness(holder, now) : 0;
    if (holder_badness > worst_badness) {
      worst_badness = holder_badness;
      worst = id;
    }
  }
  return worst;
}

bool MemoryAccount::may_grow(const Holder* holder, std::size_t more, MemoryUse use) const {
  const std::size_t held = holder == nullptr ? 0 : holder->held;
  const bool may_use_all = use == MemoryUse::kCommitted || held + more <= kOrdinaryBytes;
  const std::size_t limit = may_use_all ? limits_.total : limits_.total - limits_.reserved;
  return used_ <= limit && more <= limit - used_;
}

bool MemoryAccount::Charge::resize(std::size_t bytes, MemoryUse use) {
  if (account_ == nullptr) {
    return true;
  }
  const auto found = account_->holders_.find(holder_);
  Holder* holder = found == account_->holders_.end() ? nullptr : &found->second;
  if (bytes > bytes_ && !account_->may_grow(holder, bytes - bytes_, use)) {
    return false;
  }
  account_->used_ = account_->used_ - bytes_ + bytes;
  if (holder != nullptr) {
    holder->held = holder->held - bytes_ + bytes;
  }
  bytes_ = bytes;
  return true;
}

void MemoryAccount::Charge::swap(Charge& other) noexcept {
  std::swap(account_, other.account_);
  std::swap(holder_, other.holder_);
  std::swap(bytes_, other.bytes_);
}

}  // namespace bluebellstep
