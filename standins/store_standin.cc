// HTTP handlers, injected faults and timers of the cache store stand-in.

#include "standins/store_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace bluebellstep::standins {
namespace {

using Json = nlohmann::json;

// Resolution of timers. A delay of 0 would run the task inside the current call.
constexpr Duration kMinDelay = 1_ms;

std::optional<StoreTier> parse_tier(std::string_view name) {
  if (name == "memory") {
    return StoreTier::kMemory;
  }
  return name == "disk" ? std::optional(StoreTier::kDisk) : std::nullopt;
}

Json to_json(const StoreTierStatus& status) {
  return {{"used", status.used},
          {"limit", status.limit},
          {"link_bytes_per_s", status.link_bytes_per_s},
          {"queued_bytes", status.queued_bytes}};
}

}  // namespace

StoreStandin::StoreStandin(HttpLoop& loop, StoreOptions options, Endpoint listen)
    : model_(options, clock_.now()), server_(loop) {
  server_.route("*", "/blocks/{}", [this](const StandinRequest& request) {
    handle_block(request);
    pump();
  });
  server_.route("GET", "/status", [this](const StandinRequest& request) {
    report_status(request);
    pump();
  });
  server_.set_on_faults([this](const Json& faults) { set_faults(faults); });
  publish_counters();
  HttpServerOptions server_options;
  server_options.listen = std::move(listen);
  server_.start(std::move(server_options));
}

void StoreStandin::handle_block(const StandinRequest& request) {
  const auto tier = parse_tier(request.query_text("tier"));
  if (!tier) {
    server_.reply_error(request.exchange, 400, "unknown_tier");
    return;
  }
  const std::string& key = request.captures[0];
  const Instant now = clock_.now();
  if (request.http.method == "PUT") {
    calls_[model_.put(*tier, key, request.http.body, now)] = request.exchange;
  } else if (request.http.method == "GET") {
    calls_[model_.get(*tier, key, now)] = request.exchange;
  } else if (request.http.method == "DELETE") {
    calls_[model_.remove(*tier, key, now)] = request.exchange;
  } else {
    server_.reply_error(request.exchange, 405, "bad_method");
  }
}

void StoreStandin::report_status(const StandinRequest& request) {
  const Instant now = clock_.now();
  const auto memory = model_.status(StoreTier::kMemory, now);
  const auto disk = model_.status(StoreTier::kDisk, now);
  if (memory && disk) {
    server_.reply_json(request.exchange, 200,
                       {{"memory", to_json(*memory)}, {"disk", to_json(*disk)}});
  } else {
    server_.http().abort(request.exchange);
  }
}

void StoreStandin::set_faults(const Json& /*faults*/) {
  const double factor = server_.fault_number("link_factor", 1);
  model_.set_faults({.slowdown_factor = factor > 0 ? factor : 1,
                     .full = server_.fault_flag("full"),
                     .down = server_.fault_flag("down"),
                     .partial_writes = server_.fault_flag("partial_writes"),
                     .corrupt_reads = server_.fault_flag("corrupt_reads"),
                     .wrong_block = server_.fault_flag("wrong_block")},
                    clock_.now());
  pump();
}

void StoreStandin::answer(const StoreResult& result) {
  const auto found = calls_.find(result.call);
  if (found == calls_.end()) {
    return;
  }
  const ExchangeId exchange = found->second;
  calls_.erase(found);
  switch (result.status) {
    case StoreStatus::kOk:
      server_.http().respond(exchange, 200, {{"content-type", "application/octet-stream"}},
                             result.bytes);
      return;
    case StoreStatus::kMissing:
      server_.reply_error(exchange, 404, "missing");
      return;
    case StoreStatus::kFull:
      server_.reply_error(exchange, 507, "full");
      return;
    case StoreStatus::kBroken:
      server_.http().abort(exchange);
      return;
  }
}

void StoreStandin::pump() {
  model_.advance(clock_.now());
  for (const StoreResult& result : model_.take_results()) {
    answer(result);
  }
  publish_counters();
  schedule_pump();
}

void StoreStandin::schedule_pump() {
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

void StoreStandin::publish_counters() {
  const StoreCounters& counters = model_.counters();
  const auto set = [this](const char* name, std::uint64_t value) {
    server_.set_counter(name, static_cast<std::int64_t>(value));
  };
  set("puts", counters.puts);
  set("gets", counters.gets);
  set("deletes", counters.deletes);
  set("misses", counters.misses);
  set("full", counters.full);
  set("broken", counters.broken);
  set("bytes_in", counters.bytes_in);
  set("bytes_out", counters.bytes_out);
}

}  // namespace bluebellstep::standins
