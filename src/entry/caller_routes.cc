// Validation of requests and the routes of an entry instance.

#include "entry/caller_routes.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "cache/block_key.h"

namespace bluebellstep {
namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr Duration kNotReadyRetryAfter = {500};

std::string_view query_of(std::string_view path) {
  const auto separator = path.find('?');
  return separator == std::string_view::npos ? std::string_view() : path.substr(separator + 1);
}

// Decodes percent-encoding. A `%` that is not followed by two hexadecimal digits is kept.
std::string decode_percent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const bool is_escape =
        text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr ==
            text.data() + i + 3;
    decoded += is_escape ? static_cast<char>(value) : text[i];
    i += is_escape ? 2 : 0;
  }
  return decoded;
}

// Returns the decoded value of a parameter of a query string; empty if it is missing.
std::string query_parameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const auto end = query.find('&');
    const std::string_view item = query.substr(0, end);
    if (item.size() > name.size() && item.starts_with(name) && item[name.size()] == '=') {
      return decode_percent(item.substr(name.size() + 1));
    }
    query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
  }
  return {};
}

// Returns the key that determines the home of a prompt; nothing for a prompt shorter than one
// block.
std::optional<std::uint64_t> root_key_of(std::string_view prompt, const BlockKey& seed) {
  if (prompt.size() < kBlockTextBytes) {
    return std::nullopt;
  }
  return next_block_key(seed, prompt.substr(0, kBlockTextBytes)).low;
}

std::variant<Duration, Verdict> read_deadline(std::span<const HttpHeader> headers,
                                              Duration max_duration) {
  const auto header = find_header(headers, "x-deadline-ms");
  if (!header.has_value()) {
    return max_duration;
  }
  std::int64_t ms = 0;
  const char* const end = header->data() + header->size();
  const auto [parsed_end, error] = std::from_chars(header->data(), end, ms);
  if (error != std::errc() || parsed_end != end || ms < 1) {
    return Verdict::not_run(Reason::kBadRequest,
                            "header \"x-deadline-ms\" must be a positive number of milliseconds");
  }
  return std::min(Duration{ms}, max_duration);
}

}  // namespace

void respond_verdict(HttpServer& server, ExchangeId exchange, const Verdict& verdict) {
  std::vector<HttpHeader> headers = {{"content-type", "application/json"},
                                     {"x-run-state", std::string(to_string(verdict.run_state()))}};
  if (verdict.retry_after().has_value()) {
    const std::int64_t seconds = (verdict.retry_after()->ms + 999) / 1000;
    headers.push_back({"retry-after", std::to_string(seconds)});
  }
  server.respond(exchange, http_status(verdict), std::move(headers), verdict_document(verdict));
}

CallerRoutes::CallerRoutes(HttpServer& server,
                           ProcessState& state,
                           UpstreamLinks& links,
                           RequestRunner& runner,
                           Metrics& metrics)
    : server_(server),
      links_(links),
      runner_(runner),
      operator_routes_(
          server,
          state,
          metrics,
          {.is_ready = [this] { return ready_; },
           .update_metrics =
               [this](Metrics& out) {
                 out.set("bluebellstep_open_requests",
                         static_cast<double>(runner_.open_requests()));
               },
           .role_status =
               [this] {
                 return "{\"open_requests\":" + std::to_string(runner_.open_requests()) + "}";
               }}) {}

void CallerRoutes::apply_bundle(const Bundle& bundle) {
  bundle_ = std::make_shared<const Bundle>(bundle);
  accounts_ = AccountTable(bundle);
  order_tables_ = OrderTables(bundle);
}

void CallerRoutes::handle(ExchangeId exchange, HttpRequest request) {
  const std::string_view path = path_without_query(request.path);
  if (path == "/v1/completions" && request.method == "POST") {
    handle_completion(exchange, std::move(request));
  } else if (path.starts_with(kServicePrefix)) {
    handle_service(exchange, std::move(request));
  } else if (path == "/v1/models" && request.method == "GET") {
    handle_models(exchange, request);
  } else if (path == "/admin/explain" && request.method == "GET") {
    handle_explain(exchange, query_of(request.path));
  } else if (!operator_routes_.handle(exchange, request)) {
    respond_verdict(server_, exchange,
                    Verdict::not_run(Reason::kUnknownService,
                                     "no such route: " + request.method + " " + std::string(path)));
  }
}

