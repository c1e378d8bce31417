// HTTP handlers, event streams and timers of the model engine stand-in.

#include "standins/engine_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/overloaded.h"

namespace bluebellstep::standins {
namespace {

using Json = nlohmann::json;

// Resolution of timers. A delay of 0 would run the task inside the current call.
constexpr Duration kMinDelay = 1_ms;

EngineOptions append_start_time(EngineOptions options, Instant unix_time) {
  options.start_id += "-" + std::to_string(unix_time.ms);
  return options;
}

/** Parses a request. Returns nothing if a field is missing or has the wrong type. */
std::optional<CompletionRequest> parse_completion(const Json& body) {
  if (!body.is_object()) {
    return std::nullopt;
  }
  try {
    const auto salt = BlockKey::from_hex(body.at("cache_salt").get_ref<const std::string&>());
    if (!salt || !body.value("stream", true)) {
      return std::nullopt;
    }
    return CompletionRequest{.request_id = body.at("request_id"),
                             .model = body.at("model"),
                             .prompt = body.at("prompt"),
                             .max_tokens = body.at("max_tokens"),
                             .priority = body.value("priority", 0),
                             .cache_salt = *salt,
                             .resume_text = body.value("resume_text", std::string()),
                             .first_index = body.value("first_index", 0u)};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

Json to_json(const std::vector<BlockKey>& keys) {
  Json list = Json::array();
  for (const BlockKey key : keys) {
    list.push_back(key.to_hex());
  }
  return list;
}

std::string to_sse(const StreamStarted& started) {
  const Json event = {{"start_id", started.start_id},
                      {"weight_version", started.weight_version},
                      {"usage",
                       {{"prompt_tokens", started.prompt_tokens},
                        {"cached_blocks", started.cached_blocks},
                        {"computed_blocks", started.computed_blocks}}}};
  return "data: " + event.dump() + "\n\n";
}

std::string to_sse(const StreamToken& token) {
  // Token texts contain no characters that need escaping in JSON.
  return "data: {\"index\":" + std::to_string(token.index) + ",\"text\":\"" + token.text +
         "\"}\n\n";
}

std::string to_sse(const StreamFinished& finished) {
  const Json event = {{"finish_reason", finished.ended_naturally ? "stop" : "length"},
                      {"total", finished.total_tokens}};
  return "data: " + event.dump() + "\n\ndata: [DONE]\n\n";
}

std::optional<Duration> duration_fault(const Json& faults, const char* name) {
  const auto found = faults.find(name);
  return found != faults.end() && found->is_number()
             ? std::optional(Duration{found->get<std::int64_t>()})
             : std::nullopt;
}

std::optional<std::uint32_t> count_fault(const Json& faults, const char* name) {
  const auto found = faults.find(name);
  return found != faults.end() && found->is_number_unsigned()
             ? std::optional(found->get<std::uint32_t>())
             : std::nullopt;
}

}  // namespace

EngineStandin::EngineStandin(HttpLoop& loop, EngineOptions options, Endpoint listen)
    : model_(append_start_time(std::move(options), clock_.wall()), clock_.now()), server_(loop) {
  add_routes();
  server_.set_on_closed([this](ExchangeId exchange) { detach_stream(exchange); });
  server_.set_on_faults([this](const Json& faults) { set_faults(faults); });
  publish_counters();
  HttpServerOptions server_options;
  server_options.listen = std::move(listen);
  server_.start(std::move(server_options));
}

void EngineStandin::add_routes() {
  const auto add = [this](const char* method, const char* pattern,
                          void (EngineStandin::*handler)(const StandinRequest&)) {
    server_.route(method, pattern, [this, handler](const StandinRequest& request) {
      (this->*handler)(request);
      pump();
    });
  };
  add("POST", "/v1/completions", &EngineStandin::submit_completion);
  add("GET", "/v1/requests/{}/stream", &EngineStandin::resume);
  add("POST", "/v1/requests/{}/cancel", &EngineStandin::cancel);
  add("GET", "/load", &EngineStandin::report_load);
  add("GET", "/kv/events", &EngineStandin::list_events);
  add("GET", "/kv/blocks", &EngineStandin::list_blocks);
  add("GET", "/kv/blocks/{}", &EngineStandin::export_block);
  add("PUT", "/kv/blocks/{}", &EngineStandin::import_block);
  add("POST", "/admin/{}", &EngineStandin::run_command);
}

void EngineStandin::submit_completion(const StandinRequest& request) {
  auto completion = parse_completion(request.json());
  if (!completion) {
    server_.reply_error(request.exchange, 400, "bad_request");
    return;
  }
  const SubmitResult result = model_.submit(std::move(*completion), clock_.now());
  if (const auto* stream = std::get_if<StreamId>(&result)) {
    attach_stream(*stream, request.exchange);
    return;
  }
  switch (std::get<SubmitError>(result)) {
    case SubmitError::kOverloaded:
      server_.reply_error(request.exchange, 503, "overloaded");
      return;
    case SubmitError::kUnknownModel:
      server_.reply_error(request.exchange, 404, "unknown_model");
      return;
    case SubmitError::kBadRequest:
      server_.reply_error(request.exchange, 400, "bad_request");
      return;
  }
}

void EngineStandin::resume(const StandinRequest& request) {
  const std::uint64_t from_index = request.query_number("from_index", 0);
  const auto stream =
      from_index <= UINT32_MAX
          ? model_.resume(request.captures[0], static_cast<std::uint32_t>(from_index), clock_.now())
          : std::nullopt;
  if (stream) {
    attach_stream(*stream, request.exchange);
  } else {
    server_.reply_error(request.exchange, 404, "unknown_request");
  }
}

void EngineStandin::cancel(const StandinRequest& request) {
  if (model_.cancel(request.captures[0], clock_.now())) {
    server_.reply_json(request.exchange, 200, {{"cancelled", true}});
  } else {
    server_.reply_error(request.exchange, 404, "unknown_request");
  }
}

void EngineStandin::report_load(const StandinRequest& request) {
  const LoadReport& load = model_.load_report(clock_.now());
  server_.reply_json(request.exchange, 200,
                     {{"start_id", load.start_id},
                      {"running", load.running},
                      {"waiting", load.waiting},
                      {"kv_tokens_used", load.kv_tokens_used},
                      {"kv_tokens_limit", load.kv_tokens_limit},
                      {"models", load.models}});
}

void EngineStandin::list_events(const StandinRequest& request) {
  const CacheEventPage page = model_.cache_events(request.query_number("after", 0), clock_.now());
  Json events = Json::array();
  for (const CacheEvent& event : page.events) {
    events.push_back({{"seq", event.sequence_number},
                      {"type", to_string(event.type)},
                      {"keys", to_json(event.keys)}});
  }
  server_.reply_json(
      request.exchange, 200,
      {{"start_id", model_.start_id()}, {"next", page.next}, {"events", std::move(events)}});
}

void EngineStandin::list_blocks(const StandinRequest& request) {
  const Json keys = to_json(model_.cached_keys(clock_.now()));
  server_.reply_json(request.exchange, 200,
                     {{"start_id", model_.start_id()},
                      {"next", model_.last_cache_event_number()},
                      {"keys", keys}});
}

void EngineStandin::export_block(const StandinRequest& request) {
  const auto key = BlockKey::from_hex(request.captures[0]);
  auto bytes = key ? model_.export_block(*key, clock_.now()) : std::nullopt;
  if (bytes) {
    server_.http().respond(request.exchange, 200, {{"content-type", "application/octet-stream"}},
                           std::move(*bytes));
  } else {
    server_.reply_error(request.exchange, 404, "unknown_block");
  }
}

void EngineStandin::import_block(const StandinRequest& request) {
  const auto key = BlockKey::from_hex(request.captures[0]);
  if (!key) {
    server_.reply_error(request.exchange, 400, "bad_request");
  } else if (model_.import_block(*key, request.http.body, clock_.now())) {
    server_.reply_json(request.exchange, 200, Json::object());
  } else {
    server_.reply_error(request.exchange, 507, "full");
  }
}

void EngineStandin::run_command(const StandinRequest& request) {
  const std::string& command = request.captures[0];
  const Json body = request.json();
  const auto text = [&body](const char* name) { return body.at(name).get<std::string>(); };
  try {
    const std::uint64_t fencing_number = body.at("fencing_number").get<std::uint64_t>();
    if (command == "load") {
      reply_to_command(request, model_.load_weights(text("model"), text("version"), fencing_number,
                                                    clock_.now()));
    } else if (command == "adapter") {
      reply_to_command(request, model_.load_adapter(text("model"), text("adapter"), fencing_number,
                                                    clock_.now()));
    } else if (command == "role") {
      reply_to_command(request, model_.set_role(text("role"), fencing_number));
    } else {
      server_.reply_error(request.exchange, 404, "not_found");
    }
  } catch (const Json::exception&) {
    server_.reply_error(request.exchange, 400, "bad_request");
  }
}

void EngineStandin::reply_to_command(const StandinRequest& request, const CommandResult& result) {
  std::visit(Overloaded{
                 [&](CommandDone) { server_.reply_json(request.exchange, 200, Json::object()); },
                 // `finish_weight_load` sends the response.
                 [&](WeightLoadId load) { weight_loads_.emplace(load, request.exchange); },
                 [&](StaleFencingNumber stale) {
                   server_.reply_error(request.exchange, 409, "stale_fencing_number",
                                       {{"highest", stale.highest}});
                 },
                 [&](CommandError error) {
                   if (error == CommandError::kUnknownModel) {
                     server_.reply_error(request.exchange, 404, "unknown_model");
                   } else {
                     server_.reply_error(request.exchange, 409, "load_in_progress");
                   }
                 },
             },
             result);
}

void EngineStandin::set_faults(const Json& faults) {
  const Instant now = clock_.now();
  model_.advance(now);
  model_.set_faults({.events_lag = duration_fault(faults, "events_lag_ms"),
                     .drop_event_every = count_fault(faults, "drop_event_every").value_or(0),
                     .load_lag = duration_fault(faults, "load_lag_ms"),
                     .stall_after_tokens = count_fault(faults, "stall_after_tokens"),
                     .break_after_tokens = count_fault(faults, "break_after_tokens"),
                     .refuse = server_.fault_flag("refuse")});
  if (server_.fault_flag("go_cold")) {
    model_.go_cold(now);
  }
  pump();
}

void EngineStandin::attach_stream(StreamId stream, ExchangeId exchange) {
  exchanges_[stream] = exchange;
  streams_[exchange] = stream;
}

void EngineStandin::detach_stream(ExchangeId exchange) {
  const auto found = streams_.find(exchange);
  if (found != streams_.end()) {
    model_.close_stream(found->second);
    exchanges_.erase(found->second);
    streams_.erase(found);
  }
}

void EngineStandin::deliver_event(const StreamEvent& event) {
  const auto found = exchanges_.find(event.stream);
  if (found == exchanges_.end()) {
    return;
  }
  const ExchangeId exchange = found->second;
  HttpServer& http = server_.http();
  std::visit(Overloaded{
                 [&](const StreamStarted& started) {
                   http.start_stream(exchange, 200, {{"content-type", "text/event-stream"}});
                   http.write(exchange, to_sse(started));
                 },
                 [&](const StreamToken& token) { http.write(exchange, to_sse(token)); },
                 [&](const StreamFinished& finished) {
                   http.write(exchange, to_sse(finished));
                   http.end(exchange);
                   detach_stream(exchange);
                 },
                 [&](StreamBroken) {
                   // `abort` discards what has not been sent yet.
                   server_.run_after(kMinDelay, [&http, exchange] { http.abort(exchange); });
                   detach_stream(exchange);
                 },
             },
             event.payload);
}

void EngineStandin::finish_weight_load(const FinishedWeightLoad& finished) {
  const auto found = weight_loads_.find(finished.load);
  if (found == weight_loads_.end()) {
    return;
  }
  if (finished.loaded) {
    server_.reply_json(found->second, 200, Json::object());
  } else {
    server_.http().abort(found->second);
  }
  weight_loads_.erase(found);
}

void EngineStandin::pump() {
  model_.advance(clock_.now());
  for (const StreamEvent& event : model_.take_events()) {
    deliver_event(event);
  }
  for (const FinishedWeightLoad& finished : model_.take_finished_weight_loads()) {
    finish_weight_load(finished);
  }
  publish_counters();
  schedule_pump();
}

void EngineStandin::schedule_pump() {
  const auto next = model_.next_event();
  if (!next || (next_pump_ && *next_pump_ <= *next)) {
    return;
  }
  next_pump_ = next;
  server_.run_after(std::max(kMinDelay, *next - clock_.now()), [this, at = *next] {
    if (next_pump_ == at) {
      next_pump_.reset();
    }
    pump();
  });
}

void EngineStandin::publish_counters() {
  const EngineCounters& counters = model_.counters();
  const auto set = [this](const char* name, std::uint64_t value) {
    server_.set_counter(name, static_cast<std::int64_t>(value));
  };
  set("submitted", counters.submitted);
  set("refused", counters.refused);
  set("started", counters.started);
  set("completed", counters.completed);
  set("cancelled", counters.cancelled);
  set("broken_runs", counters.broken_runs);
  set("falls", counters.crashes);
  set("peak_running", counters.peak_running);
  set("bears", model_.run_capacity());
  set("tokens", counters.tokens);
  set("prompt_tokens", counters.prompt_tokens);
  set("prefilled_tokens", counters.prefilled_tokens);
  set("cached_blocks", counters.cached_blocks);
  set("computed_blocks", counters.computed_blocks);
  set("evicted_blocks", counters.evicted_blocks);
  set("exports", counters.exports);
  set("imports", counters.imports);
  set("corrupt_imports", counters.corrupt_imports);
  set("corrupt_reads", counters.corrupt_reads);
  set("wrong_version_reads", counters.wrong_version_reads);
  set("wrong_resume_texts", counters.wrong_resume_texts);
  set("resumed_streams", counters.resumed_streams);
  set("loads", counters.weight_loads);
  set("stale_commands", counters.stale_commands);
}

}  // namespace bluebellstep::standins
