// Start-time fair queue (SFQ) of client accounts, by token cost.
//
// Each account has a start tag: the virtual time at which its next request is due. The tag advances
// by cost / weight with each request served, and the account with the lowest tag is served next.
// Within an account, the priorities share its service by fixed weights: the request with the lowest
// finish tag (start tag of its priority plus its own weighted cost) is served next, so that a
// high-priority request precedes a low-priority request of the same age. Requests of one priority
// are served in order of arrival. Each operation takes O(log accounts).

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

/** Priority of a request among the requests of its own account. */
enum class Priority : std::uint8_t { kHigh = 0, kNormal = 1, kLow = 2 };

/** Queue of waiting requests. It is work-conserving: `pop` returns a request whenever the queue is
 * not empty. */
class FairQueue {
 public:
  /** Burst for sidecars: two prompts of 20 blocks. One long prompt uses up several seconds of a
   * small account's share of an upstream; without the burst, the account's next short prompt would
   * have to wait that long. */
  static constexpr Cost kPromptBurst = {40'000};

  /** `burst` is the cost by which an account that was idle may be served ahead of its share. It is
   * deducted from the later service of the account, so that long-term shares are not affected. */
  explicit FairQueue(Cost burst = {}) : burst_(burst) {}

  /** Sets the weight of an account, which must be above 0; the default is 1. The weight applies to
   * requests served from now on. */
  void set_weight(AccountId account, double weight);

  /** Adds a request with its estimated cost. The request must not be in the queue already. */
  void push(AccountId account, RequestId request, Cost estimate, Priority priority);

  /** Returns the request that `pop` would return, without removing it. */
  std::optional<RequestId> front() const;

  /** Removes the next request and charges its estimated cost to its account. Returns nothing if the
   * queue is empty. */
  std::optional<RequestId> pop();

  /** Charges an account the difference between the actual and the estimated cost of a request that
   * was popped or charged earlier. A negative difference is credited. An account without waiting
   * requests loses the credit that would make its next request due before the current virtual time.
   */
  void correct_charge(AccountId account, Cost delta);

  /** Charges an account for a request that was dispatched without being queued. */
  void charge(AccountId account, Cost estimate);

  /** Returns whether the account has no request waiting and was charged at most the burst more than
   * the backlogged accounts, so that a request of the account would be served next. */
  bool is_within_share(AccountId account) const;

  /** Removes a waiting request without a charge. Returns false if it is not in the queue. */
  bool cancel(RequestId request);

  /** Returns the number of waiting requests. */
  std::size_t size() const { return by_request_.size(); }

  /** Returns the number of waiting requests of one account. */
  std::size_t size(AccountId account) const;

  /** Returns the number of accounts with waiting requests. */
  std::size_t waiting_accounts() const { return backlogged_.size(); }

 private:
  static constexpr std::uint32_t kNoNode = 0xffffffff;
  static constexpr std::size_t kPriorities = 3;

  struct Node {
    RequestId request;
    Cost cost;
    AccountId account;
    Priority priority = Priority::kNormal;
    std::uint32_t previous = kNoNode;
    std::uint32_t next = kNoNode;
  };

  // Waiting requests of one account and priority: a doubly linked list through nodes_. `tag` is the
  // start tag of the first request.
  struct PriorityClass {
    std::uint32_t head = kNoNode;
    std::uint32_t tail = kNoNode;
    double tag = 0;
  };

  // `tag` is the start tag of the next request: at least the virtual time when the account became
  // backlogged. Virtual time grows by at most (tokens served) / (least weight); at 25 million per
  // second, a double represents it to a precision of one token for eleven years.
  struct Account {
    double weight = 1;
    double tag = 0;
    // Key in backlogged_: the tag minus the burst, but at least the virtual time when it was set.
    double due = 0;
    double class_virtual_time = 0;  // Greatest tag of a served priority class.
    std::size_t waiting = 0;
    std::array<PriorityClass, kPriorities> priority_classes;
  };

  Account& account_at(AccountId account);
  std::uint32_t next_node(const Account& account) const;
  double due_at(const Account& account) const;
  void set_tag(AccountId id, Account& account, double tag);
  std::uint32_t allocate_node();
  void append(PriorityClass& priority_class, std::uint32_t index);
  void remove(std::uint32_t index);

  std::vector<Account> accounts_;  // By account id; the ids are dense.
  // Contains {due, id} of exactly the accounts with waiting > 0.
  std::set<std::pair<double, std::uint32_t>> backlogged_;
  double virtual_time_ = 0;  // Greatest `due` served.
  Cost burst_;
  std::vector<Node> nodes_;
  std::vector<std::uint32_t> free_nodes_;
  std::unordered_map<RequestId, std::uint32_t> by_request_;  // Index into nodes_.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_FAIRNESS_FAIR_QUEUE_H_
