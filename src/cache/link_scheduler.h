// Shares the links to the store tiers among client accounts.

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

/** Id of a transfer, unique in one scheduler. */
using TransferId = Id<struct TransferTag, std::uint64_t>;

/** A block to move over a link. */
struct Transfer {
  TransferId id;
  AccountId account;
  Tier tier = Tier::kMemory;
  std::uint64_t bytes = 0;
  /** Not worth starting at or after this time. */
  Instant deadline;
  Priority priority = Priority::kNormal;
};

/** Fair queue of transfers for each tier, with a bound on those under way at once. */
class LinkScheduler {
 public:
  /** `max_in_flight` transfers of a tier run at once, at least 1. */
  explicit LinkScheduler(std::uint32_t max_in_flight);

  /** Sets an account's weight on all links. */
  void set_weight(AccountId account, double weight);

  /** Queues a transfer. */
  void push(const Transfer& transfer);

  /** Returns the next transfer to start on a tier, or nothing if the link is busy or none waits.
   * Transfers past their deadline are never returned; see `take_expired`. */
  std::optional<Transfer> start_next(Tier tier, Instant now);

  /** Ends a transfer, whatever came of it; one that still waits is dropped. */
  void finish(TransferId transfer);

  /** Drops the transfers whose deadline has come before they were started, and returns their ids.
   * Their runs compute the blocks. */
  std::vector<TransferId> take_expired(Instant now);

  /** Returns the bytes queued and under way on a tier. */
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
  // Exactly the transfers that wait.
  std::set<std::pair<Instant, TransferId>> by_deadline_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_LINK_SCHEDULER_H_
