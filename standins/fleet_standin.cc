// HTTP handlers of the metadata store and of the registered servers.

#include "standins/fleet_standin.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr Duration kEventInterval{3};
constexpr std::string_view kModelName = "clerk";
constexpr std::string_view kOrderService = "order-desk";
constexpr std::string_view kEngineService = "answers";

std::string header(const StandinRequest& request, std::string_view name) {
  return std::string(find_header(request.http.headers, name).value_or(std::string_view()));
}

Json route(std::string_view name, std::string_view kind, std::string_view service) {
  const bool resumable = name == "prompts";
  return {{"name", name},
          {"host", "127.0.0.1"},
          {"path_prefix", "/" + std::string(name) + "/"},
          {"kind", kind},
          {"timeout_ms", 4000},
          {"goal_ms", 100},
          {"priority", 1},
          {"service", service},
          {"max_attempts", kind == "safe" || resumable ? 2 : 1},
          {"public", false},
          {"sticky", kind == "streaming"},
          {"resumable", resumable}};
}

}  // namespace

std::string_view FleetStandin::Instance::service() const {
  return is_engine ? kEngineService : kOrderService;
}

FleetStandin::FleetStandin(HttpLoop& loop, const FleetOptions& options, const Endpoint& listen)
    : options_(options),
      store_(loop, [this](const auto& kind, const auto& name, const Json& status) {
        if (kind == "rollouts" && status.value("state", "") == "succeeded") {
          stop_other_versions(name, status.value("to", ""));
        }
      }) {
  for (std::uint32_t i = 0; i < options_.plain_servers; ++i) {
    add_instance("orders-" + std::to_string(i), false);
  }
  for (std::uint32_t i = 0; i < options_.engines; ++i) {
    add_instance("engine-" + std::to_string(i), true);
  }
  for (const auto& instance : instances_) {
    register_instance(*instance);
  }
  for (std::uint32_t i = 0; i < options_.spare_servers; ++i) {
    add_instance("spare-" + std::to_string(i), false);
  }
  for (std::uint32_t i = 0; i < options_.spare_engines; ++i) {
    add_instance("spare-engine-" + std::to_string(i), true);
  }
  write_config();
  add_routes();
  store_.server().start({.listen = listen});
}

void FleetStandin::add_routes() {
  StandinServer& server = store_.server();
  server.route("POST", "/versions", [this](const auto& request) { register_version(request); });
  server.route("POST", "/leave", [this](const auto& request) { leave(request); });
  server.route("GET", "/loads", [this](const auto& request) {
    store_.server().reply_json(request.exchange, 200, loads_);
  });
  server.route("GET", "/runs", [this](const auto& request) {
    store_.server().reply_json(request.exchange, 200, Json(executions_by_request_));
  });
}

void FleetStandin::add_instance(const std::string& id, bool is_engine) {
  auto instance = std::make_unique<Instance>();
  instance->id = id;
  instance->is_engine = is_engine;
  instance->server = std::make_unique<StandinServer>(store_.server().loop());
  Instance& server_instance = *instance;
  server_instance.server->route("GET", "/report", [&server_instance](const auto& request) {
    server_instance.server->reply_json(
        request.exchange, 200,
        {{"stage", "both"},
         {"models", {{{"name", kModelName}, {"version", server_instance.weight_version}}}},
         {"busy", false},
         {"seq", server_instance.command_count}});
  });
  server_instance.server->route("POST", "/order", [this, &server_instance](const auto& request) {
    load_weights(server_instance, request);
  });
  server_instance.server->route("GET", "/kv-events", [&server_instance](const auto& request) {
    server_instance.server->reply_json(
        request.exchange, 200,
        {{"epoch", 1}, {"next", 0}, {"lost", false}, {"events", Json::array()}});
  });
  server_instance.server->route("*", "/{*}", [this, &server_instance](const auto& request) {
    serve(server_instance, request);
  });
  server_instance.server->start({.listen = {"127.0.0.1", 0}});
  instances_.push_back(std::move(instance));
}

void FleetStandin::register_version(const StandinRequest& request) {
  const Json body = request.json();
  const auto version = body.value("version", std::string("v2"));
  const auto service = body.value("service", std::string(kOrderService));
  const auto replaced = body.value("replaces", std::string());
  int missing = body.value("count", 2);
  for (const auto& instance : instances_) {
    if (instance->service() != service) {
      continue;
    }
    if (instance->registered && instance->version == replaced) {
      remove_from_service(*instance, body.value("stop", false));
    }
    if (missing > 0 && !instance->registered) {
      instance->id =
          (instance->is_engine ? "engine-" : "orders-") + version + "-" + std::to_string(missing--);
      instance->version = version;
      instance->fail_percent = body.value("fail_percent", std::uint64_t{0});
      register_instance(*instance);
    }
  }
  store_.server().reply_json(request.exchange, 200, Json::object());
}

