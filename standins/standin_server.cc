// Routing, counters and injected faults of the stand-ins.

#include "standins/standin_server.h"

#include <algorithm>
#include <charconv>
#include <exception>
#include <utility>

namespace bluebellstep {
namespace {

std::vector<std::string> split_path(std::string_view path) {
  std::vector<std::string> segments;
  std::size_t start = path.starts_with('/') ? 1 : 0;
  while (start <= path.size()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    segments.emplace_back(path.substr(start, end - start));
    start = end + 1;
  }
  return segments;
}

std::string join_segments_from(const std::vector<std::string>& segments, std::size_t first) {
  std::string joined;
  for (std::size_t i = first; i < segments.size(); ++i) {
    if (i > first) {
      joined += '/';
    }
    joined += segments[i];
  }
  return joined;
}

bool match_pattern(const std::vector<std::string>& pattern,
                   const std::vector<std::string>& segments,
                   std::vector<std::string>& captures) {
  captures.clear();
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == "{*}") {
      captures.push_back(
          decode_percent(join_segments_from(segments, std::min(i, segments.size()))));
      return true;
    }
    if (i >= segments.size()) {
      return false;
    }
    if (pattern[i] == "{}") {
      captures.push_back(decode_percent(segments[i]));
    } else if (pattern[i] != segments[i]) {
      return false;
    }
  }
  return pattern.size() == segments.size();
}

std::map<std::string, std::string> parse_query(std::string_view query) {
  std::map<std::string, std::string> parameters;
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const std::string_view value =
        equals < pair.size() ? pair.substr(equals + 1) : std::string_view{};
    parameters[decode_percent(pair.substr(0, equals))] = decode_percent(value);
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return parameters;
}

}  // namespace

std::string decode_percent(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr ==
            text.data() + i + 3) {
      decoded += static_cast<char>(value);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string StandinRequest::query_text(const std::string& name, std::string_view fallback) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string(fallback) : found->second;
}

std::uint64_t StandinRequest::query_number(const std::string& name, std::uint64_t fallback) const {
  const std::string text = query_text(name);
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() ? value : fallback;
}

nlohmann::json StandinRequest::json() const {
  return nlohmann::json::parse(http.body, nullptr, /*allow_exceptions=*/false);
}

StandinServer::StandinServer(HttpLoop& loop) : loop_(loop) {}

StandinServer::~StandinServer() {
  loop_.run_and_wait([this] {
    lifetime_token_.reset();
    server_.reset();
  });
}

void StandinServer::route(std::string method, std::string_view pattern, Handler handler) {
  routes_.push_back({std::move(method), split_path(pattern), std::move(handler)});
}

void StandinServer::set_on_closed(std::function<void(ExchangeId)> on_closed) {
  on_closed_ = std::move(on_closed);
}

void StandinServer::set_on_faults(std::function<void(const nlohmann::json&)> on_faults) {
  on_faults_ = std::move(on_faults);
}

void StandinServer::set_interceptor(std::function<bool(const StandinRequest&)> interceptor) {
  interceptor_ = std::move(interceptor);
}

void StandinServer::start(HttpServerOptions options) {
  HttpServer::Listener listener;
  listener.on_request = [this](ExchangeId exchange, HttpRequest http) {
    handle(exchange, std::move(http));
  };
  listener.on_closed = [this](ExchangeId exchange) {
    if (on_closed_) {
      on_closed_(exchange);
    }
  };
  // Runs on the HTTP thread, so that no request is handled before `server_` is set.
  std::exception_ptr error;
  loop_.run_and_wait([&] {
    try {
      server_ = std::make_unique<HttpServer>(loop_, std::move(options), std::move(listener));
    } catch (...) {
      error = std::current_exception();
    }
  });
  if (error) {
    std::rethrow_exception(error);
  }
}

void StandinServer::reply_json(ExchangeId exchange, int status, const nlohmann::json& body) {
  std::vector<HttpHeader> headers = extra_headers_;
  headers.push_back({"content-type", "application/json"});
  server_->respond(exchange, status, std::move(headers), body.dump());
}

void StandinServer::reply_error(ExchangeId exchange,
                                int status,
                                std::string_view code,
                                nlohmann::json fields) {
  fields["code"] = code;
  reply_json(exchange, status, {{"error", std::move(fields)}});
}

void StandinServer::reply_json_after(Duration delay,
                                     ExchangeId exchange,
                                     int status,
                                     nlohmann::json body) {
  run_after(delay, [this, exchange, status, body = std::move(body)] {
    reply_json(exchange, status, body);
  });
}

void StandinServer::run_after(Duration delay, std::function<void()> task) {
  if (delay <= Duration{0}) {
    task();
    return;
  }
  loop_.post_after(delay, [alive = std::weak_ptr<bool>(lifetime_token_), task = std::move(task)] {
    if (!alive.expired()) {
      task();
    }
  });
}

void StandinServer::count(const std::string& name, std::int64_t amount) {
  counters_[name] += amount;
}

void StandinServer::set_counter(const std::string& name, std::int64_t value) {
  counters_[name] = value;
}

bool StandinServer::fault_flag(const std::string& name) const {
  const auto found = faults_.find(name);
  return found != faults_.end() && found->is_boolean() && found->get<bool>();
}

double StandinServer::fault_number(const std::string& name, double fallback) const {
  const auto found = faults_.find(name);
  return found != faults_.end() && found->is_number() ? found->get<double>() : fallback;
}

bool StandinServer::consume_fault(const std::string& name) {
  const double left = fault_number(name);
  if (left < 1) {
    return false;
  }
  faults_[name] = static_cast<std::int64_t>(left) - 1;
  return true;
}

void StandinServer::handle(ExchangeId exchange, HttpRequest http) {
  StandinRequest request{
      .exchange = exchange, .http = std::move(http), .path = {}, .captures = {}, .query = {}};
  const std::string& target = request.http.path;
  const std::size_t query_at = std::min(target.find('?'), target.size());
  request.path = target.substr(0, query_at);
  if (query_at < target.size()) {
    request.query = parse_query(std::string_view(target).substr(query_at + 1));
  }
  if (handle_builtin_path(request)) {
    return;
  }
  if (interceptor_ && interceptor_(request)) {
    return;
  }
  const std::vector<std::string> segments = split_path(request.path);
  for (const Route& route : routes_) {
    if ((route.method == "*" || route.method == request.http.method) &&
        match_pattern(route.segments, segments, request.captures)) {
      route.handler(request);
      return;
    }
  }
  reply_error(exchange, 404, "not_found");
}

bool StandinServer::handle_builtin_path(const StandinRequest& request) {
  if (request.http.method == "GET" && request.path == "/healthz") {
    reply_json(request.exchange, 200, {{"ok", true}});
    return true;
  }
  if (request.http.method == "GET" && request.path == "/counters") {
    reply_json(request.exchange, 200, counters_);
    return true;
  }
  if (request.http.method == "POST" && request.path == "/faults") {
    replace_faults(request);
    return true;
  }
  return false;
}

void StandinServer::replace_faults(const StandinRequest& request) {
  nlohmann::json faults = request.json();
  if (!faults.is_object()) {
    reply_error(request.exchange, 400, "bad_request");
    return;
  }
  faults_ = std::move(faults);
  if (on_faults_) {
    on_faults_(faults_);
  }
  reply_json(request.exchange, 200, faults_);
}

}  // namespace bluebellstep