std::variant<RequestSpec, Verdict> CallerRoutes::make_base_spec(ExchangeId exchange,
                                                                const HttpRequest& request) {
  if (bundle_ == nullptr) {
    return Verdict::not_run(Reason::kNoConfiguration, "the entry instance has no configuration yet",
                            kNotReadyRetryAfter);
  }
  auto identity = accounts_.identify(request.headers);
  if (auto* refused = std::get_if<Verdict>(&identity)) {
    return std::move(*refused);
  }
  const auto deadline = read_deadline(request.headers, bundle_->limits.request_deadline);
  if (const auto* refused = std::get_if<Verdict>(&deadline)) {
    return *refused;
  }
  auto& caller = std::get<CallerIdentity>(identity);
  RequestSpec spec;
  spec.exchange = exchange;
  spec.account = std::move(caller.account.name);
  spec.service_class = std::move(caller.service_class);
  spec.priority = caller.account.priority;
  spec.arrived_at = clock_.now();
  spec.deadline = spec.arrived_at + std::get<Duration>(deadline);
  return spec;
}

std::variant<RequestSpec, Verdict> CallerRoutes::make_prompt_spec(ExchangeId exchange,
                                                                  HttpRequest& request) {
  auto base = make_base_spec(exchange, request);
  auto* const spec = std::get_if<RequestSpec>(&base);
  if (spec == nullptr) {
    return base;
  }
  auto parsed = parse_completion_request(request.body);
  if (auto* refused = std::get_if<Verdict>(&parsed)) {
    return std::move(*refused);
  }
  auto& completion = std::get<CompletionRequest>(parsed);
  const BundleModel* const model = find_by_name(bundle_->models, completion.model);
  const auto target = links_.model_target(completion.model);
  if (model == nullptr || !target.has_value()) {
    return Verdict::not_run(Reason::kUnknownModel,
                            "no model \"" + completion.model + "\" is available");
  }
  if (completion.prompt.size() > bundle_->limits.max_prompt_bytes ||
      completion.max_tokens > bundle_->limits.max_tokens) {
    return Verdict::not_run(Reason::kBadRequest, "the prompt or \"max_tokens\" exceeds the limit");
  }
  spec->kind = wire::RequestKind::PROMPT;
  spec->target_name = std::move(completion.model);
  spec->target = *target;
  spec->weight_version = model->weight_version;
  spec->body = std::move(completion.prompt);
  spec->max_tokens = completion.max_tokens;
  // The priority in the request is relative to the account's priority, and only orders requests
  // within the account.
  spec->priority += completion.priority;
  spec->stream = completion.stream;
  spec->root_key =
      root_key_of(spec->body, cache_seed(spec->account, spec->target_name, spec->weight_version));
  return base;
}

void CallerRoutes::handle_completion(ExchangeId exchange, HttpRequest request) {
  auto spec = make_prompt_spec(exchange, request);
  if (const auto* refused = std::get_if<Verdict>(&spec)) {
    respond_verdict(server_, exchange, *refused);
    return;
  }
  runner_.start(std::move(std::get<RequestSpec>(spec)));
}

std::optional<Verdict> CallerRoutes::fill_order_fields(RequestSpec& spec,
                                                       const HttpRequest& request) const {
  const auto header = find_header(request.headers, "idempotency-key");
  if (!header.has_value()) {
    return Verdict::not_run(
        Reason::kBadRequest,
        "a call that is not idempotent requires the header \"idempotency-key\"");
  }
  const auto key = OrderKey::parse(spec.target_name, spec.account, *header);
  if (!key.has_value()) {
    return Verdict::not_run(Reason::kBadRequest,
                            "the idempotency key must be 1 to 255 printable ASCII characters");
  }
  const auto owner = order_tables_.owner(spec.target_name, *key);
  if (!owner.has_value()) {
    // The key may belong to an order that was run before this system was in use.
    return Verdict::may_have_run(
        Reason::kKeyExpired, "the idempotency key is older than the service's first order table");
  }
  spec.kind = wire::RequestKind::ORDER;
  spec.idempotency_key = std::string(*header);
  spec.owner = std::string(*owner);
  return std::nullopt;
}

