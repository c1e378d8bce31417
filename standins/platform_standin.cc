// Versioned objects with conditional writes and watches, and the list of instances.

#include "standins/platform_standin.h"

#include <memory>
#include <utility>

#include "standins/standin_process.h"

namespace bluebellstep {

PlatformStandin::PlatformStandin(HttpLoop& loop, const PlatformStandinOptions& options)
    : server_(loop) {
  add_route("GET", "/objects", &PlatformStandin::list);
  add_route("GET", "/objects/{*}", &PlatformStandin::read);
  add_route("PUT", "/objects/{*}", &PlatformStandin::write);
  add_route("DELETE", "/objects/{*}", &PlatformStandin::remove);
  add_route("GET", "/instances", &PlatformStandin::list_instances);
  add_route("PUT", "/instances/{}", &PlatformStandin::put_instance);
  add_route("DELETE", "/instances/{}", &PlatformStandin::remove_instance);
  server_.set_interceptor([this](const StandinRequest& request) { return intercept(request); });
  server_.set_on_closed([this](ExchangeId exchange) {
    for (auto& [key, watches] : watches_) {
      std::erase_if(watches, [exchange](const Watch& w) { return w.exchange == exchange; });
    }
  });
  server_.set_on_faults([this](const nlohmann::json&) {
    if (server_.fault_flag("down")) {
      abort_watches();
    }
  });
  server_.start({.listen = options.listen, .max_body_bytes = options.max_value_bytes});
}

void PlatformStandin::add_route(const char* method,
                                const char* pattern,
                                void (PlatformStandin::*handle)(const StandinRequest&)) {
  server_.route(method, pattern, [this, handle](const StandinRequest& request) {
    dispatch_after_delay(request, handle);
  });
}

bool PlatformStandin::intercept(const StandinRequest& request) {
  server_.count("calls");
  server_.count(request.http.method == "GET" ? "reads" : "writes");
  if (server_.fault_flag("down")) {
    server_.count("refused");
    server_.http().abort(request.exchange);
    return true;
  }
  return false;
}

void PlatformStandin::dispatch_after_delay(const StandinRequest& request,
                                           void (PlatformStandin::*handle)(const StandinRequest&)) {
  const Duration delay{static_cast<std::int64_t>(server_.fault_number("delay_ms"))};
  if (delay <= Duration{0}) {
    (this->*handle)(request);
    return;
  }
  server_.run_after(delay, [this, request, handle] { (this->*handle)(request); });
}

void PlatformStandin::read(const StandinRequest& request) {
  const std::string& key = request.captures.at(0);
  const auto found = objects_.find(key);
  const std::uint64_t version = found == objects_.end() ? 0 : found->second.version;
  if (request.query.contains("watch_after")) {
    const std::uint64_t after = request.query_number("watch_after", 0);
    server_.count("watches");
    if (version <= after || server_.fault_flag("silent_watches")) {
      start_watch(request, after);
      return;
    }
  }
  reply_object(request.exchange, key);
}

void PlatformStandin::reply_object(ExchangeId exchange, const std::string& key) {
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    server_.reply_error(exchange, 404, "not_found");
    return;
  }
  server_.reply_json(
      exchange, 200,
      {{"key", key}, {"version", found->second.version}, {"value", found->second.value}});
}

void PlatformStandin::start_watch(const StandinRequest& request, std::uint64_t after) {
  const std::string& key = request.captures.at(0);
  const Watch watch{request.exchange, after};
  watches_[key].insert(watch);
  const Duration wait{static_cast<std::int64_t>(request.query_number("wait_ms", 30000))};
  server_.run_after(wait, [this, key, watch] {
    if (!server_.fault_flag("silent_watches") && watches_[key].erase(watch) > 0) {
      server_.http().respond(watch.exchange, 304, {}, "");
    }
  });
}

void PlatformStandin::abort_watches() {
  for (const auto& [key, watches] : std::exchange(watches_, {})) {
    for (const Watch& watch : watches) {
      server_.http().abort(watch.exchange);
    }
  }
}

void PlatformStandin::complete_watches(const std::string& key) {
  const auto found = watches_.find(key);
  if (found == watches_.end() || server_.fault_flag("silent_watches")) {
    return;
  }
  const std::set<Watch> changed_watches = std::exchange(found->second, {});
  watches_.erase(found);
  for (const Watch& watch : changed_watches) {
    reply_object(watch.exchange, key);
  }
}

void PlatformStandin::list(const StandinRequest& request) {
  const std::string prefix = request.query_text("prefix");
  nlohmann::json items = nlohmann::json::array();
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    items.push_back(
        {{"key", it->first}, {"version", it->second.version}, {"value", it->second.value}});
  }
  server_.reply_json(request.exchange, 200,
                     {{"version", last_version_}, {"items", std::move(items)}});
}

bool PlatformStandin::check_expected_version(const StandinRequest& request) {
  const auto found = objects_.find(request.captures.at(0));
  const std::uint64_t version = found == objects_.end() ? 0 : found->second.version;
  if (version == request.query_number("if_version", 0)) {
    return true;
  }
  server_.count("conflicts");
  server_.reply_json(request.exchange, 409,
                     {{"version", version},
                      {"value", found == objects_.end() ? std::string() : found->second.value}});
  return false;
}

void PlatformStandin::write(const StandinRequest& request) {
  if (!check_expected_version(request)) {
    return;
  }
  const std::string& key = request.captures.at(0);
  objects_[key] = {.version = ++last_version_, .value = request.http.body};
  complete_write(request, last_version_);
}

void PlatformStandin::remove(const StandinRequest& request) {
  if (!check_expected_version(request)) {
    return;
  }
  objects_.erase(request.captures.at(0));
  complete_write(request, ++last_version_);
}

void PlatformStandin::complete_write(const StandinRequest& request, std::uint64_t version) {
  complete_watches(request.captures.at(0));
  if (server_.consume_fault("lose_answers")) {
    server_.count("lost_answers");
    server_.http().abort(request.exchange);
    return;
  }
  server_.reply_json(request.exchange, 200, {{"version", version}});
}

void PlatformStandin::list_instances(const StandinRequest& request) {
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [name, row] : instances_) {
    items.push_back(row);
  }
  server_.reply_json(request.exchange, 200,
                     {{"version", instances_version_}, {"items", std::move(items)}});
}

void PlatformStandin::update_instance(const StandinRequest& request, bool is_removal) {
  const std::string name = request.captures.at(0);
  nlohmann::json row = is_removal ? nlohmann::json::object() : request.json();
  if (!row.is_object()) {
    server_.reply_error(request.exchange, 400, "bad_request");
    return;
  }
  row["name"] = name;
  const Duration lag{static_cast<std::int64_t>(server_.fault_number("instance_list_lag_ms"))};
  server_.run_after(lag, [this, name, row, is_removal] {
    ++instances_version_;
    if (is_removal) {
      instances_.erase(name);
    } else {
      instances_[name] = row;
    }
  });
  server_.reply_json(request.exchange, 200, nlohmann::json::object());
}

void add_platform_command(CLI::App& app) {
  CLI::App* command = app.add_subcommand("platform", "object API and list of instances");
  const auto options = std::make_shared<PlatformStandinOptions>();
  add_listen_options(*command, options->listen);
  command->callback([options] {
    HttpLoop loop;
    const PlatformStandin standin(loop, *options);
    serve_until_stopped(standin.port());
  });
}

}  // namespace bluebellstep
