// Steps and checks of tests in which the platform's store is restored from an older copy.

#ifndef BLUEBELLSTEP_TESTS_PROCESS_STORE_RESTORE_H_
#define BLUEBELLSTEP_TESTS_PROCESS_STORE_RESTORE_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "tests/process/gateway_fleet.h"

namespace bluebellstep::testing {

/** Makes the store keep a copy of itself. */
void copy_store(GatewayFleet& fleet);

/** Restores the store from the copy after an outage. Calls `meanwhile` again and again until then.
 */
void restore_store(GatewayFleet& fleet, const std::function<void()>& meanwhile);

/** How a server leaves its service. */
struct Leaving {
  std::string server;
  bool removed = false;  // From the store, instead of being registered as draining.
  bool stopped = false;  // It does not write again what the store has lost.
};

/** Makes a server leave. Requests that reach it more than 2 s later are counted as late. */
void leave(GatewayFleet& fleet, const Leaving& leaving);

/** Names the weights that all engines are to have. */
void name_weights(GatewayFleet& fleet, int version);

/** Whether all engines in the store have these weights. */
bool all_have_weights(GatewayFleet& fleet, int version);

/** The commands to load weights that engines have received. */
class WeightLoads {
 public:
  explicit WeightLoads(GatewayFleet& fleet);

  /** The holder that sent the last command; empty if there was none. */
  std::string last_holder() const;

  std::set<std::string> holders() const;

  /** Returns a description of each fence of two holders, of each fence that an engine accepted
   * after a higher one, and of each command to an engine within `lease_term` of one of another
   * holder, one per line. */
  std::string violations(Duration lease_term) const;

  std::string to_string() const { return loads_.dump(); }

 private:
  GatewayFleet::Json loads_;
};

/** Keeps some requests of a few routes in progress at each of the gateways `g1`, `g2` and `g3`. */
class SteadyRequests {
 public:
  SteadyRequests(GatewayFleet& fleet, std::vector<std::string> routes);

  /** Sends requests until as many as intended are in progress. */
  void send();

  /** Calls `send` for some time. */
  void send_for(Duration time);

  /** Waits for the answers to all requests. Returns them by request id. */
  std::map<std::string, GatewayFleet::Response> wait_for_answers();

 private:
  static constexpr std::size_t kGateways = 3;

  /** Shared with the responses that are on their way. */
  struct Answers {
    std::array<std::atomic<int>, kGateways> open{};  // In progress, by gateway.
    std::mutex mutex;
    std::map<std::string, GatewayFleet::Response> by_id;
  };

  GatewayFleet& fleet_;
  std::vector<std::string> routes_;
  Clock clock_;
  std::size_t sent_ = 0;
  std::shared_ptr<Answers> answers_ = std::make_shared<Answers>();
};

}  // namespace bluebellstep::testing

#endif  // BLUEBELLSTEP_TESTS_PROCESS_STORE_RESTORE_H_
