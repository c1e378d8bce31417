// Sends requests on the calling thread and receives answers on the HTTP thread.

#include "loadgen/load_run.h"

#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "loadgen/answer_check.h"
#include "sidecar/engine_protocol.h"

namespace bluebellstep::loadgen {
namespace {

using Json = nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::steady_clock;

// Answers that have not ended this long after the last request was sent count as unfinished.
constexpr std::chrono::seconds kAnswerTimeout{60};

// Timeout without any data from the server. Longer than `kAnswerTimeout`, since an open-loop run
// counts slow answers instead of aborting them.
constexpr Duration kIdleTimeout = {120'000};

std::string string_or_empty(const Json& document, const char* key) {
  const auto found = document.find(key);
  return found != document.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Fills in reason and run state from the JSON of a refusal or of a verdict within a stream.
void read_refusal(std::string_view body, RequestRecord& record) {
  const Json document = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  const auto error = document.is_object() ? document.find("error") : document.end();
  if (!document.is_object() || error == document.end() || !error->is_object()) {
    record.reason = "status_" + std::to_string(record.status);
    return;
  }
  record.reason = string_or_empty(*error, "reason") + string_or_empty(*error, "code");
  record.run_state = string_or_empty(*error, "run_state");
}

}  // namespace

/** State of one request until the end of its answer. */
struct LoadRun::Exchange {
  std::optional<AnswerCheck> check;  // Empty for orders.
  std::string body;                  // Body of the answer to an order, or of a refusal.

  /** Fills in the outcome of the request. */
  void finish(const HttpClient::Outcome& outcome, RequestRecord& record) const {
    if (const auto* failed = std::get_if<HttpClient::Failed>(&outcome)) {
      record.fault = failed->detail;
      return;
    }
    if (record.status != 200) {
      read_refusal(body, record);
      return;
    }
    if (!check.has_value()) {
      return;
    }
    record.events = check->events();
    record.reused_blocks = check->reused_blocks();
    record.fetched_blocks = check->fetched_blocks();
    record.recomputed_blocks = check->recomputed_blocks();
    if (check->verdict().empty()) {
      record.fault = check->fault();
    } else {
      read_refusal(check->verdict(), record);
      record.fault = "ended by a verdict";
    }
  }
};

LoadRun::LoadRun(const Experiment& experiment, Targets targets)
    : experiment_(experiment), targets_(std::move(targets)) {
  for (const Arrival& arrival : plan_arrivals(experiment)) {
    RequestRecord record;
    record.arrival = arrival;
    record.direct =
        !arrival.order && targets_.direct && (targets_.entries.empty() || records_.size() % 2 == 1);
    if (record.direct || !targets_.entries.empty()) {
      records_.push_back(std::move(record));
    }
  }
}

std::int64_t LoadRun::since_arrival_us(const Arrival& arrival) const {
  return duration_cast<microseconds>(steady_clock::now() - start_).count() - arrival.at_us;
}

std::vector<RequestRecord> LoadRun::run() {
  start_ = steady_clock::now();
  next_progress_at_ = start_ + std::chrono::seconds(1);
  for (std::size_t i = 0; i < records_.size(); ++i) {
    sleep_until(start_ + microseconds(records_[i].arrival.at_us));
    send(i);
  }
  const SteadyTime end = steady_clock::now() + kAnswerTimeout;
  while (done_ < records_.size() && steady_clock::now() < end) {
    sleep_until(steady_clock::now() + std::chrono::milliseconds(20));
  }
  std::vector<RequestRecord> records;
  loop_.run_and_wait([&] { records = records_; });
  return records;
}

void LoadRun::sleep_until(SteadyTime time) {
  while (next_progress_at_ <= time) {
    std::this_thread::sleep_until(next_progress_at_);
    print_progress();
    next_progress_at_ += std::chrono::seconds(1);
  }
  std::this_thread::sleep_until(time);
}

void LoadRun::print_progress() {
  std::cerr << duration_cast<std::chrono::seconds>(steady_clock::now() - start_).count()
            << " s: " << sent_ << " of " << records_.size() << " sent, " << sent_ - done_
            << " open, " << refused_ << " refused, " << faulty_ << " broken\n";
}

HttpCall LoadRun::entry_call(const Arrival& arrival,
                             std::size_t index,
                             const std::string& prompt) const {
  const AccountLoad& account = experiment_.accounts[arrival.account];
  HttpCall call;
  call.endpoint = targets_.entries[index % targets_.entries.size()];
  call.method = "POST";
  call.path = "/v1/completions";
  call.headers = {{"authorization", "Bearer " + account.token},
                  {"content-type", "application/json"}};
  call.body = Json{
      {"model", experiment_.model},
      {"prompt", prompt},
      {"max_tokens", account.answer_tokens},
      {"stream",
       true}}.dump();
  return call;
}

HttpCall LoadRun::direct_call(const Arrival& arrival,
                              std::size_t index,
                              const std::string& prompt) const {
  const AccountLoad& account = experiment_.accounts[arrival.account];
  EngineRequest request;
  request.request_id = "load-" + std::to_string(getpid()) + "-" + std::to_string(index);
  request.model = experiment_.model;
  request.prompt = prompt;
  request.max_tokens = account.answer_tokens;
  request.cache_salt = cache_seed("direct-" + account.name, experiment_.model, "");
  HttpCall call;
  call.endpoint = *targets_.direct;
  call.method = "POST";
  call.path = "/v1/completions";
  call.headers = {{"content-type", "application/json"}};
  call.body = engine_request_body(request);
  return call;
}

HttpCall LoadRun::order_call(const Arrival& arrival, std::size_t index) const {
  HttpCall call;
  call.endpoint = targets_.entries[index % targets_.entries.size()];
  call.method = "POST";
  call.path = experiment_.order_path;
  call.headers = {{"authorization", "Bearer " + experiment_.accounts[arrival.account].token},
                  {"content-type", "application/json"},
                  {"idempotency-key", std::to_string(Clock().wall().ms) + "-load-" +
                                          std::to_string(getpid()) + "-" + std::to_string(index)}};
  call.body = Json{{"order", index}}.dump();
  return call;
}

void LoadRun::send(std::size_t index) {
  RequestRecord& record = records_[index];
  const Arrival& arrival = record.arrival;
  const auto exchange = std::make_shared<Exchange>();
  HttpCall call;
  if (arrival.order) {
    call = order_call(arrival, index);
  } else {
    const std::string prompt = prompt_text(experiment_, arrival.account, arrival.prompt);
    const std::uint32_t max_tokens = experiment_.accounts[arrival.account].answer_tokens;
    exchange->check.emplace(record.direct ? StreamKind::kEngine : StreamKind::kEntry, prompt,
                            max_tokens);
    call = record.direct ? direct_call(arrival, index, prompt) : entry_call(arrival, index, prompt);
  }
  call.idle_timeout = kIdleTimeout;
  HttpClient::Listener listener;
  listener.on_head = [&record](int status, std::span<const HttpHeader>) { record.status = status; };
  listener.on_data = [this, &record, exchange](std::string_view data) {
    if (record.status != 200 || !exchange->check.has_value()) {
      exchange->body.append(data);
      return;
    }
    exchange->check->feed(data);
    if (record.first_token_us < 0 && exchange->check->has_first_token()) {
      record.first_token_us = since_arrival_us(record.arrival);
    }
  };
  listener.on_done = [this, &record, exchange](const HttpClient::Outcome& outcome) {
    record.done_us = since_arrival_us(record.arrival);
    exchange->finish(outcome, record);
    refused_ += record.reason.empty() ? 0 : 1;
    faulty_ += record.fault.empty() ? 0 : 1;
    ++done_;
  };
  record.sent_us = since_arrival_us(arrival);
  ++sent_;
  client_.send(std::move(call), std::move(listener));
}

}  // namespace bluebellstep::loadgen
