// Configures and starts the processes of a deployment, and sends requests to them.

#include "tests/process/deployment.h"

#include <stdlib.h>

#include <fstream>
#include <stdexcept>

namespace bluebellstep::testing {
namespace {

constexpr Duration kReadyTimeout = {10'000};

void require(bool condition, const std::string& what) {
  if (!condition) {
    throw std::runtime_error("deployment: " + what);
  }
}

std::filesystem::path make_folder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "bluebellstep-XXXXXX").string();
  require(::mkdtemp(pattern.data()) != nullptr, "cannot create a temporary folder");
  return pattern;
}

std::string zone_of(const std::string& name) {
  return name.ends_with("1") ? "a" : "b";
}

std::string address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

AnswerStream::State AnswerStream::state() const {
  const std::lock_guard lock(mutex_);
  return state_;
}

bool AnswerStream::wait_for_tokens(int tokens, Duration timeout) const {
  return wait_until(timeout, [&] { return state().tokens >= tokens; });
}

bool AnswerStream::wait_for_end(Duration timeout) const {
  return wait_until(timeout, [&] { return state().closed; });
}

void AnswerStream::handle_event(std::string_view data) {
  if (data == "[DONE]") {
    state_.marked_complete = true;
    return;
  }
  const auto event = nlohmann::json::parse(data);
  if (event.contains("error")) {
    state_.ended_in_error = true;
    return;
  }
  const std::string text = event.at("choices").at(0).at("text");
  state_.tokens += text.empty() ? 0 : 1;
  state_.text += text;
}

HttpClient::Listener AnswerStream::listener(const std::shared_ptr<AnswerStream>& stream) {
  return {
      .on_head =
          [stream](int status, std::span<const HttpHeader>) {
            const std::lock_guard lock(stream->mutex_);
            stream->state_.status = status;
          },
      .on_data =
          [stream](std::string_view bytes) {
            const std::lock_guard lock(stream->mutex_);
            stream->reader_.feed(bytes, [&](std::string_view data) { stream->handle_event(data); });
          },
      .on_done =
          [stream](const HttpClient::Outcome& outcome) {
            const std::lock_guard lock(stream->mutex_);
            stream->state_.closed = true;
            stream->state_.ended_in_error |= std::holds_alternative<HttpClient::Failed>(outcome);
          }};
}

Deployment::Deployment() : folder_(make_folder()) {
  start_standin("platform", {"platform"});
  for (const std::string n : {"1", "2"}) {
    start_standin("engine-" + n,
                  {"engine", "--model", "clerk=v1", "--starts-warm", "--decode-step-us", "10000"});
    start_standin("orders-" + n, {"orders"});
    start_sidecar("engine-" + n, 0, 0);
    start_sidecar("orders-" + n, 0, 0);
  }
  publish(1);
  start_process("entry", "entry-1",
                process_settings("entry-1", "a", 0, 0) + "balancer_delay: 200ms\n");
  start_entry("entry-2");
  for (const std::string entry : {"entry-1", "entry-2"}) {
    require(wait_until(kReadyTimeout, [&] { return answers_prompts(entry); }),
            entry + " did not answer a prompt within the timeout");
  }
}

Deployment::~Deployment() {
  processes_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Deployment::start_standin(const std::string& name, std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), STANDINS_BINARY);
  processes_[name] = std::make_unique<ChildProcess>(arguments, folder_ / name);
  processes_[name]->wait_for_listening();
}

void Deployment::start_process(const std::string& role,
                               const std::string& name,
                               const std::string& settings) {
  const std::string file = folder_ / (name + ".yaml");
  std::ofstream(file) << settings;
  processes_[name] = std::make_unique<ChildProcess>(
      std::vector<std::string>{BLUEBELLSTEP_BINARY, role, "--settings", file}, folder_ / name);
  processes_[name]->wait_for_listening();
}

std::string Deployment::process_settings(const std::string& name,
                                         const std::string& zone,
                                         std::uint16_t http,
                                         std::uint16_t rpc) {
  return "name: " + name + "\nzone: " + zone + "\nregion: south\nhttp_listen: " + address(http) +
         "\nrpc_listen: " + address(rpc) +
         "\nplatform: {endpoint: " + address(process("platform").port("port")) +
         "}\noperator_keys:\n  ana: " + operators_.ana.public_key +
         "\n  ben: " + operators_.ben.public_key + "\n";
}

void Deployment::start_sidecar(const std::string& upstream, std::uint16_t http, std::uint16_t rpc) {
  const bool is_engine = upstream.starts_with("engine");
  const std::string settings =
      process_settings(upstream, zone_of(upstream), http, rpc) +
      "upstream: {endpoint: " + address(process(upstream).port("port")) +
      ", kind: " + (is_engine ? "engine" : "service") + "}\nlimits: {max_concurrency: 16" +
      (is_engine ? ", kv_tokens: 200000, prefill_tokens_per_s: 20000" : "") + "}\n";
  start_process("sidecar", "sidecar-" + upstream, settings);
}

void Deployment::restart_sidecar(const std::string& upstream) {
  ChildProcess& sidecar = process("sidecar-" + upstream);
  const std::uint16_t http = sidecar.port("http");
  const std::uint16_t rpc = sidecar.port("rpc");
  sidecar.kill_now();
  start_sidecar(upstream, http, rpc);
}

void Deployment::start_entry(const std::string& name) {
  start_process("entry", name,
                process_settings(name, "a", 0, 0) + "balancer_delay: 200ms\npeers: [" +
                    rpc_address("entry-1") + "]\n");
}

std::string Deployment::rpc_address(const std::string& process_name) {
  return address(process(process_name).port("rpc"));
}

