// A complete system of real processes for fault tests: stand-ins, sidecars and entry instances.

#ifndef BLUEBELLSTEP_TESTS_PROCESS_DEPLOYMENT_H_
#define BLUEBELLSTEP_TESTS_PROCESS_DEPLOYMENT_H_

#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "http/sse_reader.h"
#include "tests/process/child_process.h"
#include "tests/support/test_bundle.h"

namespace bluebellstep::testing {

/** A streamed answer as received by the caller. Thread-safe: it can be read while data arrives. */
class AnswerStream {
 public:
  /** What the caller has received so far. */
  struct State {
    int status = 0;
    std::string text;
    int tokens = 0;                // Events with text.
    bool marked_complete = false;  // `[DONE]` arrived.
    bool ended_in_error = false;   // An error event arrived, or the connection broke.
    bool closed = false;           // The response ended or failed.
  };

  State state() const;

  /** Whether at least `tokens` tokens arrived within `timeout`. */
  bool wait_for_tokens(int tokens, Duration timeout) const;

  /** Whether the answer ended within `timeout`. */
  bool wait_for_end(Duration timeout) const;

  /** Callbacks that feed this stream; they keep it alive. */
  static HttpClient::Listener listener(const std::shared_ptr<AnswerStream>& stream);

 private:
  void handle_event(std::string_view data);

  mutable std::mutex mutex_;
  State state_;
  SseReader reader_;
};

/**
 * Runs two zones, `a` and `b`, each with a model engine, an order service and their sidecars; two
 * entry instances in zone `a`; and the platform stand-in. Processes are addressed by name:
 * `platform`, `engine-N`, `orders-N`, `sidecar-engine-N`, `sidecar-orders-N` and `entry-N`, where N
 * is 1 or 2. The upstreams 1 and their sidecars are in zone `a`, the upstreams 2 and theirs in zone
 * `b`.
 */
class Deployment {
 public:
  using Json = nlohmann::json;
  using Response = HttpClient::Response;

  /** Starts all processes and waits until both entry instances answer prompts. Throws if a process
   * cannot be started, or if an entry instance does not answer within 10 s. */
  Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Kills and reaps all processes. */
  ~Deployment();

  ChildProcess& process(const std::string& name) { return *processes_.at(name); }

  /** Kills the sidecar of an upstream and starts it again with the same ports. */
  void restart_sidecar(const std::string& upstream);

  /** Starts another entry instance, with `entry-1` as its peer. */
  void start_entry(const std::string& name);

  /** Stores a signed bundle of this generation, with a sign-off, in the platform. */
  void publish(std::uint64_t generation);

  /** Replaces the injected faults of a stand-in; an empty object ends all of them. */
  void set_faults(const std::string& standin, const Json& faults);

  /** Returns a counter of a stand-in; 0 if it has none with this name. */
  std::int64_t counter(const std::string& standin, const std::string& name);

  /** Waits until the counter `counter_name` of `prefix`-1 or `prefix`-2 exceeds its value in
   * `before`. Returns the name of that upstream, or an empty string after 3 s. */
  std::string wait_for_busy_upstream(const std::string& prefix,
                                     const std::string& counter_name,
                                     const std::map<std::string, std::int64_t>& before);

  /** Returns a counter of `prefix`-1 and `prefix`-2, by upstream, for `wait_for_busy_upstream`. */
  std::map<std::string, std::int64_t> counters(const std::string& prefix, const std::string& name);

  /** Sends a GET request to a process and returns the response. */
  Response get(const std::string& name, const std::string& path);

  /** Sends a POST request with the caller's token to a process and returns the response. */
  Response post(const std::string& name, const std::string& path, const Json& body);

  /** Sends an order with the idempotency key `key` to an entry instance. */
  std::future<Response> start_order(const std::string& entry, const std::string& key);

  /** Sends an order to an entry instance and returns the response. */
  Response order(const std::string& entry, const std::string& key) {
    return start_order(entry, key).get();
  }

  /** Waits until the order sidecars accept new keys. For the first seconds after its start, a
   * sidecar refuses them because an earlier incarnation may have accepted keys with such creation
   * times. Returns false after 10 s. */
  bool wait_for_orders();

  /** Returns how often the order services executed the order with this key. */
  std::int64_t executions(const std::string& key);

  /** Sends a prompt with a streamed answer. */
  std::shared_ptr<AnswerStream> start_stream(const std::string& entry,
                                             const std::string& prompt,
                                             int max_tokens);

  /** Returns a new time-ordered idempotency key, created now. */
  std::string fresh_key();

  const TestOperators& operators() const { return operators_; }

 private:
  void start_standin(const std::string& name, std::vector<std::string> arguments);
  void start_process(const std::string& role, const std::string& name, const std::string& settings);
  void start_sidecar(const std::string& upstream, std::uint16_t http, std::uint16_t rpc);
  std::string process_settings(const std::string& name,
                               const std::string& zone,
                               std::uint16_t http,
                               std::uint16_t rpc);
  std::string bundle_text(std::uint64_t generation);
  std::string rpc_address(const std::string& process_name);
  HttpCall make_call(const std::string& name, const std::string& method, const std::string& path);
  bool answers_prompts(const std::string& entry);

  std::filesystem::path folder_;
  TestOperators operators_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
  int key_count_ = 0;
  HttpLoop loop_;
  HttpClient client_{loop_};
};

}  // namespace bluebellstep::testing

#endif  // BLUEBELLSTEP_TESTS_PROCESS_DEPLOYMENT_H_
