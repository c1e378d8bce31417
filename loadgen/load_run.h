// Open-loop load: sends each request at its planned time, regardless of outstanding answers.

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

/** Receivers of the requests. With both kinds of targets, prompts alternate between the entry
 * instances and the engine, so that both are measured under the same conditions. */
struct Targets {
  std::vector<Endpoint> entries;   // Used in turn.
  std::optional<Endpoint> direct;  // A model engine that receives prompts directly.
};

/** One run of an experiment. */
class LoadRun {
 public:
  /** `experiment` must outlive the run. */
  LoadRun(const Experiment& experiment, Targets targets);

  /** Sends all requests, waits up to 60 s for outstanding answers, and returns the records in
   * planned order. */
  std::vector<RequestRecord> run();

 private:
  using SteadyTime = std::chrono::steady_clock::time_point;
  struct Exchange;

  void send(std::size_t index);
  HttpCall entry_call(const Arrival& arrival, std::size_t index, const std::string& prompt) const;
  HttpCall direct_call(const Arrival& arrival, std::size_t index, const std::string& prompt) const;
  HttpCall order_call(const Arrival& arrival, std::size_t index) const;
  /** Sleeps until `time` and prints the progress once a second meanwhile. */
  void sleep_until(SteadyTime time);
  void print_progress();
  /** Returns the time since the planned arrival, in microseconds. */
  std::int64_t since_arrival_us(const Arrival& arrival) const;

  const Experiment& experiment_;
  Targets targets_;
  // After a request was sent, its record is accessed only on the HTTP thread.
  std::vector<RequestRecord> records_;
  SteadyTime start_;
  SteadyTime next_progress_at_;
  std::uint64_t sent_ = 0;
  std::atomic<std::uint64_t> done_{0};
  std::atomic<std::uint64_t> refused_{0};
  std::atomic<std::uint64_t> faulty_{0};
  HttpLoop loop_;
  // Declared last and so destroyed first, after which no listener runs.
  HttpClient client_{loop_};
};

}  // namespace bluebellstep::loadgen

#endif  // BLUEBELLSTEP_LOADGEN_LOAD_RUN_H_
