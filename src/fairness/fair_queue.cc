// Implementation of start-time fair queueing.

#include "fairness/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace bluebellstep {
namespace {

// Weights by which the priorities share the service of an account. No weight is 0, so that no
// priority starves.
constexpr std::array<double, 3> kPriorityWeights = {16, 4, 1};

// Requests have a cost of at least one token. With a cost of 0 the tag would not advance, and an
// account with only such requests would be served forever.
double charged_tokens(Cost cost) {
  return static_cast<double>(std::max<std::int64_t>(cost.tokens, 1));
}

double priority_charge(Cost cost, Priority priority) {
  return charged_tokens(cost) / kPriorityWeights.at(static_cast<std::size_t>(priority));
}

}  // namespace

FairQueue::Account& FairQueue::account_at(AccountId account) {
  if (account.value >= accounts_.size()) {
    accounts_.resize(account.value + 1);
  }
  return accounts_[account.value];
}

void FairQueue::set_weight(AccountId account, double weight) {
  assert(weight > 0);
  account_at(account).weight = weight;
}

std::size_t FairQueue::size(AccountId account) const {
  return account.value < accounts_.size() ? accounts_[account.value].waiting : 0;
}

double FairQueue::due_at(const Account& account) const {
  return std::max(account.tag - static_cast<double>(burst_.tokens) / account.weight, virtual_time_);
}

void FairQueue::set_tag(AccountId id, Account& account, double tag) {
  if (account.waiting == 0) {
    account.tag = tag;
    return;
  }
  // Reinserts the extracted node of the set, which avoids an allocation.
  auto entry = backlogged_.extract({account.due, id.value});
  account.tag = tag;
  account.due = due_at(account);
  entry.value() = {account.due, id.value};
  backlogged_.insert(std::move(entry));
}

std::uint32_t FairQueue::allocate_node() {
  if (free_nodes_.empty()) {
    nodes_.emplace_back();
    return static_cast<std::uint32_t>(nodes_.size() - 1);
  }
  const std::uint32_t index = free_nodes_.back();
  free_nodes_.pop_back();
  return index;
}

void FairQueue::append(PriorityClass& priority_class, std::uint32_t index) {
  nodes_[index].previous = priority_class.tail;
  (priority_class.tail == kNoNode ? priority_class.head : nodes_[priority_class.tail].next) = index;
  priority_class.tail = index;
}

void FairQueue::push(AccountId id, RequestId request, Cost estimate, Priority priority) {
  const std::uint32_t index = allocate_node();
  [[maybe_unused]] const bool added = by_request_.emplace(request, index).second;
  assert(added);
  nodes_[index] = {.request = request, .cost = estimate, .account = id, .priority = priority};

  Account& account = account_at(id);
  PriorityClass& priority_class = account.priority_classes.at(static_cast<std::size_t>(priority));
  if (priority_class.head == kNoNode) {
    priority_class.tag = std::max(priority_class.tag, account.class_virtual_time);
  }
  append(priority_class, index);
  if (account.waiting == 0) {
    account.tag = std::max(account.tag, virtual_time_);
    account.due = due_at(account);
    backlogged_.insert({account.due, id.value});
  }
  ++account.waiting;
}

std::uint32_t FairQueue::next_node(const Account& account) const {
  std::uint32_t best = kNoNode;
  double best_finish = 0;
  for (const PriorityClass& priority_class : account.priority_classes) {
    if (priority_class.head == kNoNode) {
      continue;
    }
    const Node& node = nodes_[priority_class.head];
    const double finish = priority_class.tag + priority_charge(node.cost, node.priority);
    if (best == kNoNode || finish < best_finish) {
      best = priority_class.head;
      best_finish = finish;
    }
  }
  assert(best != kNoNode);
  return best;
}

std::optional<RequestId> FairQueue::front() const {
  if (backlogged_.empty()) {
    return std::nullopt;
  }
  return nodes_[next_node(accounts_[backlogged_.begin()->second])].request;
}

std::optional<RequestId> FairQueue::pop() {
  if (backlogged_.empty()) {
    return std::nullopt;
  }
  const AccountId id{backlogged_.begin()->second};
  Account& account = accounts_[id.value];
  const std::uint32_t index = next_node(account);
  const Node node = nodes_[index];
  PriorityClass& priority_class =
      account.priority_classes.at(static_cast<std::size_t>(node.priority));

  virtual_time_ = std::max(virtual_time_, account.due);
  account.class_virtual_time = std::max(account.class_virtual_time, priority_class.tag);
  priority_class.tag += priority_charge(node.cost, node.priority);
  set_tag(id, account, account.tag + charged_tokens(node.cost) / account.weight);
  remove(index);
  return node.request;
}

void FairQueue::remove(std::uint32_t index) {
  const Node node = nodes_[index];
  Account& account = accounts_[node.account.value];
  PriorityClass& priority_class =
      account.priority_classes.at(static_cast<std::size_t>(node.priority));
  (node.previous == kNoNode ? priority_class.head : nodes_[node.previous].next) = node.next;
  (node.next == kNoNode ? priority_class.tail : nodes_[node.next].previous) = node.previous;
  if (--account.waiting == 0) {
    backlogged_.erase({account.due, node.account.value});
  }
  by_request_.erase(node.request);
  free_nodes_.push_back(index);
}

void FairQueue::correct_charge(AccountId id, Cost delta) {
  Account& account = account_at(id);
  set_tag(id, account, account.tag + static_cast<double>(delta.tokens) / account.weight);
}

void FairQueue::charge(AccountId id, Cost estimate) {
  Account& account = account_at(id);
  const double start = std::max(account.tag, virtual_time_);
  set_tag(id, account, start + charged_tokens(estimate) / account.weight);
}

bool FairQueue::is_within_share(AccountId id) const {
  if (id.value >= accounts_.size()) {
    return true;
  }
  const Account& account = accounts_[id.value];
  return account.waiting == 0 && due_at(account) <= virtual_time_;
}

bool FairQueue::cancel(RequestId request) {
  const auto found = by_request_.find(request);
  if (found == by_request_.end()) {
    return false;
  }
  remove(found->second);
  return true;
}

}  // namespace bluebellstep
