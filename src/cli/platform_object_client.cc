// Blocking calls of `PlatformClient`.

#include "cli/platform_object_client.h"

#include <future>
#include <memory>

namespace bluebellstep {
namespace {

// Starts an asynchronous call and blocks until its callback passes the result on the HTTP thread.
// This cannot block forever, since the client ends every call at its timeout.
template <typename Result, typename Start>
Result wait_for(Start&& start) {
  const auto promise = std::make_shared<std::promise<Result>>();
  std::future<Result> future = promise->get_future();
  start([promise](Result result) { promise->set_value(std::move(result)); });
  return future.get();
}

}  // namespace

BlockingObjectClient make_platform_object_client(HttpClient& http_client,
                                                 const PlatformSettings& settings) {
  const auto client =
      std::make_shared<PlatformClient>(http_client, settings.endpoint, settings.timeout);
  BlockingObjectClient object_client;
  object_client.read = [client](std::string_view key) {
    return wait_for<PlatformClient::ReadResult>(
        [&](auto done) { client->read(key, std::move(done)); });
  };
  object_client.list = [client](std::string_view prefix) {
    return wait_for<PlatformClient::ListResult>(
        [&](auto done) { client->list(prefix, std::move(done)); });
  };
  object_client.write = [client](std::string_view key, StoreRevision expected, std::string value) {
    return wait_for<PlatformClient::WriteResult>(
        [&](auto done) { client->write(key, expected, std::move(value), std::move(done)); });
  };
  return object_client;
}

}  // namespace bluebellstep
