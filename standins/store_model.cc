// Tiers, links and faults of the store model.

#include "standins/store_model.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bluebellstep::standins {
namespace {

constexpr double kUsPerSecond = 1e6;

// Covers rounding in sums of fractions of bytes.
constexpr double kByteEpsilon = 1e-6;

}  // namespace

StoreModel::StoreModel(StoreOptions options, Instant now) : time_us_(now.ms * 1000) {
  assert(options.memory.link_bytes_per_s > 0 && options.disk.link_bytes_per_s > 0);
  tier(StoreTier::kMemory).options = options.memory;
  tier(StoreTier::kDisk).options = options.disk;
}

void StoreModel::advance(Instant now) {
  const std::int64_t target_us = now.ms * 1000;
  for (auto end = next_end_us(); end && *end <= target_us; end = next_end_us()) {
    carry(*end);
    for (Tier& each : tiers_) {
      if (!each.queue.empty() && each.queue.front().left <= kByteEpsilon) {
        Transfer ended = std::move(each.queue.front());
        each.queue.pop_front();
        finish(each, std::move(ended));
      }
    }
  }
  if (target_us > time_us_) {
    carry(target_us);
  }
}

std::optional<Instant> StoreModel::next_event() const {
  const auto end = next_end_us();
  return end ? std::optional(Instant{(*end + 999) / 1000}) : std::nullopt;
}

StoreCallId StoreModel::put(StoreTier tier_id,
                            std::string_view key,
                            std::string bytes,
                            Instant now) {
  advance(now);
  ++counters_.puts;
  const StoreCallId call{++last_call_};
  Tier& into = tier(tier_id);
  if (faults_.down) {
    return end_call(call, StoreStatus::kBroken);
  }
  if (faults_.full || into.used + into.reserved + bytes.size() > into.options.limit_bytes) {
    return end_call(call, StoreStatus::kFull);
  }
  into.reserved += bytes.size();
  const auto size = static_cast<double>(bytes.size());
  enqueue(into, {call, true, std::string(key), std::move(bytes), size});
  return call;
}

StoreCallId StoreModel::get(StoreTier tier_id, std::string_view key, Instant now) {
  advance(now);
  ++counters_.gets;
  const StoreCallId call{++last_call_};
  if (faults_.down) {
    return end_call(call, StoreStatus::kBroken);
  }
  auto bytes = read(tier(tier_id), key);
  if (!bytes) {
    return end_call(call, StoreStatus::kMissing);
  }
  const auto size = static_cast<double>(bytes->size());
  enqueue(tier(tier_id), {call, false, std::string(key), std::move(*bytes), size});
  return call;
}

StoreCallId StoreModel::remove(StoreTier tier_id, std::string_view key, Instant now) {
  advance(now);
  ++counters_.deletes;
  const StoreCallId call{++last_call_};
  if (faults_.down) {
    return end_call(call, StoreStatus::kBroken);
  }
  Tier& from = tier(tier_id);
  const auto found = from.values.find(key);
  if (found == from.values.end()) {
    return end_call(call, StoreStatus::kMissing);
  }
  from.used -= found->second.size();
  from.values.erase(found);
  return end_call(call, StoreStatus::kOk);
}

std::optional<StoreTierStatus> StoreModel::status(StoreTier tier_id, Instant now) {
  advance(now);
  if (faults_.down) {
    return std::nullopt;
  }
  const Tier& of = tier(tier_id);
  double queued = 0;
  for (const Transfer& transfer : of.queue) {
    queued += transfer.left;
  }
  return StoreTierStatus{of.used, of.options.limit_bytes, of.options.link_bytes_per_s,
                         static_cast<std::uint64_t>(std::ceil(queued - kByteEpsilon))};
}

void StoreModel::set_faults(StoreFaults faults, Instant now) {
  assert(faults.link_factor > 0);
  advance(now);
  faults_ = faults;
  if (!faults_.down) {
    return;
  }
  for (Tier& each : tiers_) {
    for (const Transfer& transfer : std::exchange(each.queue, {})) {
      end_call(transfer.call, StoreStatus::kBroken);
    }
    each.reserved = 0;
  }
}

StoreCallId StoreModel::end_call(StoreCallId call, StoreStatus status, std::string bytes) {
  counters_.misses += status == StoreStatus::kMissing ? 1 : 0;
  counters_.full += status == StoreStatus::kFull ? 1 : 0;
  counters_.broken += status == StoreStatus::kBroken ? 1 : 0;
  results_.push_back({call, {time_us_ / 1000}, status, std::move(bytes)});
  return call;
}

void StoreModel::enqueue(Tier& tier, Transfer transfer) {
  if (transfer.is_write && faults_.partial_writes) {
    transfer.left /= 2;  // The write breaks in the middle.
  }
  tier.queue.push_back(std::move(transfer));
}

double StoreModel::bytes_per_us(const Tier& tier) const {
  return static_cast<double>(tier.options.link_bytes_per_s) / kUsPerSecond / faults_.link_factor;
}

std::optional<std::int64_t> StoreModel::next_end_us() const {
  std::optional<std::int64_t> next;
  for (const Tier& each : tiers_) {
    if (!each.queue.empty()) {
      const double us = std::max(0.0, each.queue.front().left - kByteEpsilon) / bytes_per_us(each);
      const std::int64_t end = time_us_ + std::llround(std::ceil(us));
      next = next ? std::min(*next, end) : end;
    }
  }
  return next;
}

void StoreModel::carry(std::int64_t to_us) {
  const auto span = static_cast<double>(to_us - time_us_);
  for (Tier& each : tiers_) {
    if (!each.queue.empty()) {
      double& left = each.queue.front().left;
      left = std::max(0.0, left - span * bytes_per_us(each));
    }
  }
  time_us_ = to_us;
}

void StoreModel::finish(Tier& tier, Transfer transfer) {
  if (!transfer.is_write) {
    counters_.bytes_out += transfer.bytes.size();
    end_call(transfer.call, StoreStatus::kOk, std::move(transfer.bytes));
    return;
  }
  tier.reserved -= transfer.bytes.size();
  const bool cut = faults_.partial_writes;
  if (cut) {
    transfer.bytes.resize(transfer.bytes.size() / 2);
  }
  counters_.bytes_in += transfer.bytes.size();
  write(tier, transfer.key, std::move(transfer.bytes));
  end_call(transfer.call, cut ? StoreStatus::kBroken : StoreStatus::kOk);
}

void StoreModel::write(Tier& tier, const std::string& key, std::string bytes) {
  std::string& value = tier.values[key];
  tier.used -= value.size();
  tier.used += bytes.size();
  value = std::move(bytes);
}

std::optional<std::string> StoreModel::read(const Tier& tier, std::string_view key) const {
  auto found = tier.values.find(key);
  if (found == tier.values.end()) {
    return std::nullopt;
  }
  if (faults_.wrong_block) {
    // The next key in order. If it is the only one, the store has no other bytes to mix up.
    found = std::next(found) == tier.values.end() ? tier.values.begin() : std::next(found);
  }
  std::string bytes = found->second;
  if (faults_.corrupt_reads && !bytes.empty()) {
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
  }
  return bytes;
}

}  // namespace bluebellstep::standins
