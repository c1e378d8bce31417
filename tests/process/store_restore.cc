// Calls to the stand-in, and requests to the gateways under test.

#include "tests/process/store_restore.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

namespace bluebellstep::testing {
namespace {

using Json = GatewayFleet::Json;

constexpr Duration kDownTime{300};
constexpr int kOpenRequests = 3;  // At each gateway.

void post(GatewayFleet& fleet, const std::string& path, const Json& body, int status) {
  CHECK(fleet.call_store("POST", path, body).status == status);
}

}  // namespace

void copy_store(GatewayFleet& fleet) {
  post(fleet, "/copy", Json::object(), 200);
}

void restore_store(GatewayFleet& fleet, const std::function<void()>& meanwhile) {
  const std::int64_t before = fleet.counter("restores");
  post(fleet, "/restore", {{"down_ms", kDownTime.ms}}, 202);
  REQUIRE(wait_until(Duration{5000}, [&] {
    meanwhile();
    return fleet.counter("restores") > before;
  }));
}

void leave(GatewayFleet& fleet, const Leaving& leaving) {
  post(fleet, "/leave",
       {{"id", leaving.server}, {"removed", leaving.removed}, {"stopped", leaving.stopped}}, 200);
}

void name_weights(GatewayFleet& fleet, int version) {
  const Json object = {{"metadata", {{"name", "clerk"}}},
                       {"spec", {{"model", "clerk"}, {"version", version}}}};
  if (fleet.call_store("POST", "/objects/versions", object).status == 409) {
    CHECK(fleet.call_store("PUT", "/objects/versions/clerk", object).status == 200);
  }
}

bool all_have_weights(GatewayFleet& fleet, int version) {
  const Json list = Json::parse(fleet.call_store("GET", "/objects/servers", nullptr).body);
  return std::ranges::all_of(list.value("items", Json::array()), [&](const Json& item) {
    const Json& spec = item.at("spec");
    return !spec.contains("models") || spec.at("models")[0].at("version") == version;
  });
}

WeightLoads::WeightLoads(GatewayFleet& fleet)
    : loads_(Json::parse(fleet.call_store("GET", "/loads", nullptr).body)) {}

std::string WeightLoads::last_holder() const {
  return loads_.empty() ? "" : loads_.back().at("holder").get<std::string>();
}

std::set<std::string> WeightLoads::holders() const {
  std::set<std::string> holders;
  for (const Json& load : loads_) {
    holders.insert(load.at("holder"));
  }
  return holders;
}

std::string WeightLoads::violations(Duration lease_term) const {
  std::string found;
  std::map<std::uint64_t, std::string> holder_of;
  std::map<std::string, Json> last_loads;  // By engine.
  for (const Json& load : loads_) {
    const std::uint64_t fence = load.at("fence");
    const std::string holder = load.at("holder");
    const std::string& first = holder_of.emplace(fence, holder).first->second;
    if (first != holder) {
      found += "fence " + std::to_string(fence) + " of " + first + " and " + holder + "\n";
    }
    Json& last = last_loads[load.at("server")];
    if (!last.is_null()) {
      if (load.at("status") != 412 && fence < last.at("fence")) {
        found += "fence " + std::to_string(fence) + " after " + last.at("fence").dump() + "\n";
      }
      const Duration apart{load.at("at_ms").get<std::int64_t>() -
                           last.at("at_ms").get<std::int64_t>()};
      if (holder != last.at("holder") && apart < lease_term) {
        found += holder + " " + std::to_string(apart.ms) + " ms after another holder\n";
      }
    }
    last = load;
  }
  return found;
}

SteadyRequests::SteadyRequests(GatewayFleet& fleet, std::vector<std::string> routes)
    : fleet_(fleet), routes_(std::move(routes)) {}

void SteadyRequests::send() {
  for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
    while (answers_->open[gateway] < kOpenRequests) {
      ++answers_->open[gateway];
      const std::string& route = routes_[++sent_ % routes_.size()];
      const std::string id = route + "-" + std::to_string(sent_);
      fleet_.send("g" + std::to_string(gateway + 1), route, id,
                  [answers = answers_, id, gateway](const GatewayFleet::Response& response) {
                    const std::lock_guard lock(answers->mutex);
                    answers->by_id[id] = response;
                    --answers->open[gateway];
                  });
    }
  }
}

void SteadyRequests::send_for(Duration time) {
  const Instant end = clock_.now() + time;
  wait_until(time * 2, [&] {
    send();
    return clock_.now() >= end;
  });
}

std::map<std::string, GatewayFleet::Response> SteadyRequests::wait_for_answers() {
  CHECK(wait_until(Duration{6000}, [&] {
    return std::ranges::all_of(answers_->open, [](const auto& open) { return open == 0; });
  }));
  const std::lock_guard lock(answers_->mutex);
  return answers_->by_id;
}

}  // namespace bluebellstep::testing
