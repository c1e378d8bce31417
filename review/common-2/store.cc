// Calls of the store, as PROTOCOL.md describes them.

#include "store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace review {
namespace {

using Json = Store::Json;

std::string query_value(const std::string& query, const std::string& name) {
  std::size_t at = query.find(name + "=");
  if (at == std::string::npos) {
    return {};
  }
  at += name.size() + 1;
  return query.substr(at, query.find('&', at) - at);
}

std::string json_response(int status, const Json& body) {
  return encode_response(status, {{"content-type", "application/json"}}, body.dump());
}

Json route(const std::string& name, const std::string& kind, const std::string& service) {
  const bool streaming = kind == "streaming";
  return {{"name", name},
          {"host", "shop.example"},
          {"path_prefix", "/" + name + "/"},
          {"kind", kind},
          {"timeout_ms", streaming ? 8000 : 3000},
          {"goal_ms", streaming ? 600 : 300},
          {"gap_target_ms", 300},
          {"priority", 1},
          {"service", service},
          {"max_attempts", kind == "unsafe" ? 1 : 2},
          {"public", false},
          {"sticky", streaming},
          {"resumable", streaming}};
}

}  // namespace

Store::Store() {
  const int fd = listen_on(port_);
  accept_on_thread(fd, [this](int connection) { serve(connection); });
}

void Store::serve(int fd) {
  Connection connection(fd);
  while (const auto request = connection.read_request(60'000)) {
    if (!connection.write(respond(*request))) {
      return;
    }
  }
}

std::string Store::respond(const Message& request) {
  const std::size_t mark = request.target.find('?');
  const std::string path = request.target.substr(0, mark);
  const std::string query =
      mark == std::string::npos ? std::string() : request.target.substr(mark + 1);
  const std::string prefix = "/objects/";
  if (path.compare(0, prefix.size(), prefix) != 0) {
    return json_response(404, Json::object());
  }
  const std::string rest = path.substr(prefix.size());
  const std::size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
  if (request.method == "GET" && name.empty()) {
    return list_or_watch(kind, query);
  }
  if (request.method == "POST" || request.method == "PUT") {
    return write(request, kind, name);
  }
  const std::lock_guard lock(mutex_);
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end()) {
    return json_response(404, Json::object());
  }
  const Json object = to_json(name, found->second);
  if (request.method == "DELETE") {
    const std::string expected = query_value(query, "revision");
    if (!expected.empty() &&
        std::strtoull(expected.c_str(), nullptr, 10) != found->second.revision) {
      return json_response(409, object);
    }
    remove_locked(kind, name);
  }
  return json_response(200, object);
}

std::string Store::list_or_watch(const std::string& kind, const std::string& query) {
  std::unique_lock lock(mutex_);
  const std::string watch = query_value(query, "watch");
  if (watch.empty()) {
    Json items = Json::array();
    for (const auto& [name, object] : objects_[kind]) {
      items.push_back(to_json(name, object));
    }
    return json_response(200, {{"items", items}, {"has_more", false}, {"current_rev", revision_}});
  }
  const std::uint64_t from = std::strtoull(watch.c_str(), nullptr, 10);
  const std::string wait = query_value(query, "wait_ms");
  const auto is_due = [&] {
    return std::any_of(events_.begin(), events_.end(), [&](const Event& event) {
      return event.kind == kind && event.revision > from;
    });
  };
  changed_.wait_for(lock, std::chrono::milliseconds(std::atoi(wait.c_str())), is_due);
  Json events = Json::array();
  for (const Event& event : events_) {
    if (event.kind == kind && event.revision > from) {
      events.push_back({{"object", event.object}, {"removed", event.removed}});
    }
  }
  return json_response(200, {{"events", events}, {"current_rev", revision_}});
}

std::string Store::write(const Message& request,
                         const std::string& kind,
                         const std::string& path_name) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return json_response(400, Json::object());
  }
  const Json metadata = body.value("metadata", Json::object());
  const std::string name = path_name.empty() ? metadata.value("name", "") : path_name;
  const std::lock_guard lock(mutex_);
  const auto found = objects_[kind].find(name);
  const bool create = request.method == "POST";
  if (create != (found == objects_[kind].end())) {
    return create ? json_response(409, to_json(name, found->second))
                  : json_response(404, Json::object());
  }
  if (!create && metadata.contains("revision") && metadata["revision"] != found->second.revision) {
    return json_response(409, to_json(name, found->second));
  }
  put_locked(kind, name, body.value("spec", Json()));
  return json_response(200, to_json(name, objects_[kind][name]));
}

Json Store::to_json(const std::string& name, const Object& object) const {
  return {{"metadata",
           {{"name", name},
            {"revision", object.revision},
            {"created", object.created},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"spec", object.spec},
          {"status", object.status}};
}

std::uint64_t Store::put(const std::string& kind, const std::string& name, const Json& spec) {
  const std::lock_guard lock(mutex_);
  return put_locked(kind, name, spec);
}

std::uint64_t Store::remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  return remove_locked(kind, name);
}

std::uint64_t Store::put_locked(const std::string& kind,
                                const std::string& name,
                                const Json& spec) {
  Object& object = objects_[kind][name];
  if (object.revision > 0 && object.spec == spec) {
    return revision_;
  }
  object.revision = ++revision_;
  object.created = object.created == 0 ? revision_ : object.created;
  object.spec = spec;
  events_.push_back({revision_, kind, to_json(name, object), false});
  changed_.notify_all();
  return revision_;
}

std::uint64_t Store::remove_locked(const std::string& kind, const std::string& name) {
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end()) {
    return revision_;
  }
  Object removed = found->second;
  objects_[kind].erase(found);
  removed.revision = ++revision_;
  events_.push_back({revision_, kind, to_json(name, removed), true});
  changed_.notify_all();
  return revision_;
}

Json small_config(int version) {
  return {{"version", version},
          {"routes",
           {route("orders", "unsafe", "desk"), route("looks", "safe", "desk"),
            route("prompts", "streaming", "answers")}},
          {"services",
           {{{"name", "desk"}, {"health_path", "/health"}, {"max_conns", 110}},
            {{"name", "answers"},
             {"health_path", "/health"},
             {"max_conns", 370},
             {"engine", {{"slots", 64}, {"kv_capacity", 74'208}, {"kv_token_bytes", 18'432}}}}}},
          {"limits",
           {{"max_header_bytes", 16'384},
            {"max_body_bytes", 1'048'576},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15'000}}},
          {"tenants",
           {{{"name", "acme"}, {"api_keys", {"key-1"}}},
            {{"name", "other"}, {"api_keys", {"key-2"}}}}}};
}

Json server_entry(const std::string& service,
                  int port,
                  const std::string& zone,
                  const std::string& state) {
  return {{"service", service}, {"address", "127.0.0.1:" + std::to_string(port)},
          {"zone", zone},       {"version", "1"},
          {"slots", 6},         {"state", state},
          {"cold_left_ms", 0},  {"seq", 1}};
}

}  // namespace review
