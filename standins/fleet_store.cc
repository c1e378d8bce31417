// HTTP handlers of the metadata store, and its restore from a copy.

#include "standins/fleet_store.h"

#include <algorithm>

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr Duration kDefaultWatchWait{30'000};
// Servers write again what a restored store has lost within about 2 s.
constexpr std::uint64_t kDefaultRewriteMs = 1500;
constexpr std::string_view kObjectsPath = "/objects/";

Duration duration_field(const Json& body, const char* name, std::uint64_t fallback) {
  return {static_cast<std::int64_t>(body.value(name, fallback))};
}

}  // namespace

FleetStore::FleetStore(HttpLoop& loop, StatusCallback on_status)
    : on_status_(std::move(on_status)), server_(loop) {
  add_routes();
  state_era();
}

void FleetStore::add_routes() {
  server_.set_interceptor([this](const StandinRequest& request) { return apply_faults(request); });
  server_.set_on_faults([this](const Json&) { state_era(); });
  server_.route("GET", "/objects/{}", [this](const auto& request) { list_or_watch(request); });
  server_.route("POST", "/objects/{}", [this](const auto& request) { create(request); });
  server_.route("GET", "/objects/{}/{}", [this](const auto& request) {
    const Json found = object(request.captures[0], request.captures[1]);
    server_.reply_json(request.exchange, found.is_null() ? 404 : 200, found);
  });
  server_.route("PUT", "/objects/{}/{}", [this](const auto& request) { replace(request); });
  server_.route("DELETE", "/objects/{}/{}", [this](const auto& request) { remove(request); });
  server_.route("PUT", "/objects/{}/{}/status",
                [this](const auto& request) { write_status(request); });
  server_.route("POST", "/copy", [this](const auto& request) {
    copy_ = content_;
    server_.reply_json(request.exchange, 200, Json::object());
  });
  server_.route("POST", "/restore", [this](const auto& request) { restore(request); });
}

bool FleetStore::apply_faults(const StandinRequest& request) {
  if (!request.path.starts_with(kObjectsPath)) {
    return false;
  }
  count_call(request);
  if (server_.fault_flag("store_silent") || (away_ && silent_)) {
    return true;
  }
  if (!server_.fault_flag("store_down") && !away_) {
    return false;
  }
  server_.reply_json(request.exchange, 503, {{"error", "down"}});
  return true;
}

void FleetStore::count_call(const StandinRequest& request) {
  const std::string_view rest = std::string_view(request.path).substr(kObjectsPath.size());
  server_.count("calls_" + std::string(rest.substr(0, rest.find('/'))));
}

void FleetStore::state_era() {
  server_.set_extra_headers(server_.fault_flag("no_era")
                                ? std::vector<HttpHeader>()
                                : std::vector<HttpHeader>{{"store-era", std::to_string(era_)}});
}

void FleetStore::restore(const StandinRequest& request) {
  const Json body = request.json();
  if (!body.is_object() || away_) {
    server_.reply_json(request.exchange, away_ ? 409 : 400, Json::object());
    return;
  }
  away_ = true;
  silent_ = body.value("silent", false);
  for (const PendingWatch& watch : std::exchange(pending_watches_, {})) {
    server_.reply_json(watch.exchange, 503, {{"error", "down"}});
  }
  server_.reply_json(request.exchange, 202, Json::object());
  const Duration rewrite_after = duration_field(body, "rewrite_ms", kDefaultRewriteMs);
  server_.run_after(duration_field(body, "down_ms", 0), [this, rewrite_after] {
    content_ = copy_;
    ++era_;
    away_ = false;
    state_era();
    server_.count("restores");
    server_.run_after(rewrite_after, [this] { rewrite(); });
  });
}

void FleetStore::rewrite() {
  const auto last_written = written_;
  for (const auto& [key, spec] : last_written) {
    const auto& [kind, name] = key;
    const Json existing = object(kind, name);
    if (stopped_writers_.contains(key) || (existing.is_null() && !spec) ||
        (spec && !existing.is_null() && existing["spec"] == *spec)) {
      continue;
    }
    if (spec) {
      write(kind, name, *spec);
    } else {
      remove(kind, name);
    }
  }
}

void FleetStore::write_status(const StandinRequest& request) {
  const Json body = request.json();
  const std::string& kind = request.captures[0];
  const std::string& name = request.captures[1];
  const Json existing = object(kind, name);
  if (existing.is_null() || !body.is_object()) {
    server_.reply_json(request.exchange, existing.is_null() ? 404 : 400, Json::object());
    return;
  }
  if (body.value("metadata", Json::object()).value("revision", std::uint64_t{0}) !=
      existing["metadata"]["revision"]) {
    server_.reply_json(request.exchange, 409, existing);
    return;
  }
  const Json status = body.value("status", Json());
  if (status != existing["status"]) {
    server_.count("status_writes");
    content_.objects[kind][name].status = status;
    write(kind, name, existing["spec"]);
    on_status_(kind, name, status);
  }
  server_.reply_json(request.exchange, 200, object(kind, name));
}

