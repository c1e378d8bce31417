// Stand-in for the platform's object API and its list of instances.

#ifndef BLUEBELLSTEP_STANDINS_PLATFORM_STANDIN_H_
#define BLUEBELLSTEP_STANDINS_PLATFORM_STANDIN_H_

#include <CLI/CLI.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "http/http_loop.h"
#include "standins/standin_server.h"

namespace bluebellstep {

/** Options of `PlatformStandin`. */
struct PlatformStandinOptions {
  Endpoint listen = {"127.0.0.1", 0};
  std::size_t max_value_bytes = 1u << 20;  // Larger values are refused with status 413.
};

/** In-memory implementation of the object API and the instance list, with injected faults. */
class PlatformStandin {
 public:
  /** Starts to serve. Throws `std::system_error` if the address is in use. */
  PlatformStandin(HttpLoop& loop, const PlatformStandinOptions& options);

  /** The port on which the stand-in listens. */
  std::uint16_t port() const { return server_.port(); }

 private:
  struct Object {
    std::uint64_t version = 0;
    std::string value;
  };

  /** A read that waits until the version of its object is above `after`. */
  struct Watch {
    ExchangeId exchange;
    std::uint64_t after = 0;

    auto operator<=>(const Watch&) const = default;
  };

  // Counts the request. Aborts it and returns true if an outage is injected.
  bool intercept(const StandinRequest& request);
  void dispatch_after_delay(const StandinRequest& request,
                            void (PlatformStandin::*handle)(const StandinRequest&));

  // HTTP handlers.
  void read(const StandinRequest& request);
  void list(const StandinRequest& request);
  void write(const StandinRequest& request);
  void remove(const StandinRequest& request);

  // Returns whether the object has the request's `if_version`; if not, responds with a conflict.
  bool check_expected_version(const StandinRequest& request);
  void complete_write(const StandinRequest& request, std::uint64_t version);
  void start_watch(const StandinRequest& request, std::uint64_t after);
  void complete_watches(const std::string& key);
  void abort_watches();
  void reply_object(ExchangeId exchange, const std::string& key);
  void list_instances(const StandinRequest& request);
  void update_instance(const StandinRequest& request, bool is_removal);
  void add_route(const char* method,
                 const char* pattern,
                 void (PlatformStandin::*handle)(const StandinRequest&));
  void put_instance(const StandinRequest& request) { update_instance(request, false); }
  void remove_instance(const StandinRequest& request) { update_instance(request, true); }

  std::map<std::string, Object> objects_;
  std::uint64_t last_version_ = 0;  // Increased by each write or deletion of any object.
  std::map<std::string, std::set<Watch>> watches_;   // By object key.
  std::map<std::string, nlohmann::json> instances_;  // By name, as returned to readers.
  std::uint64_t instances_version_ = 0;
  // Declared last, so that it is destroyed first and no handler uses a destroyed member.
  StandinServer server_;
};

/** Adds the subcommand `platform`. */
void add_platform_command(CLI::App& app);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_PLATFORM_STANDIN_H_
