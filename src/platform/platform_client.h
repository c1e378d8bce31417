// Client of the platform's object API, where everything that must last is kept.
//
// Protocol (HTTP with JSON):
//   GET    /objects/{key}                 -> 200 {"key","version","value"}, or 404
//   GET    /objects?prefix={p}            -> 200 {"version","items":[{"key","version","value"}]}
//   PUT    /objects/{key}?if_version={v}  -> 200 {"version"}; v = 0 creates;
//                                            409 {"version","value"} on a conflict
//   DELETE /objects/{key}?if_version={v}  -> 200; 409 as above on a conflict
//   GET    /objects/{key}?watch_after={v}&wait_ms={ms}
//                                         -> 200 as for a get once version > v; 304 after the wait
//   GET    /instances                     -> 200 {"version","items":[{"name","role","zone","ip",
//                                            "port","state"}]}
// Values are text of up to 1 MB. Each call is counted, a waiting watch too.

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

namespace bluebellstep {

/** Version of an object; it rises with each change. 0 stands for an object that does not exist. */
struct ObjectVersion {
  std::uint64_t value = 0;

  auto operator<=>(const ObjectVersion&) const = default;
};

/** An object of the platform's store. */
struct PlatformObject {
  std::string key;
  ObjectVersion version;
  std::string value;
};

/** The platform gave no answer, or one that is not understood; a change may or may not have taken
 * effect. */
struct PlatformUnavailable {
  std::string detail;
};

/** The object's version was not the expected one; nothing was changed. Holds what the store has. */
struct VersionConflict {
  PlatformObject current;
};

/** A row of the platform's list of instances. The list lags. */
struct PlatformInstance {
  std::string name;
  std::string role;
  std::string zone;
  Endpoint endpoint;
  bool leaving = false;
};

/** Client of the object API. Callbacks run on the HTTP thread; each is called exactly once. */
class PlatformClient {
 public:
  using ReadResult = std::variant<std::optional<PlatformObject>, PlatformUnavailable>;
  using ListResult = std::variant<std::vector<PlatformObject>, PlatformUnavailable>;
  using WriteResult = std::variant<ObjectVersion, VersionConflict, PlatformUnavailable>;
  using InstancesResult = std::variant<std::vector<PlatformInstance>, PlatformUnavailable>;

  /** Uses `client`, which must outlive this. `timeout` bounds each call but a watch. */
  PlatformClient(HttpClient& client, Endpoint endpoint, Duration timeout);

  void read(std::string_view key, std::function<void(ReadResult)> on_result);
  void list(std::string_view prefix, std::function<void(ListResult)> on_result);

  /**
   * Writes an object if its version is still `expected` (0: if it does not exist). After
   * `PlatformUnavailable` the write may have taken effect; read the object back to learn whether.
   */
  void write(std::string_view key,
             ObjectVersion expected,
             std::string value,
             std::function<void(WriteResult)> on_result);

  /** Deletes an object if its version is still `expected`. */
  void remove(std::string_view key,
              ObjectVersion expected,
              std::function<void(WriteResult)> on_result);

  /** Waits until the object's version is above `after`, for at most `wait`; then answers as `read`
   * does. */
  void watch(std::string_view key,
             ObjectVersion after,
             Duration wait,
             std::function<void(ReadResult)> on_result);

  void list_instances(std::function<void(InstancesResult)> on_result);

 private:
  HttpClient& client_;
  Endpoint endpoint_;
  Duration timeout_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PLATFORM_PLATFORM_CLIENT_H_