std::string Deployment::bundle_text(std::uint64_t generation) {
  std::string text = "generation: " + std::to_string(generation) +
                     "\nauthor: ana\nzones:\n"
                     "  - {name: a, region: south, in_service: true, serial: 1}\n"
                     "  - {name: b, region: south, in_service: true, serial: 1}\n"
                     "accounts:\n  - {name: acme, share: 1, priority: 0, credential_sha256: " +
                     sha256_hex("token") +
                     ", classes: [standard]}\n"
                     "models:\n  - {name: clerk, weight_version: v1}\nupstreams:\n";
  for (const std::string name : {"engine-1", "engine-2", "orders-1", "orders-2"}) {
    const bool is_engine = name.starts_with("engine");
    text += "  - {name: " + name + ", zone: " + zone_of(name) +
            ", kind: " + (is_engine ? "engine, models: [clerk]" : "service, service: parts") +
            ", rpc: \"" + rpc_address("sidecar-" + name) + "\"}\n";
  }
  return text +
         "services:\n  - name: parts\n"
         "    order_tables: [{effective_ms: 0, upstreams: [orders-1, orders-2]}]\n"
         "    idempotent_paths: [/stock]\n    non_idempotent_paths: [/orders]\n";
}

void Deployment::publish(std::uint64_t generation) {
  const Response current = get("platform", "/objects/bundle/current");
  const std::uint64_t version =
      current.status == 200 ? Json::parse(current.body).at("version").get<std::uint64_t>() : 0;
  HttpCall call =
      make_call("platform", "PUT", "/objects/bundle/current?if_version=" + std::to_string(version));
  call.body = test_document(operators_, bundle_text(generation));
  require(client_.send_and_wait(std::move(call)).status == 200,
          "the platform did not store the bundle");
}

void Deployment::set_faults(const std::string& standin, const Json& faults) {
  require(post(standin, "/faults", faults).status == 200,
          "stand-in " + standin + " did not accept the faults");
}

std::int64_t Deployment::counter(const std::string& standin, const std::string& name) {
  return Json::parse(get(standin, "/counters").body).value(name, std::int64_t{0});
}

std::map<std::string, std::int64_t> Deployment::counters(const std::string& prefix,
                                                         const std::string& name) {
  return {{prefix + "-1", counter(prefix + "-1", name)},
          {prefix + "-2", counter(prefix + "-2", name)}};
}

std::string Deployment::wait_for_busy_upstream(const std::string& prefix,
                                               const std::string& counter_name,
                                               const std::map<std::string, std::int64_t>& before) {
  std::string busy;
  wait_until(Duration{3000}, [&] {
    for (const auto& [name, value] : counters(prefix, counter_name)) {
      busy = value > before.at(name) ? name : busy;
    }
    return !busy.empty();
  });
  return busy;
}

HttpCall Deployment::make_call(const std::string& name,
                               const std::string& method,
                               const std::string& path) {
  const ChildProcess& target = process(name);
  const std::uint16_t http = target.port("http");
  HttpCall call;
  call.endpoint = {"127.0.0.1", http != 0 ? http : target.port("port")};
  call.method = method;
  call.path = path;
  call.headers = {{"authorization", "Bearer token"}};
  return call;
}

Deployment::Response Deployment::get(const std::string& name, const std::string& path) {
  return client_.send_and_wait(make_call(name, "GET", path));
}

Deployment::Response Deployment::post(const std::string& name,
                                      const std::string& path,
                                      const Json& body) {
  HttpCall call = make_call(name, "POST", path);
  call.body = body.dump();
  return client_.send_and_wait(std::move(call));
}

bool Deployment::answers_prompts(const std::string& entry) {
  return post(entry, "/v1/completions", {{"model", "clerk"}, {"prompt", "hi"}, {"max_tokens", 1}})
             .status == 200;
}

std::future<Deployment::Response> Deployment::start_order(const std::string& entry,
                                                          const std::string& key) {
  HttpCall call = make_call(entry, "POST", "/v1/services/parts/orders");
  call.headers.push_back({"idempotency-key", key});
  call.body = R"({"kit":"barrel"})";
  const auto promise = std::make_shared<std::promise<Response>>();
  client_.send(std::move(call),
               [promise](Response response) { promise->set_value(std::move(response)); });
  return promise->get_future();
}

bool Deployment::wait_for_orders() {
  // Each key belongs to one of the two owners at random, so that 12 consecutive answers come from
  // both of them with high probability.
  constexpr int kEnoughAnswers = 12;
  int answered = 0;
  return wait_until(kReadyTimeout, [&] {
    answered = order("entry-1", fresh_key()).status == 200 ? answered + 1 : 0;
    return answered >= kEnoughAnswers;
  });
}

std::int64_t Deployment::executions(const std::string& key) {
  std::int64_t sum = 0;
  for (const std::string name : {"orders-1", "orders-2"}) {
    sum += Json::parse(get(name, "/executions/" + key).body).at("executions").get<std::int64_t>();
  }
  return sum;
}

std::shared_ptr<AnswerStream> Deployment::start_stream(const std::string& entry,
                                                       const std::string& prompt,
                                                       int max_tokens) {
  HttpCall call = make_call(entry, "POST", "/v1/completions");
  call.body =
      Json{{"model", "clerk"}, {"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", true}}
          .dump();
  auto stream = std::make_shared<AnswerStream>();
  client_.send(std::move(call), AnswerStream::listener(stream));
  return stream;
}

std::string Deployment::fresh_key() {
  return std::to_string(Clock().wall().ms) + "-order-" + std::to_string(++key_count_);
}

}  // namespace bluebellstep::testing
