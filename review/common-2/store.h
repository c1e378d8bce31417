// A small stand-in of the platform's metadata store: objects by kind and name, lists, watches and
// conditional writes.

#ifndef BLUEBELLSTEP_REVIEW_COMMON_2_STORE_H_
#define BLUEBELLSTEP_REVIEW_COMMON_2_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net.h"

namespace review {

class Store {
 public:
  using Json = nlohmann::json;

  /** Starts to listen on a free port. */
  Store();

  int port() const { return port_; }
  /** Writes an object; returns the store's revision. */
  std::uint64_t put(const std::string& kind, const std::string& name, const Json& spec);
  std::uint64_t remove(const std::string& kind, const std::string& name);

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    Json spec;
    Json status;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    Json object;
    bool removed = false;
  };

  void serve(int fd);
  std::string respond(const Message& request);
  std::string list_or_watch(const std::string& kind, const std::string& query);
  std::string write(const Message& request, const std::string& kind, const std::string& name);
  Json to_json(const std::string& name, const Object& object) const;
  std::uint64_t put_locked(const std::string& kind, const std::string& name, const Json& spec);
  std::uint64_t remove_locked(const std::string& kind, const std::string& name);

  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 10;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Event> events_;
};

/** One configuration with one plain service `orders` and the routes /orders/ (unsafe) and /looks/
 * (safe), and one engine service `answers` with the route /prompts/ (streaming, resumable). */
Store::Json small_config(int version);
/** A registration of a server, as it writes it itself. */
Store::Json server_entry(const std::string& service,
                         int port,
                         const std::string& zone,
                         const std::string& state);

}  // namespace review

#endif  // BLUEBELLSTEP_REVIEW_COMMON_2_STORE_H_
