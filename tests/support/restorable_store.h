// An object store on a socket that can be restored from an earlier copy of itself, for tests that
// decide when each answer arrives.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_RESTORABLE_STORE_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_RESTORABLE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "http/http_loop.h"
#include "http/http_server.h"
#include "http/http_types.h"

namespace bluebellstep {

/** Members may be called from any thread. Collections have the names of the store's paths. */
class RestorableStore {
 public:
  struct Object {
    std::uint64_t revision = 0;
    std::string spec;  // JSON text.
  };
  struct Event {
    std::string collection;
    std::string name;
    Object object;
    bool removed = false;
  };
  struct Copy {
    std::uint64_t revision = 0;
    std::map<std::string, std::map<std::string, Object>> objects;  // By collection and name.
    std::vector<Event> events;
  };

  explicit RestorableStore(HttpLoop& loop);
  RestorableStore(const RestorableStore&) = delete;
  RestorableStore& operator=(const RestorableStore&) = delete;
  ~RestorableStore();

  Endpoint endpoint() const { return {"127.0.0.1", server_.port()}; }

  /** Writes or removes an object, and answers the watches of its collection. */
  void put(const std::string& collection, const std::string& name, std::string spec);
  void remove(const std::string& collection, const std::string& name);

  Copy copy() const;
  /** Goes back to a copy and raises the era. Watches in progress stay open. */
  void restore(Copy copy);
  std::uint64_t revision() const;

  /** Forgets the events up to now: a watch from an earlier revision is answered with 410. */
  void compact();
  /** Closes the connections of the watches in progress. */
  void drop_watches();
  /** Closes the connection of each call whose `METHOD path` contains `part`; empty for none. */
  void refuse(std::string part);
  /** Prepares the answers to calls with this `METHOD path`, and keeps them back. */
  void hold_answers(std::string call);
  /** Sends the answers that were kept back, and keeps none from now on. */
  void send_held_answers();
  std::size_t held_answers() const;
  void set_page_size(std::size_t objects);
  /** Sets the value of the header with the era; nothing to leave it out. */
  void set_era_header(std::optional<std::string> value);

  /** Number of calls so far whose `METHOD path` contains `part`. */
  std::size_t calls(std::string_view part) const;
  /** Number of watches that are in progress. */
  std::size_t watches() const;

 private:
  struct Answer {
    ExchangeId exchange;
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
  };
  struct Watch {
    ExchangeId exchange;
    std::string collection;
    std::uint64_t after = 0;
  };

  // All members below are called with `mutex_` held.
  void on_request(ExchangeId exchange, const HttpRequest& request);
  void watch(const Watch& watch, Duration wait);
  void on_write(ExchangeId exchange, const std::string& collection, const HttpRequest& request);
  void record(Event event);
  void answer_watches(const std::string& collection);
  std::string events_after(const Watch& watch) const;
  std::string page(const std::string& collection, const std::string& after) const;
  void respond(ExchangeId exchange, int status, std::string body);

  mutable std::mutex mutex_;
  Copy state_;
  std::uint64_t compacted_ = 0;
  std::uint64_t era_ = 1;
  std::optional<std::string> era_header_ = "1";
  std::size_t page_size_ = 1000;
  std::string refused_;
  std::string held_;
  bool holding_now_ = false;  // The call in hand is one whose answer is kept back.
  std::vector<Answer> held_answers_;
  std::vector<Watch> watches_;
  std::vector<std::string> calls_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Changed on the loop only.
  HttpLoop& loop_;
  HttpServer server_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_RESTORABLE_STORE_H_
