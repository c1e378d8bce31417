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
  std::size_t max_value_bytes = 1u << 20;  // A larger value is refused with status 413.
};

/** The platform's object API, in memory, with injected faults. */
class PlatformStandin {
 public:
  /** Starts to serve. Throws `std::system_error` if the address is not free. */
  PlatformStandin(HttpLoop& loop, const PlatformStandinOptions& options);

  std::uint16_t port() const { return server_.port(); }

 private:
  struct Object {
    std::uint64_t version = 0;
    std::string value;
  };

  /** A call that waits for an object to change. */
  struct Watch {
    ExchangeId exchange;
    std::uint64_t after = 0;

    auto operator<=>(const Watch&) const = default;
  };

  bool intercept(const StandinRequest& request);
  void dispatch_after_delay(const StandinRequest& request,
                            void (PlatformStandin::*handle)(const StandinRequest&));
  void read(const StandinRequest& request);
  void list(const StandinRequest& request);
  void write(const StandinRequest& request);
  void remove(const StandinRequest& request);
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
  std::uint64_t last_version_ = 0;  // Versions rise across all objects, also over a deletion.
  std::map<std::string, std::set<Watch>> watches_;   // By key.
  std::map<std::string, nlohmann::json> instances_;  // The list as readers see it, by name.
  std::uint64_t instances_version_ = 0;
  // The last member: when it is destroyed, no handler runs any more.
  StandinServer server_;
};

/** Adds the subcommand `platform`. */
void add_platform_command(CLI::App& app);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_PLATFORM_STANDIN_H_