void FleetStandin::leave(const StandinRequest& request) {
  const Json body = request.json();
  const auto found = std::find_if(instances_.begin(), instances_.end(), [&](const auto& instance) {
    return instance->id == body.value("id", "") && instance->registered && !instance->left_at;
  });
  if (found == instances_.end()) {
    store_.server().reply_json(request.exchange, 404, Json::object());
    return;
  }
  Instance& instance = **found;
  instance.left_at = clock_.now();
  instance.removed = body.value("removed", false);
  if (body.value("stopped", false)) {
    store_.stop_rewriting("servers", instance.id);
  }
  if (instance.removed) {
    store_.remove("servers", instance.id);
  } else {
    register_instance(instance);
  }
  store_.server().reply_json(request.exchange, 200, Json::object());
}

void FleetStandin::stop_other_versions(const std::string& service, const std::string& version) {
  for (const auto& instance : instances_) {
    if (instance->service() == service && instance->version != version && instance->registered &&
        !instance->stopped) {
      remove_from_service(*instance, true);
    }
  }
}

void FleetStandin::remove_from_service(Instance& instance, bool stop) {
  instance.stopped = instance.stopped || stop;
  store_.remove("servers", instance.id);
}

void FleetStandin::register_instance(Instance& instance) {
  instance.registered = true;
  Json registration = {{"service", instance.service()},
                       {"address", "127.0.0.1:" + std::to_string(instance.server->port())},
                       {"zone", "a"},
                       {"version", instance.version},
                       {"slots", instance.is_engine ? 64 : 6},
                       {"state", instance.left_at ? "draining" : "ready"},
                       {"cold_left_ms", 0},
                       {"seq", instance.command_count},
                       {"born", 1}};
  if (instance.is_engine) {
    registration["models"] = {{{"name", kModelName}, {"version", instance.weight_version}}};
  }
  store_.write("servers", instance.id, std::move(registration));
}

