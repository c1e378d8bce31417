// Sends the planned requests at their times, whatever the answers do.

#ifndef BLUEBELLSTEP_LOADGEN_LOAD_RUN_H_
#define BLUEBELLSTEP_LOADGEN_LOAD_RUN_H_

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "loadgen/experiment.h"
#include "loadgen/record.h"

namespace bluebellstep::loadgen {

/** Where requests go. With both kinds of targets, prompts alternate between the entry instances and
 * the engine, so that both are measured under the same conditions. */
struct Targets {
  std::vector<Endpoint> entries;   // Taken in turn.
  std::optional<Endpoint> direct;  // A model engine.
};

/** One run of an experiment. */
class LoadRun {
 public:
  LoadRun(const Experiment& experiment, Targets targets);

  /** Sends everything, waits for the answers, and returns the records in planned order. */
  std::vector<RequestRecord> run();

 private:
  using SteadyTime = std::chrono::steady_clock::time_point;
  struct Exchange;

  void send(std::size_t index);
  HttpCall entry_call(const Arrival& arrival, std::size_t index, const std::string& prompt) const;
  HttpCall direct_call(const Arrival& arrival, std::size_t index, const std::string& prompt) const;
  HttpCall order_call(const Arrival& arrival, std::size_t index) const;
  void sleep_until(SteadyTime time);
  void print_progress();
  std::int64_t since_arrival_us(const Arrival& arrival) const;

  const Experiment& experiment_;
  Targets targets_;
  std::vector<RequestRecord> records_;  // Each is written on the HTTP thread after it was sent.
  SteadyTime start_;
  SteadyTime next_progress_;
  std::uint64_t sent_ = 0;
  std::atomic<std::uint64_t> done_{0};
  std::atomic<std::uint64_t> refused_{0};
  std::atomic<std::uint64_t> broken_{0};
  HttpLoop loop_;
  HttpClient client_{loop_};  // Declared last: no listener runs after its destructor.
};

}  // namespace bluebellstep::loadgen

#endif  // BLUEBELLSTEP_LOADGEN_LOAD_RUN_H_