Json FleetStore::object(const std::string& kind, const std::string& name) const {
  const auto objects_of_kind = content_.objects.find(kind);
  if (objects_of_kind == content_.objects.end() || !objects_of_kind->second.contains(name)) {
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

void FleetStore::write(const std::string& kind, const std::string& name, Json spec) {
  if (!kind.starts_with(kGatewayKinds)) {
    written_[{kind, name}] = spec;
  }
  Object& written = content_.objects[kind][name];
  written.revision = ++content_.revision;
  written.spec = std::move(spec);
  written.created = written.created == 0 ? content_.revision : written.created;
  content_.events.push_back({content_.revision, kind, name, false, object(kind, name)});
  complete_watches(kind);
}

void FleetStore::complete_watches(const std::string& kind) {
  const auto first_due =
      std::stable_partition(pending_watches_.begin(), pending_watches_.end(),
                            [&](const PendingWatch& w) { return w.kind != kind; });
  const std::vector<PendingWatch> due(first_due, pending_watches_.end());
  pending_watches_.erase(first_due, pending_watches_.end());
  for (const PendingWatch& watch : due) {
    answer_watch(watch);
  }
}

void FleetStore::answer_watch(const PendingWatch& watch) {
  Json list = Json::array();
  for (const ChangeEvent& event : content_.events) {
    if (event.kind == watch.kind && event.revision > watch.revision) {
      list.push_back({{"object", event.object}, {"removed", event.removed}});
    }
  }
  server_.reply_json(watch.exchange, 200, {{"events", list}, {"current_rev", content_.revision}});
}

void FleetStore::list_or_watch(const StandinRequest& request) {
  const std::string& kind = request.captures[0];
  if (request.query.contains("watch")) {
    const PendingWatch watch{request.exchange, kind, request.query_number("watch", 0)};
    if (watch.revision > content_.revision) {
      server_.reply_json(request.exchange, 410, {{"error", "history is gone"}});
      return;
    }
    const bool due =
        std::any_of(content_.events.begin(), content_.events.end(), [&](const ChangeEvent& event) {
          return event.kind == kind && event.revision > watch.revision;
        });
    if (due) {
      answer_watch(watch);
      return;
    }
    pending_watches_.push_back(watch);
    const Duration wait{static_cast<std::int64_t>(
        request.query_number("wait_ms", static_cast<std::uint64_t>(kDefaultWatchWait.ms)))};
    server_.run_after(wait, [this, exchange = request.exchange] { expire_watch(exchange); });
    return;
  }
  Json items = Json::array();
  for (const auto& [name, found] : content_.objects[kind]) {
    items.push_back(object(kind, name));
  }
  server_.reply_json(request.exchange, 200,
                     {{"items", items}, {"has_more", false}, {"current_rev", content_.revision}});
}

void FleetStore::expire_watch(ExchangeId exchange) {
  const auto found =
      std::find_if(pending_watches_.begin(), pending_watches_.end(),
                   [exchange](const PendingWatch& w) { return w.exchange == exchange; });
  if (found != pending_watches_.end()) {
    const PendingWatch expired = *found;
    pending_watches_.erase(found);
    answer_watch(expired);
  }
}

void FleetStore::create(const StandinRequest& request) {
  const Json body = request.json();
  const std::string& kind = request.captures[0];
  if (!body.is_object() || !body.contains("metadata")) {
    server_.reply_json(request.exchange, 400, {{"error", "no metadata"}});
    return;
  }
  const std::string name = body["metadata"].value("name", "");
  const Json existing = object(kind, name);
  if (!existing.is_null()) {
    server_.reply_json(request.exchange, 409, existing);
    return;
  }
  write(kind, name, body.value("spec", Json()));
  server_.reply_json(request.exchange, 200, object(kind, name));
}

void FleetStore::replace(const StandinRequest& request) {
  const Json body = request.json();
  const std::string& kind = request.captures[0];
  const std::string& name = request.captures[1];
  const Json existing = object(kind, name);
  if (existing.is_null() || !body.is_object()) {
    server_.reply_json(request.exchange, existing.is_null() ? 404 : 400, Json::object());
    return;
  }
  const Json metadata = body.value("metadata", Json::object());
  if (metadata.contains("revision") && metadata["revision"] != existing["metadata"]["revision"]) {
    server_.reply_json(request.exchange, 409, existing);
    return;
  }
  if (body.value("spec", Json()) != existing["spec"]) {
    write(kind, name, body.value("spec", Json()));
  }
  server_.reply_json(request.exchange, 200, object(kind, name));
}

void FleetStore::remove(const StandinRequest& request) {
  const std::string& kind = request.captures[0];
  const std::string& name = request.captures[1];
  const Json existing = object(kind, name);
  if (existing.is_null()) {
    server_.reply_json(request.exchange, 404, Json::object());
    return;
  }
  remove(kind, name);
  server_.reply_json(request.exchange, 200, existing);
}

void FleetStore::remove(const std::string& kind, const std::string& name) {
  const Json existing = object(kind, name);
  if (existing.is_null()) {
    return;
  }
  if (!kind.starts_with(kGatewayKinds)) {
    written_[{kind, name}] = std::nullopt;
  }
  content_.objects[kind].erase(name);
  content_.events.push_back({++content_.revision, kind, name, true, existing});
  content_.events.back().object["metadata"]["revision"] = content_.revision;
  complete_watches(kind);
}

}  // namespace bluebellstep
