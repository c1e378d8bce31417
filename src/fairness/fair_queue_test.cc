// Tests of the fair queue. The design page requires weighted shares to hold within 5%.

#include "fairness/fair_queue.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>
#include <vector>

#include "base/random.h"

namespace bluebellstep {
namespace {

constexpr double kShareBound = 0.05;

// A fair queue with its waiting requests and the cost served to each account.
class Backlog {
 public:
  explicit Backlog(std::uint64_t seed, Cost burst = {}) : queue_(burst), random_(seed) {}

  FairQueue& queue() { return queue_; }
  Random& random() { return random_; }

  RequestId push(AccountId account, Cost estimate, Cost actual, Priority priority) {
    const RequestId request{++last_request_};
    waiting_[request] = {account, estimate, actual};
    queue_.push(account, request, estimate, priority);
    return request;
  }

  RequestId push(AccountId account, std::int64_t tokens, Priority priority = Priority::kNormal) {
    return push(account, {tokens}, {tokens}, priority);
  }

  struct Served {
    RequestId request;
    AccountId account;
  };

  // Serves one request and immediately corrects its charge to the actual cost.
  Served serve() {
    const auto front = queue_.front();
    const auto request = queue_.pop();
    REQUIRE(request.has_value());
    REQUIRE(front == request);
    const Waiting waiting = waiting_.at(*request);
    waiting_.erase(*request);
    served_[waiting.account.value] += static_cast<double>(waiting.actual.tokens);
    queue_.correct_charge(waiting.account, waiting.actual - waiting.estimate);
    return {*request, waiting.account};
  }

  double served(AccountId account) { return served_[account.value]; }

  double total() const {
    double sum = 0;
    for (const auto& [account, cost] : served_) {
      sum += cost;
    }
    return sum;
  }

 private:
  struct Waiting {
    AccountId account;
    Cost estimate;
    Cost actual;
  };

  FairQueue queue_;
  Random random_;
  std::uint64_t last_request_ = 0;
  std::map<RequestId, Waiting> waiting_;
  std::map<std::uint32_t, double> served_;
};

}  // namespace

// Guards against shares that depend on the number or the size of requests instead of the weights,
// even if the estimates of an account are consistently up to three times too high or too low.
TEST_CASE("backlogged accounts get their weighted shares", "[fairness]") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Backlog backlog(seed);
    Random& random = backlog.random();
    const std::uint32_t accounts = 2 + static_cast<std::uint32_t>(random.below(12));
    std::vector<double> weights;
    std::vector<std::int64_t> sizes;
    std::vector<double> biases;
    double weight_sum = 0;
    for (std::uint32_t i = 0; i < accounts; ++i) {
      weights.push_back(0.5 + random.uniform() * 8);
      sizes.push_back(20 + static_cast<std::int64_t>(random.below(8000)));
      biases.push_back(std::exp((random.uniform() * 2 - 1) * std::log(3.0)));
      weight_sum += weights.back();
      backlog.queue().set_weight({i}, weights.back());
    }
    const auto push = [&](AccountId account) {
      const auto actual = static_cast<std::int64_t>(static_cast<double>(sizes[account.value]) *
                                                    (0.2 + 1.6 * random.uniform()));
      const auto estimate =
          static_cast<std::int64_t>(static_cast<double>(actual) * biases[account.value]);
      backlog.push(account, {estimate}, {actual}, static_cast<Priority>(random.below(3)));
    };
    for (std::uint32_t i = 0; i < accounts; ++i) {
      push({i});
      push({i});
    }
    for (int step = 0; step < 40'000; ++step) {
      push(backlog.serve().account);
    }
    for (std::uint32_t i = 0; i < accounts; ++i) {
      INFO("account " << i);
      const double share = backlog.served({i}) / backlog.total();
      CHECK(share == Approx(weights[i] / weight_sum).epsilon(kShareBound));
    }
  }
}

// Guards against a flood that delays other accounts: a request of an account within its share waits
// for at most one request of each other account, however many of them are queued.
TEST_CASE("a flood does not delay accounts within their share", "[fairness]") {
  Backlog backlog(3);
  constexpr std::uint32_t kLarge = 3;
  for (std::uint32_t large = 0; large < kLarge; ++large) {
    for (int i = 0; i < 1000; ++i) {
      backlog.push({large}, 1000);
    }
  }
  for (int round = 0; round < 200; ++round) {
    const AccountId small{kLarge + round % 4};
    const RequestId request = backlog.push(small, 100);
    std::uint32_t before = 0;
    while (backlog.serve().request != request) {
      ++before;
    }
    CHECK(before <= kLarge);
  }
}

// Guards against idle capacity while requests wait, and against lost requests.
TEST_CASE("the queue returns each request once and never idles while one waits", "[fairness]") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    FairQueue queue;
    std::map<RequestId, int> waiting;
    std::uint64_t next = 0;
    for (int step = 0; step < 20'000; ++step) {
      const std::uint64_t action = random.below(10);
      if (action < 4) {
        const RequestId request{++next};
        waiting[request] = 1;
        queue.push({static_cast<std::uint32_t>(random.below(9))}, request,
                   {static_cast<std::int64_t>(random.below(500))},
                   static_cast<Priority>(random.below(3)));
      } else if (action < 8) {
        const auto request = queue.pop();
        REQUIRE(request.has_value() == !waiting.empty());
        REQUIRE((!request || waiting.erase(*request) == 1));
      } else if (action == 8) {
        const RequestId request{random.below(next + 2)};
        REQUIRE(queue.cancel(request) == (waiting.erase(request) == 1));
      } else {
        queue.correct_charge({static_cast<std::uint32_t>(random.below(9))},
                             {static_cast<std::int64_t>(random.below(1000)) - 500});
      }
      REQUIRE(queue.size() == waiting.size());
    }
  }
}

