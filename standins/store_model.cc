// Tiers, transfers and injected faults of the store model.

#include "standins/store_model.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bluebellstep::standins {
namespace {

constexpr double kUsPerSecond = 1e6;

// Tolerance in bytes for rounding errors when fractions of bytes are summed.
constexpr double kByteEpsilon = 1e-6;

}  // namespace

StoreModel::StoreModel(StoreOptions options, Instant now) : time_us_(now.ms * 1000) {
  assert(options.memory.link_bytes_per_s > 0 && options.disk.link_bytes_per_s > 0);
  tier(StoreTier::kMemory).options = options.memory;
  tier(StoreTier::kDisk).options = options.disk;
}

void StoreModel::advance(Instant now) {
  const std::int64_t target_us = now.ms * 1000;
  for (auto end = next_completion_us(); end && *end <= target_us; end = next_completion_us()) {
    advance_links(*end);
    for (Tier& current_tier : tiers_) {
      if (!current_tier.queue.empty() && current_tier.queue.front().bytes_left <= kByteEpsilon) {
        Transfer ended = std::move(current_tier.queue.front());
        current_tier.queue.pop_front();
        finish_transfer(current_tier, std::move(ended));
      }
    }
  }
  if (target_us > time_us_) {
    advance_links(target_us);
  }
}

std::optional<Instant> StoreModel::next_event() const {
  const auto end = next_completion_us();
  return end ? std::optional(Instant{(*end + 999) / 1000}) : std::nullopt;
}

StoreCallId StoreModel::put(StoreTier tier_id,
                            std::string_view key,
                            std::string bytes,
                            Instant now) {
  advance(now);
  ++counters_.puts;
  const StoreCallId call{++last_call_};
  Tier& destination = tier(tier_id);
  if (faults_.down) {
    return finish_call(call, StoreStatus::kBroken);
  }
  if (faults_.full ||
      destination.used + destination.reserved + bytes.size() > destination.options.limit_bytes) {
    return finish_call(call, StoreStatus::kFull);
  }
  destination.reserved += bytes.size();
  const auto size = static_cast<double>(bytes.size());
  enqueue(destination, {call, true, std::string(key), std::move(bytes), size});
  return call;
}

StoreCallId StoreModel::get(StoreTier tier_id, std::string_view key, Instant now) {
  advance(now);
  ++counters_.gets;
  const StoreCallId call{++last_call_};
  if (faults_.down) {
    return finish_call(call, StoreStatus::kBroken);
  }
  auto bytes = read_value(tier(tier_id), key);
  if (!bytes) {
    return finish_call(call, StoreStatus::kMissing);
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
    return finish_call(call, StoreStatus::kBroken);
  }
  Tier& selected_tier = tier(tier_id);
  const auto found = selected_tier.values.find(key);
  if (found == selected_tier.values.end()) {
    return finish_call(call, StoreStatus::kMissing);
  }
  selected_tier.used -= found->second.size();
  selected_tier.values.erase(found);
  return finish_call(call, StoreStatus::kOk);
}

std::optional<StoreTierStatus> StoreModel::status(StoreTier tier_id, Instant now) {
  advance(now);
  if (faults_.down) {
    return std::nullopt;
  }
  const Tier& tier_state = tier(tier_id);
  double queued = 0;
  for (const Transfer& transfer : tier_state.queue) {
    queued += transfer.bytes_left;
  }
  return StoreTierStatus{tier_state.used, tier_state.options.limit_bytes,
                         tier_state.options.link_bytes_per_s,
                         static_cast<std::uint64_t>(std::ceil(queued - kByteEpsilon))};
}

void StoreModel::set_faults(StoreFaults faults, Instant now) {
  assert(faults.slowdown_factor > 0);
  advance(now);
  faults_ = faults;
  if (!faults_.down) {
    return;
  }
  for (Tier& current_tier : tiers_) {
    for (const Transfer& transfer : std::exchange(current_tier.queue, {})) {
      finish_call(transfer.call, StoreStatus::kBroken);
    }
    current_tier.reserved = 0;
  }
}

StoreCallId StoreModel::finish_call(StoreCallId call, StoreStatus status, std::string bytes) {
  counters_.misses += status == StoreStatus::kMissing ? 1 : 0;
  counters_.full += status == StoreStatus::kFull ? 1 : 0;
  counters_.broken += status == StoreStatus::kBroken ? 1 : 0;
  results_.push_back({call, {time_us_ / 1000}, status, std::move(bytes)});
  return call;
}

void StoreModel::enqueue(Tier& tier, Transfer transfer) {
  if (transfer.is_write && faults_.partial_writes) {
    transfer.bytes_left /= 2;  // The write breaks after half of its bytes.
  }
  tier.queue.push_back(std::move(transfer));
}

double StoreModel::bytes_per_us(const Tier& tier) const {
  return static_cast<double>(tier.options.link_bytes_per_s) / kUsPerSecond /
         faults_.slowdown_factor;
}

std::optional<std::int64_t> StoreModel::next_completion_us() const {
  std::optional<std::int64_t> next;
  for (const Tier& current_tier : tiers_) {
    if (!current_tier.queue.empty()) {
      const double us = std::max(0.0, current_tier.queue.front().bytes_left - kByteEpsilon) /
                        bytes_per_us(current_tier);
      const std::int64_t end = time_us_ + std::llround(std::ceil(us));
      next = next ? std::min(*next, end) : end;
    }
  }
  return next;
}

void StoreModel::advance_links(std::int64_t to_us) {
  const auto elapsed_us = static_cast<double>(to_us - time_us_);
  for (Tier& current_tier : tiers_) {
    if (!current_tier.queue.empty()) {
      double& bytes_left = current_tier.queue.front().bytes_left;
      bytes_left = std::max(0.0, bytes_left - elapsed_us * bytes_per_us(current_tier));
    }
  }
  time_us_ = to_us;
}

void StoreModel::finish_transfer(Tier& tier, Transfer transfer) {
  if (!transfer.is_write) {
    counters_.bytes_out += transfer.bytes.size();
    finish_call(transfer.call, StoreStatus::kOk, std::move(transfer.bytes));
    return;
  }
  tier.reserved -= transfer.bytes.size();
  const bool is_partial = faults_.partial_writes;
  if (is_partial) {
    transfer.bytes.resize(transfer.bytes.size() / 2);
  }
  counters_.bytes_in += transfer.bytes.size();
  write_value(tier, transfer.key, std::move(transfer.bytes));
  finish_call(transfer.call, is_partial ? StoreStatus::kBroken : StoreStatus::kOk);
}

void StoreModel::write_value(Tier& tier, const std::string& key, std::string bytes) {
  std::string& value = tier.values[key];
  tier.used -= value.size();
  tier.used += bytes.size();
  value = std::move(bytes);
}

std::optional<std::string> StoreModel::read_value(const Tier& tier, std::string_view key) const {
  auto found = tier.values.find(key);
  if (found == tier.values.end()) {
    return std::nullopt;
  }
  if (faults_.wrong_block) {
    // Returns the value of the next key in order. If there is no other key, the right value is
    // returned.
    found = std::next(found) == tier.values.end() ? tier.values.begin() : std::next(found);
  }
  std::string bytes = found->second;
  if (faults_.corrupt_reads && !bytes.empty()) {
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
  }
  return bytes;
}

}  // namespace bluebellstep::standins
