// A whole system of real processes for fault tests: stand-ins, sidecars and entry instances.

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

/** A streamed answer as the caller sees it. May be read while it runs. */
class AnswerStream {
 public:
  /** What a caller has at one moment. */
  struct State {
    int status = 0;
    std::string text;
    int tokens = 0;                // Events with text.
    bool marked_complete = false;  // `[DONE]` arrived.
    bool ended_in_error = false;   // An error event arrived, or the connection broke.
    bool closed = false;           // Nothing more will come.
  };

  State state() const;

  /** Whether at least `tokens` tokens arrived within `limit`. */
  bool wait_for_tokens(int tokens, Duration timeout) const;

  /** Whether the answer ended within `limit`. */
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
 * Two zones, `a` and `b`, each with a model engine and an order service and their sidecars; two
 * entry instances in zone `a`; the platform. Processes are addressed by name: `platform`,
 * `engine-N`, `orders-N`, `sidecar-engine-N`, `sidecar-orders-N`, `entry-N`, N being 1 or 2.
 */
class Deployment {
 public:
  using Json = nlohmann::json;
  using Response = HttpClient::Response;

  /** Starts everything and waits until both entry instances answer prompts. Throws on a failure. */
  Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Kills and reaps all processes. */
  ~Deployment();

  ChildProcess& process(const std::string& name) { return *processes_.at(name); }

  /** Kills a sidecar and starts it again at the same ports. */
  void restart_sidecar(const std::string& upstream);

  /** Starts a further entry instance, with `entry-1` as its peer. */
  void start_entry(const std::string& name);

  /** Puts a document of this generation into the platform, signed and signed off. */
  void publish(std::uint64_t generation);

  /** Replaces the faults of a stand-in. */
  void set_faults(const std::string& standin, const Json& faults);

  /** Counter of a stand-in; 0 if it does not have it. */
  std::int64_t counter(const std::string& standin, const std::string& name);

  /** Of the upstreams `prefix`-1 and `prefix`-2, waits for one whose counter `counter_name` is
   * above its value in `before`, and returns its name; empty after 3 s. */
  std::string wait_for_busy_upstream(const std::string& prefix,
                                     const std::string& counter_name,
                                     const std::map<std::string, std::int64_t>& before);

  /** Values of one counter at both upstreams, for `wait_for_busy_upstream`. */
  std::map<std::string, std::int64_t> counters(const std::string& prefix, const std::string& name);

  /** Answer of a process to a GET. */
  Response get(const std::string& name, const std::string& path);

  /** Answer of a process to a POST, with the caller's token. */
  Response post(const std::string& name, const std::string& path, const Json& body);

  /** Starts an order at an entry instance. */
  std::future<Response> start_order(const std::string& entry, const std::string& key);

  /** Answer of an entry instance to an order. */
  Response order(const std::string& entry, const std::string& key) {
    return start_order(entry, key).get();
  }

  /** Waits until the sidecars accept keys that are made now. Earlier keys may have run under an
   * earlier incarnation, so each sidecar refuses them for its first seconds. */
  bool wait_for_orders();

  /** Executions of a key at both order services. */
  std::int64_t executions(const std::string& key);

  /** Starts a streamed prompt. */
  std::shared_ptr<AnswerStream> start_stream(const std::string& entry,
                                             const std::string& prompt,
                                             int max_tokens);

  /** A time-ordered idempotency key that is made now. */
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