// Guards against low-priority requests that starve within an account, and against priorities that
// affect the shares of other accounts.
TEST_CASE("priorities order the requests of one account without starving any", "[fairness]") {
  Backlog backlog(1);
  const AccountId high_account{0};
  const AccountId low_account{1};
  for (int i = 0; i < 8; ++i) {
    backlog.push(high_account, 100, Priority::kHigh);
    backlog.push(low_account, 100, Priority::kLow);
  }
  const RequestId low = backlog.push(high_account, 100, Priority::kLow);
  int low_served_at = -1;
  for (int step = 0; step < 1000; ++step) {
    const auto served = backlog.serve();
    low_served_at = served.request == low ? step : low_served_at;
    const bool is_high_account = served.account == high_account;
    backlog.push(served.account, 100, is_high_account ? Priority::kHigh : Priority::kLow);
  }
  CHECK(low_served_at >= 0);
  CHECK(low_served_at < 100);
  CHECK(backlog.served(high_account) / backlog.total() == Approx(0.5).epsilon(kShareBound));
}

TEST_CASE("requests of one priority are served in order of arrival", "[fairness]") {
  FairQueue queue;
  const AccountId account{0};
  queue.push(account, {1}, {10}, Priority::kLow);
  queue.push(account, {2}, {10}, Priority::kHigh);
  queue.push(account, {3}, {10}, Priority::kHigh);
  queue.push(account, {4}, {10}, Priority::kHigh);
  CHECK(queue.cancel({3}));
  CHECK(queue.size(account) == 3);
  CHECK(queue.pop() == RequestId{2});
  CHECK(queue.pop() == RequestId{4});
  CHECK(queue.pop() == RequestId{1});
}

// Guards against credit accumulated while idle: an account that returns after a long time gets its
// share from then on, but no compensation for the time without requests.
TEST_CASE("an idle account accumulates no credit", "[fairness]") {
  Backlog backlog(1);
  for (int i = 0; i < 2000; ++i) {
    backlog.push({0}, 100);
  }
  for (int i = 0; i < 1000; ++i) {
    backlog.serve();
  }
  for (int i = 0; i < 100; ++i) {
    backlog.push({1}, 100);
  }
  for (int i = 0; i < 100; ++i) {
    backlog.serve();
  }
  CHECK(backlog.served({1}) / 100 == Approx(50).margin(2));
}

// Guards against a burst of low-priority requests that delays the high-priority requests of the
// same account after a long time without low-priority ones.
TEST_CASE("an idle priority accumulates no credit", "[fairness]") {
  Backlog backlog(1);
  const AccountId account{0};
  for (int i = 0; i < 3000; ++i) {
    backlog.push(account, 100, Priority::kHigh);
  }
  for (int i = 0; i < 1000; ++i) {
    backlog.serve();
  }
  const RequestId first_low = backlog.push(account, 100, Priority::kLow);
  for (int i = 1; i < 100; ++i) {
    backlog.push(account, 100, Priority::kLow);
  }
  int low_served = 0;
  for (int i = 0; i < 170; ++i) {
    low_served += backlog.serve().request.value >= first_low.value ? 1 : 0;
  }
  CHECK(low_served == Approx(10).margin(1));
}

// Guards against an account that is served ahead of the queue by more than its share plus the
// burst.
TEST_CASE("an account is within its share until it was served as much as the others",
          "[fairness]") {
  constexpr std::int64_t kLarge = 10'000;
  constexpr std::int64_t kSmall = 5'000;
  Backlog backlog(1, FairQueue::kPromptBurst);
  for (int i = 0; i < 300; ++i) {
    backlog.push({0}, kLarge);
  }
  double ahead = 0;
  for (int i = 0; i < 250; ++i) {
    while (backlog.queue().is_within_share({1})) {
      backlog.queue().charge({1}, {kSmall});
      ahead += kSmall;
    }
    backlog.serve();
    CHECK(ahead <= backlog.served({0}) + 2 * FairQueue::kPromptBurst.tokens + kSmall);
  }
  CHECK(ahead == Approx(backlog.served({0})).epsilon(0.05));
  for (int i = 0; i < 300; ++i) {
    backlog.push({2}, kSmall);
  }
  // An account that was idle is served the burst ahead of the others, and equal shares after that.
  const double before = backlog.served({0});
  while (backlog.served({2}) < 500'000) {
    backlog.serve();
    CHECK(backlog.served({2}) - (backlog.served({0}) - before) <=
          FairQueue::kPromptBurst.tokens + 2 * kLarge);
  }
  CHECK_FALSE(backlog.queue().is_within_share({0}));
}

TEST_CASE("cost excludes cached prompt tokens", "[fairness]") {
  CHECK(cost_of({.prompt_tokens = 9000,
                 .cached_tokens = 8000,
                 .decode_tokens = 50,
                 .transfer_tokens = 200}) == Cost{1250});
}

}  // namespace bluebellstep
