// Serves lists, watches and conditional writes as the platform's store does.

#include "tests/support/restorable_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace bluebellstep {
namespace {

std::string object_text(const std::string& name, const RestorableStore::Object& object) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision) +
         R"(,"created":1},"spec":)" + object.spec + "}";
}

// Returns the value of a parameter of the query; empty if there is none.
std::string parameter(const std::string& path, const std::string& name) {
  const std::size_t query = path.find('?');
  const std::size_t start = path.find(name + "=", query);
  if (query == std::string::npos || start == std::string::npos) {
    return {};
  }
  const std::size_t value = start + name.size() + 1;
  return path.substr(value, path.find('&', value) - value);
}

bool contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

}  // namespace

RestorableStore::RestorableStore(HttpLoop& loop)
    : loop_(loop),
      server_(loop,
              {.listen = {"127.0.0.1", 0}},
              {.on_request = [this](ExchangeId exchange, const HttpRequest& request) {
                const std::lock_guard lock(mutex_);
                on_request(exchange, request);
              }}) {}

RestorableStore::~RestorableStore() {
  loop_.run_and_wait([this] { alive_.reset(); });
}

void RestorableStore::put(const std::string& collection,
                          const std::string& name,
                          std::string spec) {
  const std::lock_guard lock(mutex_);
  record({.collection = collection, .name = name, .object = {.spec = std::move(spec)}});
}

void RestorableStore::remove(const std::string& collection, const std::string& name) {
  const std::lock_guard lock(mutex_);
  record({.collection = collection, .name = name, .object = {.spec = "null"}, .removed = true});
}

RestorableStore::Copy RestorableStore::copy() const {
  const std::lock_guard lock(mutex_);
  return state_;
}

void RestorableStore::restore(Copy copy) {
  const std::lock_guard lock(mutex_);
  state_ = std::move(copy);
  era_header_ = std::to_string(++era_);
}

std::uint64_t RestorableStore::revision() const {
  const std::lock_guard lock(mutex_);
  return state_.revision;
}

void RestorableStore::compact() {
  const std::lock_guard lock(mutex_);
  compacted_ = state_.revision;
}

void RestorableStore::drop_watches() {
  const std::lock_guard lock(mutex_);
  for (const Watch& watch : std::exchange(watches_, {})) {
    server_.abort(watch.exchange);
  }
}

void RestorableStore::refuse(std::string part) {
  const std::lock_guard lock(mutex_);
  refused_ = std::move(part);
}

void RestorableStore::hold_answers(std::string call) {
  const std::lock_guard lock(mutex_);
  held_ = std::move(call);
}

void RestorableStore::send_held_answers() {
  const std::lock_guard lock(mutex_);
  held_.clear();
  for (Answer& answer : std::exchange(held_answers_, {})) {
    server_.respond(answer.exchange, answer.status, std::move(answer.headers),
                    std::move(answer.body));
  }
}

std::size_t RestorableStore::held_answers() const {
  const std::lock_guard lock(mutex_);
  return held_answers_.size();
}

void RestorableStore::set_page_size(std::size_t objects) {
  const std::lock_guard lock(mutex_);
  page_size_ = objects;
}

void RestorableStore::set_era_header(std::optional<std::string> value) {
  const std::lock_guard lock(mutex_);
  era_header_ = std::move(value);
}

std::size_t RestorableStore::calls(std::string_view part) const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(calls_.begin(), calls_.end(),
                    [part](const std::string& call) { return contains(call, part); }));
}

std::size_t RestorableStore::watches() const {
  const std::lock_guard lock(mutex_);
  return watches_.size();
}

void RestorableStore::on_request(ExchangeId exchange, const HttpRequest& request) {
  const std::string call = request.method + " " + request.path;
  calls_.push_back(call);
  if (!refused_.empty() && contains(call, refused_)) {
    server_.abort(exchange);
    return;
  }
  holding_now_ = call == held_;
  const std::string path = request.path.substr(0, request.path.find('?'));
  const std::string rest = path.substr(std::string_view("/objects/").size());
  const std::string collection = rest.substr(0, rest.find('/'));
  const std::string after = parameter(request.path, "watch");
  if (request.method != "GET") {
    on_write(exchange, collection, request);
  } else if (!after.empty()) {
    const std::string wait = parameter(request.path, "wait_ms");
    watch({.exchange = exchange, .collection = collection, .after = std::stoull(after)},
          Duration{wait.empty() ? 0 : std::stoll(wait)});
  } else if (collection != rest) {
    const std::string name = rest.substr(collection.size() + 1);
    const auto& objects = state_.objects[collection];
    const auto object = objects.find(name);
    respond(exchange, object == objects.end() ? 404 : 200,
            object == objects.end() ? "{}" : object_text(name, object->second));
  } else {
    respond(exchange, 200, page(collection, parameter(request.path, "after")));
  }
  holding_now_ = false;
}

