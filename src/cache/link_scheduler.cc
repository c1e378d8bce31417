// Queues and deadlines of transfers.

#include "cache/link_scheduler.h"

#include <cassert>

namespace bluebellstep {

LinkScheduler::LinkScheduler(std::uint32_t max_in_flight) : max_in_flight_(max_in_flight) {
  assert(max_in_flight > 0);
}

void LinkScheduler::set_weight(AccountId account, double weight) {
  for (Link& each : links_) {
    each.queue.set_weight(account, weight);
  }
}

void LinkScheduler::push(const Transfer& transfer) {
  Link& queued_link = link(transfer.tier);
  transfers_.emplace(transfer.id, transfer);
  by_deadline_.insert({transfer.deadline, transfer.id});
  queued_link.queue.push(transfer.account, {transfer.id.value},
                         {static_cast<std::int64_t>(transfer.bytes)}, transfer.priority);
  queued_link.bytes += transfer.bytes;
}

std::optional<Transfer> LinkScheduler::start_next(Tier tier, Instant now) {
  Link& tier_link = link(tier);
  if (tier_link.in_flight >= max_in_flight_) {
    return std::nullopt;
  }
  while (const auto front = tier_link.queue.front()) {
    const Transfer& transfer = transfers_.at({front->value});
    if (transfer.deadline <= now) {
      // Removed without a charge; `take_expired` removes the transfer itself.
      tier_link.queue.cancel(*front);
      continue;
    }
    tier_link.queue.pop();
    by_deadline_.erase({transfer.deadline, transfer.id});
    ++tier_link.in_flight;
    return transfer;
  }
  return std::nullopt;
}

void LinkScheduler::finish(TransferId id) {
  const auto found = transfers_.find(id);
  if (found == transfers_.end()) {
    return;
  }
  Link& tier_link = link(found->second.tier);
  if (by_deadline_.erase({found->second.deadline, id}) > 0) {
    tier_link.queue.cancel({id.value});
  } else {
    assert(tier_link.in_flight > 0);
    --tier_link.in_flight;
  }
  tier_link.bytes -= found->second.bytes;
  transfers_.erase(found);
}

std::vector<TransferId> LinkScheduler::take_expired(Instant now) {
  std::vector<TransferId> expired;
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
    const TransferId id = by_deadline_.begin()->second;
    by_deadline_.erase(by_deadline_.begin());
    const auto found = transfers_.find(id);
    Link& tier_link = link(found->second.tier);
    tier_link.queue.cancel({id.value});
    tier_link.bytes -= found->second.bytes;
    transfers_.erase(found);
    expired.push_back(id);
  }
  return expired;
}

}  // namespace bluebellstep
