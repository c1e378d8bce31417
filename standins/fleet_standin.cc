// HTTP handlers of the metadata store and of the registered servers.

#include "standins/fleet_standin.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr Duration kDefaultWatchWait{30'000};
constexpr Duration kEventInterval{3};
constexpr std::string_view kModelName = "clerk";
constexpr std::string_view kOrderService = "order-desk";
constexpr std::string_view kEngineService = "answers";
constexpr std::string_view kObjectsPath = "/objects/";

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
    : options_(options), metadata_store_(loop) {
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
  add_store_routes();
  metadata_store_.start({.listen = listen});
}

void FleetStandin::add_store_routes() {
  metadata_store_.set_interceptor(
      [this](const StandinRequest& request) { return apply_store_faults(request); });
  metadata_store_.route("GET", "/objects/{}",
                        [this](const auto& request) { list_or_watch_objects(request); });
  metadata_store_.route("POST", "/objects/{}",
                        [this](const auto& request) { create_object(request); });
  metadata_store_.route("GET", "/objects/{}/{}", [this](const auto& request) {
    const Json found = object(request.captures[0], request.captures[1]);
    metadata_store_.reply_json(request.exchange, found.is_null() ? 404 : 200, found);
  });
  metadata_store_.route("PUT", "/objects/{}/{}",
                        [this](const auto& request) { replace_object(request); });
  metadata_store_.route("DELETE", "/objects/{}/{}",
                        [this](const auto& request) { remove_object(request); });
  metadata_store_.route("PUT", "/objects/{}/{}/status",
                        [this](const auto& request) { write_status(request); });
  metadata_store_.route("POST", "/versions",
                        [this](const auto& request) { register_version(request); });
  metadata_store_.route("GET", "/runs", [this](const auto& request) {
    metadata_store_.reply_json(request.exchange, 200, Json(executions_by_request_));
  });
}

bool FleetStandin::apply_store_faults(const StandinRequest& request) {
  if (!request.path.starts_with(kObjectsPath)) {
    return false;
  }
  count_store_call(request);
  if (metadata_store_.fault_flag("store_silent")) {
    return true;
  }
  if (!metadata_store_.fault_flag("store_down")) {
    return false;
  }
  metadata_store_.reply_json(request.exchange, 503, {{"error", "down"}});
  return true;
}

void FleetStandin::count_store_call(const StandinRequest& request) {
  const std::string_view rest = std::string_view(request.path).substr(kObjectsPath.size());
  metadata_store_.count("calls_" + std::string(rest.substr(0, rest.find('/'))));
}

void FleetStandin::add_instance(const std::string& id, bool is_engine) {
  auto instance = std::make_unique<Instance>();
  instance->id = id;
  instance->is_engine = is_engine;
  instance->server = std::make_unique<StandinServer>(metadata_store_.loop());
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
  metadata_store_.reply_json(request.exchange, 200, Json::object());
}

void FleetStandin::write_status(const StandinRequest& request) {
  const Json body = request.json();
  const std::string& kind = request.captures[0];
  const std::string& name = request.captures[1];
  const Json existing = object(kind, name);
  if (existing.is_null() || !body.is_object()) {
    metadata_store_.reply_json(request.exchange, existing.is_null() ? 404 : 400, Json::object());
    return;
  }
  if (body.value("metadata", Json::object()).value("revision", std::uint64_t{0}) !=
      existing["metadata"]["revision"]) {
    metadata_store_.reply_json(request.exchange, 409, existing);
    return;
  }
  const Json status = body.value("status", Json());
  if (status != existing["status"]) {
    metadata_store_.count("status_writes");
    objects_[kind][name].status = status;
    write_object(kind, name, existing["spec"]);
    if (kind == "rollouts" && status.value("state", "") == "succeeded") {
      stop_other_versions(name, status.value("to", ""));
    }
  }
  metadata_store_.reply_json(request.exchange, 200, object(kind, name));
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
  if (!object("servers", instance.id).is_null()) {
    unregister_object("servers", instance.id);
  }
}