void RestorableStore::watch(const Watch& watch, Duration wait) {
  if (watch.after > state_.revision || watch.after < compacted_) {
    respond(watch.exchange, 410, "{}");
    return;
  }
  const std::string events = events_after(watch);
  if (!events.empty()) {
    respond(watch.exchange, 200, events);
    return;
  }
  watches_.push_back(watch);
  loop_.post_after(wait, [this, alive = std::weak_ptr<bool>(alive_), exchange = watch.exchange] {
    if (alive.expired()) {
      return;
    }
    const std::lock_guard lock(mutex_);
    const auto expired =
        std::find_if(watches_.begin(), watches_.end(),
                     [exchange](const Watch& candidate) { return candidate.exchange == exchange; });
    if (expired != watches_.end()) {
      watches_.erase(expired);
      respond(exchange, 200,
              R"({"events":[],"current_rev":)" + std::to_string(state_.revision) + "}");
    }
  });
}

void RestorableStore::on_write(ExchangeId exchange,
                               const std::string& collection,
                               const HttpRequest& request) {
  const auto json = nlohmann::json::parse(request.body, nullptr, false);
  if (!json.is_object()) {
    respond(exchange, 400, "{}");
    return;
  }
  const std::string name = json.at("metadata").at("name").get<std::string>();
  const std::uint64_t expected = json.at("metadata").value("revision", std::uint64_t{0});
  const auto& objects = state_.objects[collection];
  const auto object = objects.find(name);
  const std::uint64_t found = object == objects.end() ? 0 : object->second.revision;
  if (found != expected) {
    respond(exchange, found == 0 ? 404 : 409,
            found == 0 ? "{}" : object_text(name, object->second));
    return;
  }
  record({.collection = collection, .name = name, .object = {.spec = json.at("spec").dump()}});
  respond(exchange, found == 0 ? 201 : 200, object_text(name, state_.objects[collection][name]));
}

void RestorableStore::record(Event event) {
  event.object.revision = ++state_.revision;
  auto& objects = state_.objects[event.collection];
  if (event.removed) {
    objects.erase(event.name);
  } else {
    objects[event.name] = event.object;
  }
  state_.events.push_back(event);
  answer_watches(event.collection);
}

void RestorableStore::answer_watches(const std::string& collection) {
  for (const Watch& watch : std::exchange(watches_, {})) {
    const std::string events = watch.collection == collection ? events_after(watch) : "";
    if (events.empty()) {
      watches_.push_back(watch);
    } else {
      respond(watch.exchange, 200, events);
    }
  }
}

std::string RestorableStore::events_after(const Watch& watch) const {
  std::string events;
  for (const Event& event : state_.events) {
    if (event.collection == watch.collection && event.object.revision > watch.after) {
      events += (events.empty() ? "" : ",");
      events += R"({"removed":)" + std::string(event.removed ? "true" : "false") + R"(,"object":)" +
                object_text(event.name, event.object) + "}";
    }
  }
  return events.empty() ? ""
                        : R"({"events":[)" + events + R"(],"current_rev":)" +
                              std::to_string(state_.revision) + "}";
}

std::string RestorableStore::page(const std::string& collection, const std::string& after) const {
  std::string items;
  std::size_t count = 0;
  bool has_more = false;
  const auto objects = state_.objects.find(collection);
  if (objects != state_.objects.end()) {
    for (auto object = objects->second.upper_bound(after); object != objects->second.end();
         ++object) {
      if (++count > page_size_) {
        has_more = true;
        break;
      }
      items += (items.empty() ? "" : ",") + object_text(object->first, object->second);
    }
  }
  return R"({"items":[)" + items + R"(],"has_more":)" + (has_more ? "true" : "false") +
         R"(,"current_rev":)" + std::to_string(state_.revision) + "}";
}

void RestorableStore::respond(ExchangeId exchange, int status, std::string body) {
  Answer answer{.exchange = exchange, .status = status, .body = std::move(body)};
  if (era_header_) {
    answer.headers.push_back({"store-era", *era_header_});
  }
  if (holding_now_) {
    held_answers_.push_back(std::move(answer));
    return;
  }
  server_.respond(answer.exchange, answer.status, std::move(answer.headers),
                  std::move(answer.body));
}

}  // namespace bluebellstep