std::variant<RequestSpec, Verdict> CallerRoutes::make_service_spec(ExchangeId exchange,
                                                                   HttpRequest& request) {
  auto base = make_base_spec(exchange, request);
  auto* const spec = std::get_if<RequestSpec>(&base);
  if (spec == nullptr) {
    return base;
  }
  const std::string_view service_and_path =
      std::string_view(request.path).substr(kServicePrefix.size());
  const auto slash = std::min(service_and_path.find('/'), service_and_path.size());
  spec->target_name = std::string(service_and_path.substr(0, slash));
  spec->path = slash == service_and_path.size() ? "/" : std::string(service_and_path.substr(slash));
  const BundleService* const service = find_by_name(bundle_->services, spec->target_name);
  const auto target = links_.service_target(spec->target_name);
  if (service == nullptr || !target.has_value()) {
    return Verdict::not_run(Reason::kUnknownService,
                            "no service \"" + spec->target_name + "\" is available");
  }
  spec->target = *target;
  spec->method = request.method;
  spec->content_type = std::string(find_header(request.headers, "content-type").value_or(""));
  spec->body = std::move(request.body);
  spec->kind = wire::RequestKind::IDEMPOTENT_CALL;
  if (!service->is_idempotent(path_without_query(spec->path))) {
    if (auto refused = fill_order_fields(*spec, request)) {
      return *std::move(refused);
    }
  }
  return base;
}

void CallerRoutes::handle_service(ExchangeId exchange, HttpRequest request) {
  auto spec = make_service_spec(exchange, request);
  if (const auto* refused = std::get_if<Verdict>(&spec)) {
    respond_verdict(server_, exchange, *refused);
    return;
  }
  runner_.start(std::move(std::get<RequestSpec>(spec)));
}

void CallerRoutes::handle_models(ExchangeId exchange, const HttpRequest& request) {
  const auto spec = make_base_spec(exchange, request);
  if (const auto* refused = std::get_if<Verdict>(&spec)) {
    respond_verdict(server_, exchange, *refused);
    return;
  }
  nlohmann::json document = {{"object", "list"}, {"data", nlohmann::json::array()}};
  for (const BundleModel& model : bundle_->models) {
    document["data"].push_back(
        {{"id", model.name}, {"object", "model"}, {"weight_version", model.weight_version}});
  }
  respond_json(server_, exchange, 200, document.dump() + "\n");
}

void CallerRoutes::handle_explain(ExchangeId exchange, std::string_view query) {
  const std::string model = query_parameter(query, "model");
  const std::string service = query_parameter(query, "service");
  const auto target = model.empty() ? links_.service_target(service) : links_.model_target(model);
  if (!target.has_value() || bundle_ == nullptr) {
    respond_verdict(
        server_, exchange,
        Verdict::not_run(
            Reason::kBadRequest,
            "parameter \"model\" or \"service\" must name an available model or service"));
    return;
  }
  RouteQuery route;
  route.target = *target;
  const std::string account = query_parameter(query, "account");
  const BundleModel* const found = find_by_name(bundle_->models, model);
  if (found != nullptr) {
    route.weight_version = found->weight_version;
    route.root_key = root_key_of(query_parameter(query, "prompt"),
                                 cache_seed(account, model, found->weight_version));
  }
  const auto key = OrderKey::parse(service, account, query_parameter(query, "idempotency_key"));
  const auto owner = key.has_value() ? order_tables_.owner(service, *key) : std::nullopt;
  if (owner.has_value()) {
    route.owner = links_.find(*owner);
  }
  server_.respond(exchange, 200, {{"content-type", "text/plain"}},
                  links_.explain(route, clock_.now()));
}

}  // namespace bluebellstep
