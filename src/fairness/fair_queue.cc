// Start-time fair queueing.

#include "fairness/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace bluebellstep {
namespace {

// Shares of an account's service by priority. No weight is 0, so no priority starves.
constexpr std::array<double, 3> kPriorityWeights = {16, 4, 1};

// A request without cost would leave the tag unchanged and be followed by more of its kind forever.
double chargeable(Cost cost) {
  return static_cast<double>(std::max<std::int64_t>(cost.tokens, 1));
}

double lane_charge(Cost cost, Priority priority) {
  return chargeable(cost) / kPriorityWeights.at(static_cast<std::size_t>(priority));
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
  // The set's node is reused, so that no step allocates.
  auto entry = backlogged_.extract({account.due, id.value});
  account.tag = tag;
  account.due = due_at(account);
  entry.value() = {account.due, id.value};
  backlogged_.insert(std::move(entry));
}

std::uint32_t FairQueue::take_node() {
  if (free_nodes_.empty()) {
    nodes_.emplace_back();
    return static_cast<std::uint32_t>(nodes_.size() - 1);
  }
  const std::uint32_t index = free_nodes_.back();
  free_nodes_.pop_back();
  return index;
}

void FairQueue::append(Lane& lane, std::uint32_t index) {
  nodes_[index].previous = lane.tail;
  (lane.tail == kNone ? lane.head : nodes_[lane.tail].next) = index;
  lane.tail = index;
}

void FairQueue::push(AccountId id, RequestId request, Cost estimate, Priority priority) {
  const std::uint32_t index = take_node();
  [[maybe_unused]] const bool added = by_request_.emplace(request, index).second;
  assert(added);
  nodes_[index] = {.request = request, .cost = estimate, .account = id, .priority = priority};

  Account& account = account_at(id);
  Lane& lane = account.lanes.at(static_cast<std::size_t>(priority));
  if (lane.head == kNone) {
    lane.tag = std::max(lane.tag, account.lane_time);
  }
  append(lane, index);
  if (account.waiting == 0) {
    account.tag = std::max(account.tag, virtual_time_);
    account.due = due_at(account);
    backlogged_.insert({account.due, id.value});
  }
  ++account.waiting;
}

std::uint32_t FairQueue::next_node(const Account& account) const {
  std::uint32_t best = kNone;
  double best_finish = 0;
  for (const Lane& lane : account.lanes) {
    if (lane.head == kNone) {
      continue;
    }
    const Node& node = nodes_[lane.head];
    const double finish = lane.tag + lane_charge(node.cost, node.priority);
    if (best == kNone || finish < best_finish) {
      best = lane.head;
      best_finish = finish;
    }
  }
  assert(best != kNone);
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
  Lane& lane = account.lanes.at(static_cast<std::size_t>(node.priority));

  virtual_time_ = std::max(virtual_time_, account.due);
  account.lane_time = std::max(account.lane_time, lane.tag);
  lane.tag += lane_charge(node.cost, node.priority);
  set_tag(id, account, account.tag + chargeable(node.cost) / account.weight);
  remove(index);
  return node.request;
}

void FairQueue::remove(std::uint32_t index) {
  const Node node = nodes_[index];
  Account& account = accounts_[node.account.value];
  Lane& lane = account.lanes.at(static_cast<std::size_t>(node.priority));
  (node.previous == kNone ? lane.head : nodes_[node.previous].next) = node.next;
  (node.next == kNone ? lane.tail : nodes_[node.next].previous) = node.previous;
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
  const double from = std::max(account.tag, virtual_time_);
  set_tag(id, account, from + chargeable(estimate) / account.weight);
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
