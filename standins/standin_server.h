// What all stand-ins share: routing by method and path, JSON replies, counters and injected faults.

#ifndef BLUEBELLSTEP_STANDINS_STANDIN_SERVER_H_
#define BLUEBELLSTEP_STANDINS_STANDIN_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_loop.h"
#include "http/http_server.h"

namespace bluebellstep {

/** A request together with the parts of its path. */
struct StandinRequest {
  ExchangeId exchange;
  HttpRequest http;
  std::string path;                          // Without the query string, not decoded.
  std::vector<std::string> captures;         // Decoded path parts at the pattern's placeholders.
  std::map<std::string, std::string> query;  // Decoded.

  /** Returns the query parameter `name`, or `fallback` if it is missing. */
  std::string query_text(const std::string& name, std::string_view fallback = {}) const;

  /** Returns the query parameter `name` as a number, or `fallback` if it is missing or not one. */
  std::uint64_t query_number(const std::string& name, std::uint64_t fallback) const;

  /** Returns the body as JSON, or a discarded value (`is_discarded()`) if it is not JSON. */
  nlohmann::json json() const;
};

/**
 * HTTP server of a stand-in. Add routes, then call `start`. Serves `GET /healthz`, `GET /counters`
 * and `POST /faults` itself. Handlers run on the HTTP thread, and all methods but `port` must be
 * called there after `start`; so a stand-in keeps its state on that thread and needs no locks.
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
   * In a pattern, a segment `{}` matches one segment and a final `{*}` the rest of the path; both
   * are captured. The first matching route wins.
   */
  void route(std::string method, std::string_view pattern, Handler handler);

  /** Sets what is called when a caller goes away before its response was complete. */
  void set_on_closed(std::function<void(ExchangeId)> on_closed);

  /** Sets what is called with the new set of faults, after each `POST /faults`. */
  void set_on_faults(std::function<void(const nlohmann::json&)> on_faults);

  /**
   * Sets a check that runs before the routes (not before the server's own paths). It returns true
   * if it has taken care of the request, for faults that refuse everything.
   */
  void set_interceptor(std::function<bool(const StandinRequest&)> interceptor);

  /** Binds and starts to serve. Throws `std::system_error` if the address is not free. */
  void start(HttpServerOptions options);

  /** The port that the server listens on, after `start`. */
  std::uint16_t port() const { return server_->port(); }

  /** The server, for streamed responses. */
  HttpServer& http() { return *server_; }

  HttpLoop& loop() { return loop_; }

  /** Answers with a JSON body. */
  void reply_json(ExchangeId exchange, int status, const nlohmann::json& body);

  /** Answers with `{"error":{"code":code}}` and the given further fields of `error`. */
  void reply_error(ExchangeId exchange,
                   int status,
                   std::string_view code,
                   nlohmann::json fields = nlohmann::json::object());

  /** Answers after `delay`, unless this server is gone by then. */
  void reply_json_after(Duration delay, ExchangeId exchange, int status, nlohmann::json body);

  /** Runs `task` on the HTTP thread after `delay`, unless this server is gone by then. */
  void run_after(Duration delay, std::function<void()> task);

  /** Adds `amount` to the counter `name` of `GET /counters`. */
  void count(const std::string& name, std::int64_t amount = 1);

  /** Sets the counter `name` of `GET /counters`. */
  void set_counter(const std::string& name, std::int64_t value);

  /** The current faults, a JSON object. */
  const nlohmann::json& faults() const { return faults_; }

  /** Whether the fault `name` is set to true. */
  bool fault_flag(const std::string& name) const;

  /** The number at the fault `name`, or `fallback`. */
  double fault_number(const std::string& name, double fallback = 0) const;

  /** For faults that hit the next N requests: returns true and counts N down if N is above 0. */
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
  std::map<std::string, std::int64_t> counters_;
  nlohmann::json faults_ = nlohmann::json::object();
  std::unique_ptr<HttpServer> server_;
  // Delayed tasks run only while this is alive.
  std::shared_ptr<bool> lifetime_token_ = std::make_shared<bool>(true);
};

/** Decodes `%XX` escapes; an invalid escape is kept as it is. */
std::string decode_percent(std::string_view text);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_STANDIN_SERVER_H_
