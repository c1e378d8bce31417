// Start-time fair queue over client accounts, by token cost.
//
// Each account has a start tag: the virtual time at which its next request is due, which advances
// by cost / weight with each request served. The account with the lowest tag is served. Inside an
// account, the priorities share the account's service by fixed weights, lowest finish tag (start
// tag plus the request's own charge) first, so that a high priority goes before a low one of the
// same age. Requests of one priority are served in order of arrival. A step takes O(log accounts).

#ifndef BLUEBELLSTEP_FAIRNESS_FAIR_QUEUE_H_
#define BLUEBELLSTEP_FAIRNESS_FAIR_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/id.h"
#include "fairness/cost.h"

namespace bluebellstep {

/** Priority of a request among those of its own account. */
enum class Priority : std::uint8_t { kHigh = 0, kNormal = 1, kLow = 2 };

/** Queue of waiting requests. Work-conserving: `pop` gives a request whenever one waits. */
class FairQueue {
 public:
  /** Burst for sidecars: two prompts of 20 blocks. One long prompt costs an upstream several
   * seconds of a small account's share; without the burst, the account's next short one waits as
   * long. */
  static constexpr Cost kPromptBurst = {40'000};

  /** `burst` is the cost that an account returning from idleness may be served ahead of its share.
   * Its later service makes up for it, so shares hold in the long run. */
  explicit FairQueue(Cost burst = {}) : burst_(burst) {}

  /** Sets the weight of an account; 1 if never set. Must be above 0. Applies to what is served from
   * now on. */
  void set_weight(AccountId account, double weight);

  /** Adds a request, which must not be in the queue, with its estimated cost. */
  void push(AccountId account, RequestId request, Cost estimate, Priority priority);

  /** Returns the request that `pop` would give, without taking it. */
  std::optional<RequestId> front() const;

  /** Takes the next request and charges its account the estimate. Nothing if the queue is empty. */
  std::optional<RequestId> pop();

  /** Charges an account the difference between true and estimated cost of a request popped
   * earlier. A negative difference is credited; credit of an account without waiting requests
   * counts only down to the present virtual time. */
  void correct_charge(AccountId account, Cost delta);

  /** Charges an account for a request that was dispatched without waiting here. */
  void charge(AccountId account, Cost estimate);

  /** True if the account has no request waiting and has been charged at most the burst more than
   * the backlogged accounts: a request of it would be the next to be served. */
  bool is_within_share(AccountId account) const;

  /** Removes a waiting request without charge. Returns false if it does not wait here. */
  bool cancel(RequestId request);

  /** Returns the number of waiting requests. */
  std::size_t size() const { return by_request_.size(); }

  /** Returns the number of waiting requests of one account. */
  std::size_t size(AccountId account) const;

  /** Returns the number of accounts with waiting requests. */
  std::size_t waiting_accounts() const { return backlogged_.size(); }

 private:
  static constexpr std::uint32_t kNone = 0xffffffff;
  static constexpr std::size_t kPriorities = 3;

  struct Node {
    RequestId request;
    Cost cost;
    AccountId account;
    Priority priority = Priority::kNormal;
    std::uint32_t previous = kNone;
    std::uint32_t next = kNone;
  };

  // Requests of one priority of one account, as a list through nodes_.
  struct Lane {
    std::uint32_t head = kNone;
    std::uint32_t tail = kNone;
    double tag = 0;
  };

  // `tag` is the start tag of the next request: at least the virtual time when the account became
  // backlogged. Virtual time grows by at most total tokens / least weight; at 25 million a second a
  // double holds it to a whole token for eleven years.
  struct Account {
    double weight = 1;
    double tag = 0;
    // Place in the order: the tag less the burst, at least the virtual time when it was set.
    double due = 0;
    double lane_time = 0;
    std::size_t waiting = 0;
    std::array<Lane, kPriorities> lanes;
  };

  Account& account_at(AccountId account);
  std::uint32_t next_node(const Account& account) const;
  double due_at(const Account& account) const;
  void set_tag(AccountId id, Account& account, double tag);
  std::uint32_t take_node();
  void append(Lane& lane, std::uint32_t index);
  void remove(std::uint32_t index);

  std::vector<Account> accounts_;  // By account id, which is dense.
  // Holds {due, id} of exactly the accounts with waiting > 0.
  std::set<std::pair<double, std::uint32_t>> backlogged_;
  double virtual_time_ = 0;  // Greatest `due` served.
  Cost burst_;
  std::vector<Node> nodes_;
  std::vector<std::uint32_t> free_nodes_;
  std::unordered_map<RequestId, std::uint32_t> by_request_;  // Index into nodes_.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_FAIRNESS_FAIR_QUEUE_H_