void FleetStandin::write_config() {
  store_.write("config", "main",
               {{"version", 1},
                {"routes",
                 {route("orders", "unsafe", kOrderService), route("lookups", "safe", kOrderService),
                  route("prompts", "streaming", kEngineService),
                  route("chats", "streaming", kEngineService)}},
                {"services",
                 {{{"name", kOrderService}, {"max_conns", 200}, {"cold_per_s", 0.0}},
                  {{"name", kEngineService},
                   {"max_conns", 200},
                   {"cold_per_s", 0.0},
                   {"engine", {{"slots", 64}, {"kv_capacity", 70'000}}}}}},
                {"limits",
                 {{"max_header_bytes", 16'384},
                  {"max_body_bytes", options_.max_body_bytes},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15'000}}},
                {"tenants", {{{"name", "acme"}, {"api_keys", {"key-1"}}}}}});
}

void FleetStandin::load_weights(Instance& instance, const StandinRequest& request) {
  const Json body = request.json();
  if (!body.is_object()) {
    instance.server->reply_json(request.exchange, 400, Json::object());
    return;
  }
  const int status = answer_load(instance, body);
  loads_.push_back({{"server", instance.id},
                    {"holder", body.value("holder", "")},
                    {"fence", body.value("fence", std::uint64_t{0})},
                    {"status", status},
                    {"at_ms", clock_.now().ms}});
  instance.server->reply_json(request.exchange, status, Json::object());
}

int FleetStandin::answer_load(Instance& instance, const Json& command) {
  const auto fence = command.value("fence", std::uint64_t{0});
  if (options_.check_fences && fence < instance.highest_fence) {
    return 412;
  }
  instance.highest_fence = std::max(instance.highest_fence, fence);
  if (command.value("expect", instance.command_count) != instance.command_count) {
    return 409;
  }
  ++instance.command_count;
  store_.server().count("loads");
  instance.weight_version = command.value("version", instance.weight_version);
  if (!instance.removed) {
    register_instance(instance);
  }
  return 202;
}

void FleetStandin::serve(Instance& instance, const StandinRequest& request) {
  const std::string id = header(request, "request-id");
  const std::string expected_instance = header(request, "expect-instance");
  if (!expected_instance.empty() && expected_instance != instance.id) {
    instance.server->http().respond(request.exchange, 421,
                                    {{"request-id", id}, {"instance-id", instance.id}}, "");
    return;
  }
  if (instance.left_at && clock_.now() > *instance.left_at + kDrainTime) {
    store_.server().count("late_requests");
    store_.server().count("late_requests_" + instance.id);
  }
  if (store_.server().consume_fault("refuse")) {
    instance.server->http().respond(request.exchange, 503,
                                    {{"request-id", id}, {"not-executed", "1"}}, "");
    return;
  }
  const Duration delay{static_cast<std::int64_t>(store_.server().fault_number("delay_ms"))};
  if (delay <= Duration{0}) {
    execute(instance, request);
  } else {
    instance.server->run_after(delay, [this, &instance, request] { execute(instance, request); });
  }
}

void FleetStandin::execute(Instance& instance, const StandinRequest& request) {
  const std::string id = header(request, "request-id");
  if (instance.stopped) {
    store_.server().count("cut_off");
    instance.server->http().abort(request.exchange);
    return;
  }
  ++executions_by_request_[id];
  store_.server().count("runs_" + instance.version);
  constexpr std::uint64_t kPercent = 100;
  // Spreads the errors evenly over the executions.
  const std::uint64_t errors_before = instance.executions * instance.fail_percent / kPercent;
  if (++instance.executions * instance.fail_percent / kPercent > errors_before) {
    instance.server->http().respond(request.exchange, 500, {{"request-id", id}}, "");
    return;
  }
  if (store_.server().consume_fault("lose_answers")) {
    instance.server->http().abort(request.exchange);
    return;
  }
  const std::vector<HttpHeader> headers = {{"request-id", id}, {"server-seal", "seal-" + id}};
  if (!instance.is_engine) {
    instance.server->http().respond(request.exchange, 200, headers,
                                    "answer to " + id + " " + request.http.body);
    return;
  }
  std::vector<HttpHeader> stream_headers = headers;
  stream_headers.push_back({"content-type", "text/event-stream"});
  instance.server->http().start_stream(request.exchange, 200, stream_headers);
  const std::string last_event_id = header(request, "last-event-id");
  const std::uint64_t next_event_id = last_event_id.empty() ? 1 : std::stoull(last_event_id) + 1;
  const std::uint64_t cut_event_id =
      store_.server().consume_fault("cut_streams") ? options_.events / 2 : 0;
  send_event(instance, request.exchange, id, next_event_id, cut_event_id);
}

void FleetStandin::send_event(Instance& instance,
                              ExchangeId exchange,
                              const std::string& id,
                              std::uint64_t next_event_id,
                              std::uint64_t cut_event_id) {
  HttpServer& http = instance.server->http();
  if (instance.stopped) {
    store_.server().count("cut_off");
    http.abort(exchange);
    return;
  }
  const std::string event = "id: " + std::to_string(next_event_id) + "\ndata: " + id + "-" +
                            std::to_string(next_event_id) + " " + instance.version + "\n\n";
  if (next_event_id == cut_event_id) {
    http.write(exchange, event.substr(0, event.size() / 2));
    instance.server->run_after(kEventInterval, [&http, exchange] { http.abort(exchange); });
    return;
  }
  http.write(exchange, event);
  if (next_event_id >= options_.events) {
    http.end(exchange);
    return;
  }
  instance.server->run_after(kEventInterval,
                             [this, &instance, exchange, id, next_event_id, cut_event_id] {
                               send_event(instance, exchange, id, next_event_id + 1, cut_event_id);
                             });
}

void add_fleet_options(CLI::App& command, FleetOptions& options) {
  command.add_option("--plain-servers", options.plain_servers,
                     "number of servers of the plain service");
  command.add_option("--spare-servers", options.spare_servers,
                     "number of servers that are registered by POST /versions");
  command.add_option("--engines", options.engines, "number of model engines");
  command.add_option("--spare-engines", options.spare_engines,
                     "number of engines that are registered by POST /versions");
  command.add_option("--events", options.events, "number of events in each stream");
  command.add_option("--max-body-bytes", options.max_body_bytes,
                     "limit on request bodies in the configuration");
  command.add_flag("--check-fences", options.check_fences,
                   "engines refuse load commands with a lower fence than an earlier one");
}

}  // namespace bluebellstep