void FleetStandin::register_instance(Instance& instance) {
  instance.registered = true;
  Json registration = {{"service", instance.service()},
                       {"address", "127.0.0.1:" + std::to_string(instance.server->port())},
                       {"zone", "a"},
                       {"version", instance.version},
                       {"slots", instance.is_engine ? 64 : 6},
                       {"state", "ready"},
                       {"cold_left_ms", 0},
                       {"seq", instance.command_count},
                       {"born", 1}};
  if (instance.is_engine) {
    registration["models"] = {{{"name", kModelName}, {"version", instance.weight_version}}};
  }
  write_object("servers", instance.id, std::move(registration));
}

void FleetStandin::write_config() {
  write_object("config", "main",
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

nlohmann::json FleetStandin::object(const std::string& kind, const std::string& name) const {
  const auto objects_of_kind = objects_.find(kind);
  if (objects_of_kind == objects_.end() || !objects_of_kind->second.contains(name)) {
    return nullptr;
  }
  const Object& found = objects_of_kind->second.at(name);
  return {{"metadata",
           {{"name", name},
            {"revision", found.revision},
            {"created", found.created},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"spec", found.spec},
          {"status", found.status}};
}

void FleetStandin::write_object(const std::string& kind, const std::string& name, Json spec) {
  Object& written = objects_[kind][name];
  written.revision = ++revision_;
  written.spec = std::move(spec);
  written.created = written.created == 0 ? revision_ : written.created;
  events_.push_back({revision_, kind, name, false, object(kind, name)});
  complete_watches(kind);
}

void FleetStandin::complete_watches(const std::string& kind) {
  const auto first_due =
      std::stable_partition(pending_watches_.begin(), pending_watches_.end(),
                            [&](const PendingWatch& w) { return w.kind != kind; });
  const std::vector<PendingWatch> due(first_due, pending_watches_.end());
  pending_watches_.erase(first_due, pending_watches_.end());
  for (const PendingWatch& watch : due) {
    answer_watch(watch);
  }
}

void FleetStandin::answer_watch(const PendingWatch& watch) {
  Json list = Json::array();
  for (const ChangeEvent& event : events_) {
    if (event.kind == watch.kind && event.revision > watch.revision) {
      list.push_back({{"object", event.object}, {"removed", event.removed}});
    }
  }
  metadata_store_.reply_json(watch.exchange, 200, {{"events", list}, {"current_rev", revision_}});
}

void FleetStandin::list_or_watch_objects(const StandinRequest& request) {
  const std::string& kind = request.captures[0];
  if (request.query.contains("watch")) {
    const PendingWatch watch{request.exchange, kind, request.query_number("watch", 0)};
    const bool due = std::any_of(events_.begin(), events_.end(), [&](const ChangeEvent& event) {
      return event.kind == kind && event.revision > watch.revision;
    });
    if (due) {
      answer_watch(watch);
      return;
    }
    pending_watches_.push_back(watch);
    const Duration wait{static_cast<std::int64_t>(
        request.query_number("wait_ms", static_cast<std::uint64_t>(kDefaultWatchWait.ms)))};
    metadata_store_.run_after(wait, [this, exchange = request.exchange] {
      const auto found =
          std::find_if(pending_watches_.begin(), pending_watches_.end(),
                       [exchange](const PendingWatch& w) { return w.exchange == exchange; });
      if (found != pending_watches_.end()) {
        const PendingWatch expired = *found;
        pending_watches_.erase(found);
        answer_watch(expired);
      }
    });
    return;
  }
  Json items = Json::array();
  for (const auto& [name, found] : objects_[kind]) {
    items.push_back(object(kind, name));
  }
  metadata_store_.reply_json(request.exchange, 200,
                             {{"items", items}, {"has_more", false}, {"current_rev", revision_}});
}

void FleetStandin::create_object(const StandinRequest& request) {
  const Json body = request.json();
  const std::string& kind = request.captures[0];
  if (!body.is_object() || !body.contains("metadata")) {
    metadata_store_.reply_json(request.exchange, 400, {{"error", "no metadata"}});
    return;
  }
  const std::string name = body["metadata"].value("name", "");
  const Json existing = object(kind, name);
  if (!existing.is_null()) {
    metadata_store_.reply_json(request.exchange, 409, existing);
    return;
  }
  write_object(kind, name, body.value("spec", Json()));
  metadata_store_.reply_json(request.exchange, 200, object(kind, name));
}

void FleetStandin::replace_object(const StandinRequest& request) {
  const Json body = request.json();
  const std::string& kind = request.captures[0];
  const std::string& name = request.captures[1];
  const Json existing = object(kind, name);
  if (existing.is_null() || !body.is_object()) {
    metadata_store_.reply_json(request.exchange, existing.is_null() ? 404 : 400, Json::object());
    return;
  }
  const Json metadata = body.value("metadata", Json::object());
  if (metadata.contains("revision") && metadata["revision"] != existing["metadata"]["revision"]) {
    metadata_store_.reply_json(request.exchange, 409, existing);
    return;
  }
  if (body.value("spec", Json()) != existing["spec"]) {
    write_object(kind, name, body.value("spec", Json()));
  }
  metadata_store_.reply_json(request.exchange, 200, object(kind, name));
}

void FleetStandin::remove_object(const StandinRequest& request) {
  const std::string& kind = request.captures[0];
  const std::string& name = request.captures[1];
  const Json existing = object(kind, name);
  if (existing.is_null()) {
    metadata_store_.reply_json(request.exchange, 404, Json::object());
    return;
  }
  unregister_object(kind, name);
  metadata_store_.reply_json(request.exchange, 200, existing);
}

void FleetStandin::unregister_object(const std::string& kind, const std::string& name) {
  const Json existing = object(kind, name);
  objects_[kind].erase(name);
  events_.push_back({++revision_, kind, name, true, existing});
  events_.back().object["metadata"]["revision"] = revision_;
  complete_watches(kind);
}

void FleetStandin::load_weights(Instance& instance, const StandinRequest& request) {
  const Json body = request.json();
  if (!body.is_object() || body.value("expect", instance.command_count) != instance.command_count) {
    instance.server->reply_json(request.exchange, 409, Json::object());
    return;
  }
  ++instance.command_count;
  metadata_store_.count("loads");
  instance.weight_version = body.value("version", instance.weight_version);
  instance.server->reply_json(request.exchange, 202, Json::object());
  register_instance(instance);
}

void FleetStandin::serve(Instance& instance, const StandinRequest& request) {
  const std::string id = header(request, "request-id");
  const std::string expected_instance = header(request, "expect-instance");
  if (!expected_instance.empty() && expected_instance != instance.id) {
    instance.server->http().respond(request.exchange, 421,
                                    {{"request-id", id}, {"instance-id", instance.id}}, "");
    return;
  }
  if (metadata_store_.consume_fault("refuse")) {
    instance.server->http().respond(request.exchange, 503,
                                    {{"request-id", id}, {"not-executed", "1"}}, "");
    return;
  }
  const Duration delay{static_cast<std::int64_t>(metadata_store_.fault_number("delay_ms"))};
  if (delay <= Duration{0}) {
    execute(instance, request);
  } else {
    instance.server->run_after(delay, [this, &instance, request] { execute(instance, request); });
  }
}

void FleetStandin::execute(Instance& instance, const StandinRequest& request) {
  const std::string id = header(request, "request-id");
  if (instance.stopped) {
    metadata_store_.count("cut_off");
    instance.server->http().abort(request.exchange);
    return;
  }
  ++executions_by_request_[id];
  metadata_store_.count("runs_" + instance.version);
  constexpr std::uint64_t kPercent = 100;
  // Spreads the errors evenly over the executions.
  const std::uint64_t errors_before = instance.executions * instance.fail_percent / kPercent;
  if (++instance.executions * instance.fail_percent / kPercent > errors_before) {
    instance.server->http().respond(request.exchange, 500, {{"request-id", id}}, "");
    return;
  }
  if (metadata_store_.consume_fault("lose_answers")) {
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
      metadata_store_.consume_fault("cut_streams") ? options_.events / 2 : 0;
  send_event(instance, request.exchange, id, next_event_id, cut_event_id);
}

void FleetStandin::send_event(Instance& instance,
                              ExchangeId exchange,
                              const std::string& id,
                              std::uint64_t next_event_id,
                              std::uint64_t cut_event_id) {
  HttpServer& http = instance.server->http();
  if (instance.stopped) {
    metadata_store_.count("cut_off");
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
}

}  // namespace bluebellstep
