// Divides the bandwidth of the links to the storage tiers among client accounts.

#ifndef BLUEBELLSTEP_CACHE_LINK_SCHEDULER_H_
#define BLUEBELLSTEP_CACHE_LINK_SCHEDULER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "cache/block_index.h"
#include "fairness/fair_queue.h"

namespace bluebellstep {

/** Id of a transfer, unique within a scheduler. */
using TransferId = Id<struct TransferTag, std::uint64_t>;

/** Transfer of a block over the link to a tier. */
struct Transfer {
  TransferId id;
  AccountId account;
  Tier tier = Tier::kMemory;
  std::uint64_t bytes = 0;
  /** The transfer must start before this time. */
  Instant deadline;
  Priority priority = Priority::kNormal;
};

/** Fair queue of transfers for each tier, with a limit on the transfers in flight. */
class LinkScheduler {
 public:
  /** `max_in_flight` is the maximum number of transfers in flight per tier, at least 1. */
  explicit LinkScheduler(std::uint32_t max_in_flight);

  /** Sets the weight of an account on all links. */
  void set_weight(AccountId account, double weight);

  /** Queues a transfer. */
  void push(const Transfer& transfer);

  /** Returns the next transfer to start on a tier. Returns nothing if the maximum number is in
   * flight or no transfer is queued. Transfers past their deadline are never returned; see
   * `take_expired`. */
  std::optional<Transfer> start_next(Tier tier, Instant now);

  /** Removes a transfer that has succeeded or failed, or one that is still queued. Unknown ids are
   * ignored. */
  void finish(TransferId transfer);

  /** Removes the queued transfers whose deadline has passed, and returns their ids. Their runs must
   * compute the blocks. */
  std::vector<TransferId> take_expired(Instant now);

  /** Returns the bytes of the transfers queued and in flight on a tier. */
  std::uint64_t queued_bytes(Tier tier) const { return link(tier).bytes; }

 private:
  struct Link {
    FairQueue queue;
    std::uint32_t in_flight = 0;
    std::uint64_t bytes = 0;
  };

  Link& link(Tier tier) { return links_.at(static_cast<std::size_t>(tier)); }
  const Link& link(Tier tier) const { return links_.at(static_cast<std::size_t>(tier)); }

  std::uint32_t max_in_flight_;
  std::array<Link, kTierCount> links_;
  std::unordered_map<TransferId, Transfer> transfers_;
  // Contains exactly the transfers that were not started.
  std::set<std::pair<Instant, TransferId>> by_deadline_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_LINK_SCHEDULER_H_
