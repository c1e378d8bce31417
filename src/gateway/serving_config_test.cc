// Tests of the priorities of requests.

#include "gateway/serving_config.h"

#include <catch2/catch.hpp>

namespace bluebellstep {
namespace {

// A service that an urgent and a less urgent route lead to.
ServingConfig two_routes() {
  ServingConfig config;
  config.services["llm"].name = "llm";
  config.lists_accounts = true;
  config.routes = {{.name = "chat", .latency_goal = 400_ms, .priority = 1, .targets = {{"llm"}}},
                   {.name = "batch", .latency_goal = 3000_ms, .priority = 5, .targets = {{"llm"}}}};
  return config;
}

void add_account(ServingConfig& config, std::optional<std::int64_t> priority) {
  config.account_index_by_api_key[std::to_string(config.accounts.size())] = config.accounts.size();
  config.accounts.push_back({.name = "a", .priority = priority});
}

}  // namespace

// Guards against admission by the route's priority only: requests of an account that outranks its
// route would leave room for others, and those of an account that ranks below it would take the
// room of urgent ones.
TEST_CASE("the priority of an account takes precedence over the route's", "[gateway]") {
  ServingConfig config = two_routes();
  const ServiceInfo& service = config.services["llm"];
  add_account(config, std::nullopt);
  CHECK(request_priority(config.routes[1], nullptr) == 5);
  CHECK(request_priority(config.routes[1], &config.accounts[0]) == 5);

  SECTION("without priorities of accounts, the most urgent route counts") {
    config.set_urgent_goals();
    CHECK(service.urgent_priority == 1);
    CHECK(service.urgent_latency_goal == 400_ms);
  }
  SECTION("an account that outranks all routes") {
    add_account(config, 0);
    config.routes[0].allows_anonymous = true;  // There, accounts are not looked up.
    CHECK(request_priority(config.routes[1], &config.accounts[1]) == 0);
    config.set_urgent_goals();
    CHECK(service.urgent_priority == 0);
    CHECK(service.urgent_latency_goal == 3000_ms);
  }
  SECTION("all accounts rank below the routes") {
    config.accounts[0].priority = 7;
    add_account(config, 6);
    config.accounts.push_back({.name = "without a key"});
    config.set_urgent_goals();
    CHECK(service.urgent_priority == 6);
    CHECK(service.urgent_latency_goal == 400_ms);
  }
}

}  // namespace bluebellstep
