// Client of the platform's object API, which stores all persistent state.
//
// Protocol (HTTP with JSON):
//   GET    /objects/{key}                 -> 200 {"key","version","value"}, or 404
//   GET    /objects?prefix={p}            -> 200 {"version","items":[{"key","version","value"}]}
//   PUT    /objects/{key}?if_version={v}  -> 200 {"version"}; v = 0 creates;
//                                            409 {"version","value"} on a conflict
//   DELETE /objects/{key}?if_version={v}  -> 200; 409 as above on a conflict
//   GET    /objects/{key}?watch_after={v}&wait_ms={ms}
//                                         -> 200 as for GET once version > v; 304 after the wait
//   GET    /instances                     -> 200 {"version","items":[{"name","role","zone","ip",
//                                            "port","state"}]}
// Values are text of up to 1 MB. The platform counts every call, including a watch that waits.

#ifndef BLUEBELLSTEP_PLATFORM_PLATFORM_CLIENT_H_
#define BLUEBELLSTEP_PLATFORM_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "http/http_client.h"
#include "platform/store_revision.h"

namespace bluebellstep {

/** An object of the platform's store. */
struct PlatformObject {
  std::string key;
  StoreRevision version;
  std::string value;
};

/** The platform did not respond, or its response could not be decoded. A change may or may not have
 * taken effect. */
struct PlatformUnavailable {
  std::string detail;  // Human-readable.
};

/** The object's version was not the expected one; nothing was changed. */
struct VersionConflict {
  PlatformObject current;  // The object as it is in the store.
};

/** An entry of the platform's list of instances. The list lags behind the actual state. */
struct PlatformInstance {
  std::string name;
  std::string role;
  std::string zone;
  Endpoint endpoint;
  bool leaving = false;
};

/** Client of the object API. Each call invokes its callback exactly once, on the HTTP thread. */
class PlatformClient {
 public:
  using ReadResult = std::variant<std::optional<PlatformObject>, PlatformUnavailable>;
  using ListResult = std::variant<std::vector<PlatformObject>, PlatformUnavailable>;
  using WriteResult = std::variant<StoreRevision, VersionConflict, PlatformUnavailable>;
  using InstancesResult = std::variant<std::vector<PlatformInstance>, PlatformUnavailable>;

  /** Uses `client`, which must outlive this. `timeout` limits each call except `watch`. */
  PlatformClient(HttpClient& client, Endpoint endpoint, Duration timeout);

  /** Reads an object. The result is `std::nullopt` if it does not exist. */
  void read(std::string_view key, std::function<void(ReadResult)> on_result);

  /** Reads all objects whose keys start with `prefix`. */
  void list(std::string_view prefix, std::function<void(ListResult)> on_result);

  /**
   * Writes an object if its version is still `expected` (0: if it does not exist). After
   * `PlatformUnavailable` the write may have taken effect; read the object to find out.
   */
  void write(std::string_view key,
             StoreRevision expected,
             std::string value,
             std::function<void(WriteResult)> on_result);

  /** Deletes an object if its version is still `expected`. The result of a deletion is version 0.
   */
  void remove(std::string_view key,
              StoreRevision expected,
              std::function<void(WriteResult)> on_result);

  /** Waits until the object's version is above `after`, for at most `wait`, then returns the object
   * like `read`. */
  void watch(std::string_view key,
             StoreRevision after,
             Duration wait,
             std::function<void(ReadResult)> on_result);

  /** Reads the list of instances. */
  void list_instances(std::function<void(InstancesResult)> on_result);

 private:
  HttpClient& client_;
  Endpoint endpoint_;
  Duration timeout_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PLATFORM_PLATFORM_CLIENT_H_
