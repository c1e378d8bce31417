// The metadata store and the servers of the users' platform, as far as gateways need them.

#include "standins/fleet_standin.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr Duration kLongestWatch{30'000};
constexpr Duration kEventPause{3};
constexpr std::string_view kModel = "clerk";
constexpr std::string_view kOrders = "order-desk";
constexpr std::string_view kEngines = "answers";

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

FleetStandin::FleetStandin(HttpLoop& loop, const FleetOptions& options, const Endpoint& listen)
    : options_(options), store_(loop) {
  for (std::uint32_t i = 0; i < options_.plain_servers; ++i) {
    add_member("orders-" + std::to_string(i), false);
  }
  for (std::uint32_t i = 0; i < options_.engines; ++i) {
    add_member("engine-" + std::to_string(i), true);
  }
  for (const auto& member : members_) {
    register_member(*member);
  }
  write_config();
  add_store_routes();
  store_.start({.listen = listen});
}

void FleetStandin::add_store_routes() {
  store_.set_intercept(
      [this](const StandinRequest& request) { return refuse_while_down(request); });
  store_.route("GET", "/objects/{}", [this](const auto& request) { list_or_watch(request); });
  store_.route("POST", "/objects/{}", [this](const auto& request) { create(request); });
  store_.route("GET", "/objects/{}/{}", [this](const auto& request) {
    const Json found = object(request.captures[0], request.captures[1]);
    store_.reply_json(request.exchange, found.is_null() ? 404 : 200, found);
  });
  store_.route("PUT", "/objects/{}/{}", [this](const auto& request) { replace(request); });
  store_.route("DELETE", "/objects/{}/{}", [this](const auto& request) { remove(request); });
  store_.route("GET", "/runs", [this](const auto& request) {
    store_.reply_json(request.exchange, 200, Json(runs_));
  });
}

bool FleetStandin::refuse_while_down(const StandinRequest& request) {
  if (!request.path.starts_with("/objects")) {
    return false;
  }
  if (store_.fault_flag("store_silent")) {
    return true;
  }
  if (!store_.fault_flag("store_down")) {
    return false;
  }
  store_.reply_json(request.exchange, 503, {{"error", "down"}});
  return true;
}

void FleetStandin::add_member(const std::string& id, bool engine) {
  auto member = std::make_unique<Member>();
  member->id = id;
  member->engine = engine;
  member->server = std::make_unique<StandinServer>(store_.loop());
  Member& added = *member;
  added.server->route("GET", "/report", [&added](const auto& request) {
    added.server->reply_json(request.exchange, 200,
                             {{"stage", "both"},
                              {"models", {{{"name", kModel}, {"version", added.weight_version}}}},
                              {"busy", false},
                              {"seq", added.commands}});
  });
  added.server->route("POST", "/order",
                      [this, &added](const auto& request) { load_weights(added, request); });
  added.server->route("GET", "/kv-events", [&added](const auto& request) {
    added.server->reply_json(
        request.exchange, 200,
        {{"epoch", 1}, {"next", 0}, {"lost", false}, {"events", Json::array()}});
  });
  added.server->route("*", "/{*}", [this, &added](const auto& request) { serve(added, request); });
  added.server->start({.listen = {"127.0.0.1", 0}});
  members_.push_back(std::move(member));
}

void FleetStandin::register_member(const Member& member) {
  Json entry = {{"service", member.engine ? kEngines : kOrders},
                {"address", "127.0.0.1:" + std::to_string(member.server->port())},
                {"zone", "a"},
                {"version", "v1"},
                {"slots", member.engine ? 64 : 6},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"seq", member.commands},
                {"born", 1}};
  if (member.engine) {
    entry["models"] = {{{"name", kModel}, {"version", member.weight_version}}};
  }
  put("servers", member.id, std::move(entry));
}

