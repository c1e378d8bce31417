// HTTP server that all stand-ins use: routing by method and path, JSON responses, counters and
// injected faults.

#ifndef BLUEBELLSTEP_STANDINS_STANDIN_SERVER_H_
#define BLUEBELLSTEP_STANDINS_STANDIN_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/http_loop.h"
#include "http/http_server.h"

namespace bluebellstep {

/** An HTTP request with its parsed path and query string. */
struct StandinRequest {
  ExchangeId exchange;
  HttpRequest http;
  std::string path;                          // Without the query string, percent-encoded.
  std::vector<std::string> captures;         // Decoded path segments at the placeholders.
  std::map<std::string, std::string> query;  // Decoded parameters by name.

  /** Returns the query parameter `name`, or `fallback` if it is missing. */
  std::string query_text(const std::string& name, std::string_view fallback = {}) const;

  /** Returns the query parameter `name` as a number, or `fallback` if it is missing or not a
   * number. */
  std::uint64_t query_number(const std::string& name, std::uint64_t fallback) const;

  /** Returns the parsed body, or a discarded value (`is_discarded()`) if the body is not valid
   * JSON. */
  nlohmann::json json() const;
};

/**
 * HTTP server of a stand-in. Add routes, then call `start`.
 *
 * `GET /healthz`, `GET /counters` and `POST /faults` are handled by the server itself.
 *
 * Handlers run on the HTTP thread. After `start`, all methods except `port` must be called on that
 * thread. A stand-in that accesses its state only in handlers therefore needs no locks.
 */
class StandinServer {
 public:
  using Handler = std::function<void(const StandinRequest&)>;

  explicit StandinServer(HttpLoop& loop);
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  /** Closes all connections. No handler runs after that. Must not be called on the HTTP thread. */
  ~StandinServer();

  /**
   * Calls `handler` for requests with this method ("*" for any) and a path that matches `pattern`.
   * In a pattern, a segment `{}` matches one segment, and a final segment `{*}` matches the rest of
   * the path; both are captured. The first matching route handles the request.
   */
  void route(std::string method, std::string_view pattern, Handler handler);

  /** Sets the callback for a client that disconnects before its response is complete. */
  void set_on_closed(std::function<void(ExchangeId)> on_closed);

  /** Sets the callback that receives the new set of faults on each `POST /faults`. */
  void set_on_faults(std::function<void(const nlohmann::json&)> on_faults);

  /**
   * Sets a callback that runs before routing, but not for the paths that the server handles
   * itself. If it returns true, the request is not routed. Used for faults that affect all
   * requests.
   */
  void set_interceptor(std::function<bool(const StandinRequest&)> interceptor);

  /** Binds the address and starts to serve. Throws `std::system_error` if the address is in use. */
  void start(HttpServerOptions options);

  /** The port on which the server listens. Valid after `start`. */
  std::uint16_t port() const { return server_->port(); }

  /** The underlying server, for responses other than JSON. Valid after `start`. */
  HttpServer& http() { return *server_; }

  HttpLoop& loop() { return loop_; }

  /** Sets headers that all JSON responses have besides the content type. */
  void set_extra_headers(std::vector<HttpHeader> headers) { extra_headers_ = std::move(headers); }

  /** Sends a response with a JSON body. */
  void reply_json(ExchangeId exchange, int status, const nlohmann::json& body);

  /** Sends a response with the body `{"error":{"code":code}}`. `fields` are added to `error`. */
  void reply_error(ExchangeId exchange,
                   int status,
                   std::string_view code,
                   nlohmann::json fields = nlohmann::json::object());

  /** Sends a JSON response after `delay`, unless this object is destroyed before. */
  void reply_json_after(Duration delay, ExchangeId exchange, int status, nlohmann::json body);

  /** Runs `task` on the HTTP thread after `delay`, unless this object is destroyed before. Runs it
   * immediately if `delay` is not above 0. */
  void run_after(Duration delay, std::function<void()> task);

  /** Adds `amount` to the counter `name` of `GET /counters`. */
  void count(const std::string& name, std::int64_t amount = 1);

  /** Sets the counter `name` of `GET /counters`. */
  void set_counter(const std::string& name, std::int64_t value);

  /** The current faults, a JSON object. */
  const nlohmann::json& faults() const { return faults_; }

  /** Returns whether the fault `name` is set to true. */
  bool fault_flag(const std::string& name) const;

  /** The value of the fault `name`, or `fallback` if it is not set to a number. */
  double fault_number(const std::string& name, double fallback = 0) const;

  /** For a fault of the next N requests: decrements N and returns true if N is above 0. */
  bool consume_fault(const std::string& name);

 private:
  struct Route {
    std::string method;
    std::vector<std::string> segments;
    Handler handler;
  };

  void handle(ExchangeId exchange, HttpRequest http);
  bool handle_builtin_path(const StandinRequest& request);
  void replace_faults(const StandinRequest& request);

  HttpLoop& loop_;
  std::vector<Route> routes_;
  std::function<void(ExchangeId)> on_closed_;
  std::function<void(const nlohmann::json&)> on_faults_;
  std::function<bool(const StandinRequest&)> interceptor_;
  std::vector<HttpHeader> extra_headers_;
  std::map<std::string, std::int64_t> counters_;
  nlohmann::json faults_ = nlohmann::json::object();
  std::unique_ptr<HttpServer> server_;
  // Delayed tasks hold a weak reference and run only while this object exists.
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

/** Decodes `%XX` escapes. Invalid escapes stay unchanged. */
std::string decode_percent(std::string_view text);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_STANDIN_SERVER_H_