void FleetStandin::write_config() {
  put("config", "main",
      {{"version", 1},
       {"routes",
        {route("orders", "unsafe", kOrders), route("lookups", "safe", kOrders),
         route("prompts", "streaming", kEngines), route("chats", "streaming", kEngines)}},
       {"services",
        {{{"name", kOrders}, {"max_conns", 200}, {"cold_per_s", 0.0}},
         {{"name", kEngines},
          {"max_conns", 200},
          {"cold_per_s", 0.0},
          {"engine", {{"slots", 64}, {"kv_capacity", 70'000}}}}}},
       {"limits",
        {{"max_header_bytes", 16'384},
         {"max_body_bytes", 100'000},
         {"header_timeout_ms", 3000},
         {"idle_timeout_ms", 15'000}}},
       {"tenants", {{{"name", "acme"}, {"api_keys", {"key-1"}}}}}});
}

nlohmann::json FleetStandin::object(const std::string& kind, const std::string& name) const {
  const auto of_kind = objects_.find(kind);
  if (of_kind == objects_.end() || !of_kind->second.contains(name)) {
    return nullptr;
  }
  const Object& found = of_kind->second.at(name);
  return {{"metadata",
           {{"name", name},
            {"revision", found.revision},
            {"created", 1},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"spec", found.spec},
          {"status", nullptr}};
}

void FleetStandin::put(const std::string& kind, const std::string& name, Json spec) {
  objects_[kind][name] = {.revision = ++revision_, .spec = std::move(spec)};
  events_.push_back({revision_, kind, name, false, object(kind, name)});
  notify(kind);
}

void FleetStandin::notify(const std::string& kind) {
  const auto split = std::stable_partition(waiters_.begin(), waiters_.end(),
                                           [&](const Waiter& w) { return w.kind != kind; });
  const std::vector<Waiter> due(split, waiters_.end());
  waiters_.erase(split, waiters_.end());
  for (const Waiter& waiter : due) {
    answer_watch(waiter);
  }
}

void FleetStandin::answer_watch(const Waiter& waiter) {
  Json list = Json::array();
  for (const Event& event : events_) {
    if (event.kind == waiter.kind && event.revision > waiter.revision) {
      list.push_back({{"object", event.object}, {"removed", event.removed}});
    }
  }
  store_.reply_json(waiter.exchange, 200, {{"events", list}, {"current_rev", revision_}});
}

void FleetStandin::list_or_watch(const StandinRequest& request) {
  const std::string& kind = request.captures[0];
  if (request.query.contains("watch")) {
    const Waiter waiter{request.exchange, kind, request.query_number("watch", 0)};
    const bool due = std::any_of(events_.begin(), events_.end(), [&](const Event& event) {
      return event.kind == kind && event.revision > waiter.revision;
    });
    if (due) {
      answer_watch(waiter);
      return;
    }
    waiters_.push_back(waiter);
    const Duration wait{static_cast<std::int64_t>(
        request.query_number("wait_ms", static_cast<std::uint64_t>(kLongestWatch.ms)))};
    store_.run_after(wait, [this, exchange = request.exchange] {
      const auto found =
          std::find_if(waiters_.begin(), waiters_.end(),
                       [exchange](const Waiter& w) { return w.exchange == exchange; });
      if (found != waiters_.end()) {
        const Waiter expired = *found;
        waiters_.erase(found);
        answer_watch(expired);
      }
    });
    return;
  }
  Json items = Json::array();
  for (const auto& [name, found] : objects_[kind]) {
    items.push_back(object(kind, name));
  }
  store_.reply_json(request.exchange, 200,
                    {{"items", items}, {"has_more", false}, {"current_rev", revision_}});
}

void FleetStandin::create(const StandinRequest& request) {
  const Json body = request.json();
  const std::string& kind = request.captures[0];
  if (!body.is_object() || !body.contains("metadata")) {
    store_.reply_json(request.exchange, 400, {{"error", "no metadata"}});
    return;
  }
  const std::string name = body["metadata"].value("name", "");
  const Json existing = object(kind, name);
  if (!existing.is_null()) {
    store_.reply_json(request.exchange, 409, existing);
    return;
  }
  put(kind, name, body.value("spec", Json()));
  store_.reply_json(request.exchange, 200, object(kind, name));
}

void FleetStandin::replace(const StandinRequest& request) {
  const Json body = request.json();
  const std::string& kind = request.captures[0];
  const std::string& name = request.captures[1];
  const Json existing = object(kind, name);
  if (existing.is_null() || !body.is_object()) {
    store_.reply_json(request.exchange, existing.is_null() ? 404 : 400, Json::object());
    return;
  }
  const Json metadata = body.value("metadata", Json::object());
  if (metadata.contains("revision") && metadata["revision"] != existing["metadata"]["revision"]) {
    store_.reply_json(request.exchange, 409, existing);
    return;
  }
  if (body.value("spec", Json()) != existing["spec"]) {
    put(kind, name, body.value("spec", Json()));
  }
  store_.reply_json(request.exchange, 200, object(kind, name));
}

void FleetStandin::remove(const StandinRequest& request) {
  const std::string& kind = request.captures[0];
  const std::string& name = request.captures[1];
  const Json existing = object(kind, name);
  if (existing.is_null()) {
    store_.reply_json(request.exchange, 404, Json::object());
    return;
  }
  objects_[kind].erase(name);
  events_.push_back({++revision_, kind, name, true, existing});
  events_.back().object["metadata"]["revision"] = revision_;
  notify(kind);
  store_.reply_json(request.exchange, 200, existing);
}

void FleetStandin::load_weights(Member& member, const StandinRequest& request) {
  const Json body = request.json();
  if (!body.is_object() || body.value("expect", member.commands) != member.commands) {
    member.server->reply_json(request.exchange, 409, Json::object());
    return;
  }
  ++member.commands;
  store_.count("loads");
  member.weight_version = body.value("version", member.weight_version);
  member.server->reply_json(request.exchange, 202, Json::object());
  register_member(member);
}

void FleetStandin::serve(Member& member, const StandinRequest& request) {
  const std::string id = header(request, "request-id");
  const std::string expected = header(request, "expect-instance");
  if (!expected.empty() && expected != member.id) {
    member.server->http().respond(request.exchange, 421,
                                  {{"request-id", id}, {"instance-id", member.id}}, "");
    return;
  }
  if (store_.take_fault("refuse")) {
    member.server->http().respond(request.exchange, 503,
                                  {{"request-id", id}, {"not-executed", "1"}}, "");
    return;
  }
  const Duration delay{static_cast<std::int64_t>(store_.fault_number("delay_ms"))};
  if (delay <= Duration{0}) {
    run(member, request);
  } else {
    member.server->run_after(delay, [this, &member, request] { run(member, request); });
  }
}

void FleetStandin::run(Member& member, const StandinRequest& request) {
  const std::string id = header(request, "request-id");
  ++runs_[id];
  if (store_.take_fault("lose_answers")) {
    member.server->http().abort(request.exchange);
    return;
  }
  const std::vector<HttpHeader> headers = {{"request-id", id}, {"server-seal", "seal-" + id}};
  if (!member.engine) {
    member.server->http().respond(request.exchange, 200, headers,
                                  "answer to " + id + " " + request.http.body);
    return;
  }
  std::vector<HttpHeader> stream_headers = headers;
  stream_headers.push_back({"content-type", "text/event-stream"});
  member.server->http().start_stream(request.exchange, 200, stream_headers);
  const std::string last = header(request, "last-event-id");
  const std::uint64_t next = last.empty() ? 1 : std::stoull(last) + 1;
  const std::uint64_t cut_at = store_.take_fault("cut_streams") ? options_.events / 2 : 0;
  stream(member, request.exchange, id, next, cut_at);
}

void FleetStandin::stream(Member& member,
                          ExchangeId exchange,
                          const std::string& id,
                          std::uint64_t next,
                          std::uint64_t cut_at) {
  HttpServer& http = member.server->http();
  const std::string event =
      "id: " + std::to_string(next) + "\ndata: " + id + "-" + std::to_string(next) + "\n\n";
  if (next == cut_at) {
    http.write(exchange, event.substr(0, event.size() / 2));
    member.server->run_after(kEventPause, [&http, exchange] { http.abort(exchange); });
    return;
  }
  http.write(exchange, event);
  if (next >= options_.events) {
    http.end(exchange);
    return;
  }
  member.server->run_after(kEventPause, [this, &member, exchange, id, next, cut_at] {
    stream(member, exchange, id, next + 1, cut_at);
  });
}

void add_fleet_options(CLI::App& command, FleetOptions& options) {
  command.add_option("--plain-servers", options.plain_servers, "servers of the plain service");
  command.add_option("--engines", options.engines, "model engines");
  command.add_option("--events", options.events, "events of each stream");
}

}  // namespace bluebellstep
